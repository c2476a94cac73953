"""How this daemon gets new revisions: from the table, or from a peer."""

import logging
import random
import time

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi import ObjectStore
from cairnferry.coordination import (
    NO_DOCUMENT_NEWS,
    ChangeLog,
    DocumentNews,
    LogRow,
    TableUnavailable,
)
from cairnferry.entry.changelog._configuration import Configuration, Gap
from cairnferry.entry.members import Cluster
from cairnferry.peers import PeerCallFailed, PeerLink

SNAPSHOT_NAME = "snapshots/latest"
SNAPSHOT_EVERY = 100
POLLERS_PER_ZONE = 2
# A daemon that has heard of no confirmed head for so long looks by itself.
MAX_HEAD_AGE_S = 5.0

log = logging.getLogger(__name__)


@attrs.define
class ChangeLogSync:
    """Brings the local configuration up to date.

    Parameters
    ----------
    changes : ChangeLog
        The log in the platform's table.
    objects : ObjectStore
        Holds snapshots.
    configuration : Configuration
        What is in force here.
    cluster : Cluster
        Who is there.
    rng : random.Random
        For jitter.
    """

    changes: ChangeLog
    objects: ObjectStore
    configuration: Configuration
    cluster: Cluster
    rng: random.Random
    snapshot_revision: int = 0
    # The log tells all; daemons share no tables beside it.
    tables: dict = attrs.field(factory=dict)

    def is_poller(self) -> bool:
        """Tell whether this daemon looks at the head for its zone.

        Duplicates are harmless, so that a rank is enough and no lease is held.
        """
        membership = self.cluster.membership
        return membership.me.name in membership.own_zone_names()[:POLLERS_PER_ZONE]

    def should_poll(self) -> bool:
        """Tell whether to look at the head now."""
        age = self.cluster.confirmation.age(time.monotonic())
        if self.is_poller():
            return True
        # The jitter keeps daemons that lost the same peer from looking at once.
        return age > MAX_HEAD_AGE_S * (1 + self.rng.random())

    def refresh(self) -> Result[int, TableUnavailable]:
        """Read the head and all rows up to it; give the revision held."""
        asked_at = time.monotonic()
        head = self.changes.head()
        if head.is_error():
            return head
        fetched = self._fetch_to(head.ok)
        if fetched.is_error():
            return fetched
        if self.configuration.revision >= head.ok:
            self.cluster.confirmation.confirm(asked_at)
        return Ok(self.configuration.revision)

    def _fetch_to(self, head):
        if head - self.configuration.revision > SNAPSHOT_EVERY:
            self.load_snapshot()
        while self.configuration.revision < head:
            rows = self.changes.rows(self.configuration.revision + 1, head)
            if rows.is_error():
                return rows
            if not rows.ok or not self._apply_all(rows.ok):
                reason = "a revision of the log cannot be applied"
                return Error(TableUnavailable(reason))
        return Ok(None)

    def _apply_all(self, rows):
        """Apply rows in order; tell whether the last one is in force."""
        for row in rows:
            if self.configuration.apply(row).is_error():
                return False
        return self.configuration.revision >= rows[-1].revision

    def load_snapshot(self) -> None:
        """Take over the object store's snapshot, if it helps."""
        found = self.objects.get(SNAPSHOT_NAME)
        if found.is_error() or found.ok is None:
            return
        installed = self.configuration.install_snapshot(found.ok)
        if installed.is_error():
            log.error("snapshot", extra={"why": str(installed.error)})
            return
        self.snapshot_revision = self.configuration.revision

    def save_snapshot(self) -> None:
        """Write a snapshot, if this daemon is a poller and the last one is old.

        An older one written over a newer one only lengthens a later replay: the
        log itself is whole.
        """
        revision = self.configuration.revision
        if revision - self.snapshot_revision < SNAPSHOT_EVERY:
            return
        if not self.is_poller():
            return
        data = self.configuration.records.to_snapshot()
        if self.objects.put(SNAPSHOT_NAME, data).is_ok():
            self.snapshot_revision = revision

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.configuration.revision

    @property
    def behind(self):
        """What could not be applied here, if anything."""
        return self.configuration.behind

    def rows_from(self, first: int) -> list[LogRow]:
        """Give the kept rows from a revision on, for a peer."""
        return self.configuration.rows_from(first)

    def snapshot(self) -> bytes:
        """Give the records in force, for a peer."""
        return self.configuration.records.to_snapshot()

    def document_since(self, revision: int) -> DocumentNews:
        """Give nothing: records are told by the rows of the log."""
        return NO_DOCUMENT_NEWS

    def pull_from(self, link: PeerLink, offered: int) -> None:
        """Fetch from a peer what it has and this daemon has not.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer.
        """
        while self.configuration.revision < offered:
            before = self.configuration.revision
            rows = link.pull(before + 1)
            if not rows:
                self._take_snapshot_of(link)
            for row in rows:
                applied = self.configuration.apply(row)
                if applied.is_error() and isinstance(applied.error, Gap):
                    self._take_snapshot_of(link)
                    break
            if self.configuration.revision == before:
                return

    def _take_snapshot_of(self, link):
        installed = self.configuration.install_snapshot(link.snapshot())
        if installed.is_error():
            raise PeerCallFailed(link.address, str(installed.error))
