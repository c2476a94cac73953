"""A table that is followed: its copy, and rows that are held after an outage."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Batch, Row, TableReplica, TableUpdate, era_of

# Seconds after the end of an outage for which a row that vanished is still held.
# Rows lapse while their writers cannot reach the store; the platform says that those
# of living writers are back within two seconds.
RETURN_GRACE_S = 1.9

log = logging.getLogger(__name__)


@attrs.frozen
class _Doubted:
    """A row as the store's copy had it, and what was known of it before.

    Attributes
    ----------
    row : Row
        As it came back.
    known : Row or None
        As it was in force; None if it had been removed.
    """

    row: Row
    known: Row | None


@attrs.define(eq=False)
class FollowedTable:
    """Copy of a table that the store and other daemons keep up to date.

    Parameters
    ----------
    name : str
        What is followed, for logs, and to peers.
    on_change : callable
        Called with all rows by key, those that are held among them, whenever they
        differ.
    """

    name: str
    on_change: Callable[[dict[str, Row]], None]
    copy: TableReplica = attrs.field(factory=TableReplica)
    _grace_until: float = 0.0
    _held: dict[str, Row] = attrs.field(factory=dict)
    _doubted: dict[str, "_Doubted"] = attrs.field(factory=dict)
    _shown: dict[str, Row] = attrs.field(factory=dict)

    def apply_listing(self, batch: Batch) -> None:
        """Take in all rows as the store listed them."""
        self._take(lambda: self.copy.apply_listing(batch))

    def apply_changes(self, batch: Batch) -> None:
        """Take in changes that the store told."""
        self._take(lambda: self.copy.apply_changes(batch))

    def apply_update(self, news: TableUpdate) -> bool:
        """Take in what another daemon told; tell whether that was newer."""
        return self._take(lambda: self.copy.apply_update(news))

    # -- grace --------------------------------------------------------------------

    @property
    def grace_left(self) -> float:
        """Seconds for which rows that vanish are still held."""
        return max(0.0, self._grace_until - time.monotonic())

    def hold_for(self, seconds: float) -> None:
        """Hold rows that vanish from now on, as the store was away until now."""
        self._grace_until = max(self._grace_until, time.monotonic() + seconds)

    def _take(self, take_in):
        era, removed = era_of(self.copy.version), self.copy.removed
        is_known = bool(self.copy.version)
        is_newer = take_in()
        if is_newer and is_known and era_of(self.copy.version) > era:
            self._doubt(removed)
        if is_newer:
            self._hold_vanished()
            self._show()
        return is_newer

    def _doubt(self, removed):
        """Keep what was in force before the store came back from an older copy.

        It lists rows as they were seconds ago: targets that have left since, or that
        were not leaving yet. Whoever wrote them writes them again; a row that has
        not changed by the end of the grace is taken as it is.
        """
        self.hold_for(RETURN_GRACE_S)
        gevent.spawn_later(self.grace_left, self._release)
        rows = self.copy.rows
        was_removed = {
            key: _Doubted(row, None) for key, row in rows.items() if key in removed
        }
        differs = {
            key: _Doubted(row, self._shown[key])
            for key, row in rows.items()
            if key in self._shown and row.value != self._shown[key].value
        }
        self._doubted = was_removed | differs
        log.warning(
            "the store came back from a copy",
            extra={
                "feed": self.name,
                "era": era_of(self.copy.version),
                "lost": sorted(self._shown.keys() - rows.keys()),
                "older": sorted(differs),
                "back": sorted(was_removed),
            },
        )

    def _hold_vanished(self):
        rows = self.copy.rows
        if self.grace_left <= 0:
            return
        if not self._held:
            gevent.spawn_later(self.grace_left, self._release)
        self._held |= {k: row for k, row in self._shown.items() if k not in rows}

    def _release(self):
        """Drop what was held and has not come back."""
        if self.grace_left > 0:
            # The store was away once more meanwhile.
            gevent.spawn_later(self.grace_left, self._release)
            return
        gone = sorted(self._held.keys() - self.copy.rows.keys())
        self._held = {}
        self._doubted = {}
        if gone:
            log.info("rows did not come back", extra={"feed": self.name, "keys": gone})
        self._show()

    def _show(self):
        shown = {**self._held, **self.copy.rows}
        for key, doubted in self._doubted.items():
            if self.copy.rows.get(key) is not doubted.row:
                # It was written again, or removed.
                continue
            if doubted.known is None:
                del shown[key]
            else:
                shown[key] = doubted.known
        if shown != self._shown:
            self._shown = shown
            self.on_change(shown)
