"""Keeping a local copy of a table of which changes can be waited for."""

import logging
import random
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.entry._ports import (
    Batch,
    ChangeFeed,
    FeedUnavailable,
    HistoryLost,
    Item,
)

# Pause in seconds after a failed call, doubled up to the longest, with jitter. All
# instances lose the store at once, and would come back at once.
RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Seconds after the end of an outage for which a row that vanished is still held.
# Rows lapse while their writers cannot reach the store; the platform says that those
# of living writers are back within two seconds.
RETURN_GRACE_S = 1.9
# Longest time in seconds for which a call waits for changes, and the shortest as a
# part of it. A store that falls silent is noticed when the wait is over: waits of
# different lengths keep instances out of step, so that one of them soon finds it back
# and tells the others.
MAX_WAIT_S = 8.0
MIN_WAIT_SHARE = 0.4

log = logging.getLogger(__name__)


def _note_nothing(kind, result):
    """Count no calls."""


class _Restart(BaseException):
    """Ends a call that may wait for an answer which was lost."""


@attrs.define(eq=False)
class Follower:
    """Follows one feed.

    Parameters
    ----------
    name : str
        What is followed, for logs.
    feed : ChangeFeed
        Single calls.
    on_change : callable
        Called with all rows by key, whenever they differ.
    rng : random.Random
        For jitter.
    note_call : callable
        Called with what a call was for and how it ended, to count it.
    coalesce_s : float
        Pause in seconds between two calls: changes come in groups, and each call has
        its price. To be far below the time within which a change has to be in force.

    Attributes
    ----------
    confirmed_at : float or None
        Monotonic time in seconds up to which the copy is known to be complete.
    """

    name: str
    feed: ChangeFeed
    on_change: Callable[[dict[str, Item]], None]
    rng: random.Random
    coalesce_s: float = 0.25
    note_call: Callable[[str, str], None] = _note_nothing
    confirmed_at: float | None = None
    partners: list["Follower"] = attrs.field(factory=list)
    _task: gevent.Greenlet | None = None
    _asked_at: float = 0.0
    _is_asking: bool = False
    _in_doubt: bool = False
    _items: dict[str, Item] = attrs.field(factory=dict)
    _version: int | None = None
    _failures: int = 0
    _grace_until: float = 0.0
    _held: dict[str, Item] = attrs.field(factory=dict)

    def run(self) -> None:
        """Follow for ever."""
        self._task = gevent.getcurrent()
        while True:
            pause = self._one_call_or_restart()
            gevent.sleep(pause)

    def _one_call_or_restart(self):
        try:
            return self.one_call()
        except _Restart:
            self._is_asking = False
            self._in_doubt = True
            return 0.0

    def doubt_calls_before(self, moment: float) -> None:
        """Give up a call that began before a moment at which the store was away.

        Its answer may be lost, and it would wait for it to its timeout, while changes
        come.
        """
        if self._is_asking and self._asked_at < moment:
            self._task.kill(_Restart, block=False)

    def adopt(self, items: dict[str, Item]) -> None:
        """Start from what another daemon held; what the store says goes before it."""
        if not self._items and self._version is None:
            self._replace(items)

    def one_call(self) -> float:
        """Make one call and take in its result; give the seconds to pause."""
        asked_at = self._asked_at = time.monotonic()
        listing = self._version is None
        self._is_asking = True
        if listing:
            result = self.feed.everything()
        else:
            result = self.feed.since(self._version, self._wait())
        self._is_asking = False
        self.note_call(f"{self.name}-{'list' if listing else 'feed'}", _ending(result))
        if result.is_error():
            return self._failed(result.error)
        self._in_doubt = False
        self._succeeded()
        self.confirmed_at = asked_at
        if listing:
            self._take_listing(result.ok)
        else:
            self._take_changes(result.ok)
        return self.coalesce_s * (0.8 + 0.4 * self.rng.random())

    def _wait(self):
        """Give the seconds to wait for changes; none while the store may be away."""
        if self._failures or self._in_doubt:
            return 0.0
        share = MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * self.rng.random()
        return MAX_WAIT_S * share

    def _failed(self, fault):
        match fault:
            case HistoryLost():
                log.info("history lost", extra={"feed": self.name})
                self._version = None
                return 0.0
            case FeedUnavailable(reason):
                if not self._failures:
                    log.warning("feed lost", extra={"feed": self.name, "why": reason})
                self._failures += 1
                longest = min(MAX_RETRY_S, RETRY_S * 2**self._failures)
                return longest * (0.5 + 0.5 * self.rng.random())

    def _succeeded(self):
        if not self._failures:
            return
        log.info("feed is back", extra={"feed": self.name, "failed": self._failures})
        self._failures = 0
        for partner in self.partners:
            partner.doubt_calls_before(self._asked_at)
        if self._items:
            self._grace_until = time.monotonic() + RETURN_GRACE_S

    def _take_listing(self, batch: Batch):
        found = {item.key: item for item in batch.items}
        missing = [key for key in self._items if key not in found]
        self._version = batch.version
        held = {key: self._items[key] for key in missing if self._holds(key)}
        self._replace({**held, **found})

    def _take_changes(self, batch: Batch):
        self._version = max(self._version, batch.version)
        items = dict(self._items)
        for item in batch.items:
            known = items.get(item.key)
            if known is not None and item.version < known.version:
                continue
            if item.value is not None:
                self._held.pop(item.key, None)
                items[item.key] = item
            elif known is not None and not self._holds(item.key):
                del items[item.key]
        self._replace(items)

    def _holds(self, key):
        """Hold a vanished row while its writer may still come back."""
        if time.monotonic() >= self._grace_until:
            return False
        if not self._held:
            gevent.spawn_later(self._grace_until - time.monotonic(), self._release)
        self._held[key] = self._items[key]
        return True

    def _release(self):
        """Drop what was held and has not come back."""
        gone = [key for key, item in self._held.items() if self._items.get(key) is item]
        self._held = {}
        if gone:
            log.info("rows did not come back", extra={"feed": self.name, "keys": gone})
        self._replace({k: i for k, i in self._items.items() if k not in gone})

    def _replace(self, items):
        if items != self._items:
            self._items = items
            self.on_change(items)


def _ending(result):
    """Say in a word how a call ended."""
    if result.is_ok():
        return "rows" if result.ok.items else "nothing"
    return "history-lost" if isinstance(result.error, HistoryLost) else "failed"
