"""Local copy of a followed table, which retains expired rows after an outage."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Batch, Row, TableReplica, TableUpdate, era_of

# Seconds after the end of an outage for which removed rows are retained. Rows expire
# while their writers cannot reach the store. According to the platform, live writers
# have written them again within two seconds.
RETURN_GRACE_S = 1.9

log = logging.getLogger(__name__)


def _do_nothing():
    """Ignore that the copy holds a first state."""


@attrs.frozen
class _RevertedRow:
    """A row that a restore of the store from a copy set back to an earlier state.

    Attributes
    ----------
    row : Row
        The row in the restored store.
    previous : Row or None
        The row in force before the restore; None if it had been removed.
    """

    row: Row
    previous: Row | None


@attrs.define(eq=False)
class FollowedTable:
    """Copy of a table that is updated by the store and by other daemons.

    Parameters
    ----------
    name : str
        Name of the table in logs and in messages between daemons.
    on_change : callable
        Called with all rows by key, including retained ones, whenever they change.
    on_known : callable, optional
        Called once the copy holds a first state of the table, which may be empty.
    copy : TableReplica, optional
        Rows according to the store, without retained ones.
    """

    name: str
    on_change: Callable[[dict[str, Row]], None]
    on_known: Callable[[], None] = _do_nothing
    copy: TableReplica = attrs.field(factory=TableReplica)
    _grace_until: float = 0.0
    _retained: dict[str, Row] = attrs.field(factory=dict)
    _reverted: dict[str, "_RevertedRow"] = attrs.field(factory=dict)
    _published: dict[str, Row] = attrs.field(factory=dict)

    def apply_listing(self, batch: Batch) -> None:
        """Apply all rows as listed by the store."""
        self._apply(lambda: self.copy.apply_listing(batch))

    def apply_changes(self, batch: Batch) -> None:
        """Apply changes reported by the store."""
        self._apply(lambda: self.copy.apply_changes(batch))

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update sent by another daemon; return whether it was newer."""
        return self._apply(lambda: self.copy.apply_update(update))

    @property
    def is_known(self) -> bool:
        """Whether the copy holds a state of the table, which may be empty."""
        return bool(self.copy.version)

    # -- rows retained after an outage ----------------------------------------------

    @property
    def grace_left(self) -> float:
        """Seconds for which removed rows are still retained."""
        return max(0.0, self._grace_until - time.monotonic())

    def hold_for(self, seconds: float) -> None:
        """Retain rows that are removed within some seconds, after a store outage."""
        self._grace_until = max(self._grace_until, time.monotonic() + seconds)

    def _apply(self, apply_to_copy):
        era, removed = era_of(self.copy.version), self.copy.removed
        was_known = self.is_known
        is_newer = apply_to_copy()
        if is_newer and was_known and era_of(self.copy.version) > era:
            self._retain_reverted(removed)
        if is_newer:
            self._retain_removed()
            self._publish()
        if is_newer and not was_known:
            self.on_known()
        return is_newer

    def _retain_reverted(self, removed):
        """Keep the previous rows in force after a restore of the store from a copy.

        The copy is seconds old: it may list targets that have left since, or show
        leaving targets as not leaving. Live writers write their rows again. A row that
        is unchanged at the end of the grace period is used as it is.
        """
        self.hold_for(RETURN_GRACE_S)
        gevent.spawn_later(self.grace_left, self._drop_retained)
        rows = self.copy.rows
        was_removed = {
            key: _RevertedRow(row, None) for key, row in rows.items() if key in removed
        }
        differs = {
            key: _RevertedRow(row, self._published[key])
            for key, row in rows.items()
            if key in self._published and row.value != self._published[key].value
        }
        self._reverted = was_removed | differs
        log.warning(
            "the store came back from a copy",
            extra={
                "feed": self.name,
                "era": era_of(self.copy.version),
                "lost": sorted(self._published.keys() - rows.keys()),
                "older": sorted(differs),
                "back": sorted(was_removed),
            },
        )

    def _retain_removed(self):
        rows = self.copy.rows
        if self.grace_left <= 0:
            return
        if not self._retained:
            gevent.spawn_later(self.grace_left, self._drop_retained)
        self._retained |= {
            k: row for k, row in self._published.items() if k not in rows
        }

    def _drop_retained(self):
        """Drop the retained rows that were not written again."""
        if self.grace_left > 0:
            # Another outage has extended the grace period.
            gevent.spawn_later(self.grace_left, self._drop_retained)
            return
        gone = sorted(self._retained.keys() - self.copy.rows.keys())
        self._retained = {}
        self._reverted = {}
        if gone:
            log.info(
                "dropped rows that were not written again after an outage",
                extra={"feed": self.name, "keys": gone},
            )
        self._publish()

    def _publish(self):
        published = {**self._retained, **self.copy.rows}
        for key, reverted in self._reverted.items():
            if self.copy.rows.get(key) is not reverted.row:
                # The row was written again or removed.
                continue
            if reverted.previous is None:
                del published[key]
            else:
                published[key] = reverted.previous
        if published != self._published:
            self._published = published
            self.on_change(published)
