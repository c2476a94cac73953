"""A table that is followed: its copy, and rows that are held after an outage."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Batch, News, Row, TableCopy

# Seconds after the end of an outage for which a row that vanished is still held.
# Rows lapse while their writers cannot reach the store; the platform says that those
# of living writers are back within two seconds.
RETURN_GRACE_S = 1.9

log = logging.getLogger(__name__)


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
    copy: TableCopy = attrs.field(factory=TableCopy)
    _grace_until: float = 0.0
    _held: dict[str, Row] = attrs.field(factory=dict)
    _shown: dict[str, Row] = attrs.field(factory=dict)

    def take_listing(self, batch: Batch) -> None:
        """Take in all rows as the store listed them."""
        self._taken(self.copy.take_listing(batch))

    def take_changes(self, batch: Batch) -> None:
        """Take in changes that the store told."""
        self._taken(self.copy.take_changes(batch))

    def take_news(self, news: News) -> bool:
        """Take in what another daemon told; tell whether that was newer."""
        return self._taken(self.copy.take_news(news))

    # -- grace --------------------------------------------------------------------

    @property
    def grace_left(self) -> float:
        """Seconds for which rows that vanish are still held."""
        return max(0.0, self._grace_until - time.monotonic())

    def hold_for(self, seconds: float) -> None:
        """Hold rows that vanish from now on, as the store was away until now."""
        self._grace_until = max(self._grace_until, time.monotonic() + seconds)

    def _taken(self, is_newer):
        if is_newer:
            self._hold_vanished()
            self._show()
        return is_newer

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
        if gone:
            log.info("rows did not come back", extra={"feed": self.name, "keys": gone})
        self._show()

    def _show(self):
        shown = {**self._held, **self.copy.rows}
        if shown != self._shown:
            self._shown = shown
            self.on_change(shown)
