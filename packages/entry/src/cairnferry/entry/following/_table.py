"""Local copy of a followed table, which retains expired rows after an outage."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import (
    RETURN_GRACE_S,
    Batch,
    Hold,
    Row,
    RowRetention,
    TableReplica,
    TableUpdate,
    VersionSpan,
    era_of,
)

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
    call_later : callable, optional
        Calls a function after some seconds.
    """

    name: str
    on_change: Callable[[dict[str, Row]], None]
    on_known: Callable[[], None] = _do_nothing
    copy: TableReplica = attrs.field(factory=TableReplica)
    call_later: Callable[[float, Callable[[], None]], object] = gevent.spawn_later
    _retention: RowRetention = attrs.field(factory=RowRetention)
    _reverted: dict[str, "_RevertedRow"] = attrs.field(factory=dict)
    _reverted_until: float = 0.0
    _published: dict[str, Row] = attrs.field(factory=dict)
    _has_unapplied_rows: bool = False

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
    def hold(self) -> Hold:
        """The hold that ends last."""
        return self._retention.hold

    @property
    def grace_left(self) -> float:
        """Seconds for which removed rows are still retained."""
        return max(0.0, self.hold.until - time.monotonic())

    @property
    def settled(self) -> VersionSpan:
        """Versions whose removals are settled."""
        return self._retention.settled

    def extend(self, hold: Hold) -> None:
        """Retain removed rows for some time after an outage of the store."""
        self._retention.extend(hold)

    def settle(self, span: VersionSpan) -> bool:
        """Settle the removals in a span of versions; return whether rows are dropped.

        Parameters
        ----------
        span : VersionSpan
            Versions that an uninterrupted feed has reported.
        """
        dropped = self._retention.settle(span)
        if dropped:
            log.info(
                "dropped rows whose removal is settled",
                extra={"feed": self.name, "keys": dropped},
            )
            self._publish()
        return bool(dropped)

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
        self._reverted_until = time.monotonic() + RETURN_GRACE_S
        self.extend(Hold(until=self._reverted_until))
        self.call_later(RETURN_GRACE_S, self._drop_reverted)
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

    def _drop_reverted(self):
        """Use the rows that were not written again as they are in the store."""
        left = self._reverted_until - time.monotonic()
        if left > 0:
            # The store was restored once more, or the timer was early.
            self.call_later(left, self._drop_reverted)
            return
        self._reverted = {}
        self._publish()

    def _retain_removed(self):
        rows = self.copy.rows
        self._retention.discard(rows)
        now = time.monotonic()
        had_rows = bool(self._retention.rows)
        for key, row in self._published.items():
            if key not in rows:
                self._retention.retain(row, self.copy.removed_version(key), now)
        retained = self._retention.rows
        if retained and not had_rows:
            log.info(
                "removed rows are retained",
                extra={
                    "feed": self.name,
                    "keys": sorted(retained),
                    "grace_s": round(self.grace_left, 3),
                    "outage_age_s": round(now - self.hold.began_at, 3),
                },
            )
            self._expire_later()

    def _expire_later(self):
        delay = self._retention.ends_at - time.monotonic()
        self.call_later(max(0.0, delay), self._expire)

    def _expire(self):
        """Drop the retained rows that were not written again."""
        dropped = self._retention.expire(time.monotonic())
        if dropped:
            log.info(
                "dropped rows that were not written again after an outage",
                extra={"feed": self.name, "keys": dropped},
            )
            self._publish()
        if self._retention.rows:
            self._expire_later()

    def _publish(self):
        published = {**self._retention.rows, **self.copy.rows}
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
            self._notify()

    def retry_unapplied(self) -> None:
        """Apply the rows again if they could not be applied before."""
        if self._has_unapplied_rows:
            self._has_unapplied_rows = False
            self._notify()

    def _notify(self):
        """Report the rows; if they cannot be applied, `retry_unapplied` does it again.

        The feed has moved past them. Without a retry, the change would be missing until
        the next one.
        """
        try:
            self.on_change(self._published)
        except Exception:
            self._has_unapplied_rows = True
            log.exception("rows cannot be applied", extra={"feed": self.name})
