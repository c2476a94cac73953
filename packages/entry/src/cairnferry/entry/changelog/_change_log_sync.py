"""Fetch new revisions of the change log, from the table or from a peer."""

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
# Number of revisions after which a new snapshot is written.
SNAPSHOT_EVERY = 100
# Number of daemons of each availability zone that poll the head of the log.
POLLERS_PER_ZONE = 2
# Seconds after the last confirmed head after which any daemon polls the head itself.
MAX_HEAD_AGE_S = 5.0

log = logging.getLogger(__name__)


@attrs.define
class ChangeLogSync:
    """Updates the local configuration from the change log.

    Parameters
    ----------
    changes : ChangeLog
        Change log in the platform's table.
    objects : ObjectStore
        Store of snapshots.
    configuration : Configuration
        Records in force at this daemon.
    cluster : Cluster
        Membership, and the age of the last confirmed head.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    snapshot_revision : int
        Revision of the last snapshot that was loaded or saved.
    tables : dict
        Empty: the log contains everything, and daemons share no further tables.
    """

    changes: ChangeLog
    objects: ObjectStore
    configuration: Configuration
    cluster: Cluster
    rng: random.Random
    snapshot_revision: int = 0
    tables: dict = attrs.field(factory=dict)

    def is_poller(self) -> bool:
        """Return whether this daemon polls the head for its zone.

        Duplicate polls are harmless, so a rank is sufficient and no lease is needed.
        """
        membership = self.cluster.membership
        return membership.me.name in membership.own_zone_names()[:POLLERS_PER_ZONE]

    def should_poll(self) -> bool:
        """Return whether to poll the head now."""
        age = self.cluster.confirmation.age(time.monotonic())
        if self.is_poller():
            return True
        # The jitter prevents daemons that lost the same peer from polling together.
        return age > MAX_HEAD_AGE_S * (1 + self.rng.random())

    def refresh(self) -> Result[int, TableUnavailable]:
        """Read the head and all rows up to it; return the revision in force."""
        requested_at = time.monotonic()
        head = self.changes.head()
        if head.is_error():
            return head
        fetched = self._fetch_to(head.ok)
        if fetched.is_error():
            return fetched
        if self.configuration.revision >= head.ok:
            self.cluster.confirmation.confirm(requested_at)
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
        """Apply rows in order; return whether the last one is in force."""
        for row in rows:
            if self.configuration.apply(row).is_error():
                return False
        return self.configuration.revision >= rows[-1].revision

    def load_snapshot(self) -> None:
        """Load the snapshot of the object store, if it is newer."""
        found = self.objects.get(SNAPSHOT_NAME)
        if found.is_error() or found.ok is None:
            return
        installed = self.configuration.install_snapshot(found.ok)
        if installed.is_error():
            log.error("cannot decode the snapshot", extra={"why": str(installed.error)})
            return
        self.snapshot_revision = self.configuration.revision

    def save_snapshot(self) -> None:
        """Write a snapshot, if this daemon is a poller and the last snapshot is old.

        If an older snapshot replaces a newer one, a later replay only takes longer,
        because the log itself is complete.
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
        """Revision in force at this daemon."""
        return self.configuration.revision

    @property
    def behind(self):
        """Revision that could not be applied; None if there is none."""
        return self.configuration.behind

    def rows_from(self, first: int) -> list[LogRow]:
        """Return the kept rows from a revision on, for a peer."""
        return self.configuration.rows_from(first)

    def snapshot(self) -> bytes:
        """Return a snapshot of the records in force, for a peer."""
        return self.configuration.records.to_snapshot()

    def document_since(self, revision: int) -> DocumentNews:
        """Return no document, because records are distributed as rows of the log."""
        return NO_DOCUMENT_NEWS

    def pull_from(self, link: PeerLink, offered: int) -> None:
        """Fetch the revisions that a peer offers and this daemon lacks.

        Parameters
        ----------
        link : PeerLink
            Connection to the peer.
        offered : int
            Revision that the peer has.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer.
        """
        while self.configuration.revision < offered:
            before = self.configuration.revision
            rows = link.pull(before + 1)
            if not rows:
                self._install_snapshot_from(link)
            for row in rows:
                applied = self.configuration.apply(row)
                if applied.is_error() and isinstance(applied.error, Gap):
                    self._install_snapshot_from(link)
                    break
            if self.configuration.revision == before:
                return

    def _install_snapshot_from(self, link):
        installed = self.configuration.install_snapshot(link.snapshot())
        if installed.is_error():
            raise PeerCallFailed(link.address, str(installed.error))
