"""Keeping a local copy of a table of which changes can be waited for."""

import logging
import math
import random
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Row
from cairnferry.entry._ports import ChangeFeed, FeedUnavailable, HistoryLost
from cairnferry.entry.following import _table
from cairnferry.entry.following._split_table import SplitTable
from cairnferry.entry.following._table import FollowedTable

# Pause in seconds after a failed call, doubled up to the longest, with jitter. All
# instances lose the store at once, and would come back at once.
RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Longest time in seconds for which a call waits for changes, and the shortest as a
# part of it. A store that falls silent is noticed when the wait is over: waits of
# different lengths keep instances out of step, so that one of them soon finds it back
# and tells the others.
MAX_WAIT_S = 8.0
MIN_WAIT_SHARE = 0.4
# Seconds for which a failed call is kept in mind while others watch: the first call
# that succeeds within them is the end of an outage, after which rows that vanish are
# held.
OUTAGE_MEMORY_S = 8.0
# Seconds between two looks at whether it has become this daemon's duty to watch: a
# small part of the time within which a change has to be in force.
ROLE_CHECK_S = 0.15

log = logging.getLogger(__name__)


def _note_nothing(kind, result):
    """Count no calls."""


def _always():
    """Be on duty."""
    return True


def _do_nothing():
    """Tell nobody."""


class _Restart(BaseException):
    """Ends a call that may wait for an answer which was lost."""


@attrs.define(eq=False)
class Follower:
    """Follows one feed while that is this daemon's duty.

    Others tell it what is new while it is not: calls to the store grow with the zones,
    not with the daemons.

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
    on_duty : callable
        Tells whether this daemon is to call the store.
    on_failure : callable
        Called when the store gave no answer.

    Attributes
    ----------
    table : FollowedTable or SplitTable
        What is held.
    confirmed_at : float or None
        Monotonic time in seconds up to which the copy is known to be complete.
    """

    name: str
    feed: ChangeFeed
    on_change: Callable[[dict[str, Row]], None]
    rng: random.Random
    coalesce_s: float = 0.25
    note_call: Callable[[str, str], None] = _note_nothing
    on_duty: Callable[[], bool] = _always
    on_failure: Callable[[], None] = _do_nothing
    confirmed_at: float | None = None
    partners: list["Follower"] = attrs.field(factory=list)
    table: FollowedTable | SplitTable = attrs.field(init=False)
    _task: gevent.Greenlet | None = None
    _asked_at: float = 0.0
    _is_asking: bool = False
    _in_doubt: bool = False
    # Where the store's feed goes on; None if the copy tells it, or rows are to be
    # listed.
    _position: int | None = None
    _must_list: bool = False
    _failures: int = 0
    _failed_at: float = -math.inf

    def __attrs_post_init__(self):
        self.table = FollowedTable(self.name, self.on_change)

    def split(self, beside: FollowedTable, is_main: Callable[[str], bool]) -> None:
        """Keep some rows of the feed in a copy of their own, as `SplitTable`."""
        self.table = SplitTable(self.table, beside, is_main)

    def run(self) -> None:
        """Follow for ever."""
        self._task = gevent.getcurrent()
        while True:
            if self.on_duty():
                pause = self._one_call_or_restart()
            else:
                pause = self._rest()
            gevent.sleep(pause)

    def _rest(self):
        """Leave the calls to others; begin again with what they have told by then."""
        self._position = None
        self._must_list = False
        if time.monotonic() - self._failed_at > OUTAGE_MEMORY_S:
            self._failures = 0
        return ROLE_CHECK_S * (0.5 + self.rng.random())

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

    def one_call(self) -> float:
        """Make one call and take in its result; give the seconds to pause."""
        asked_at = self._asked_at = time.monotonic()
        position = self._goes_on_from()
        wait = 0.0 if position is None else self._wait()
        self._is_asking = True
        if position is None:
            result = self.feed.everything()
        else:
            result = self.feed.since(position, wait)
        self._is_asking = False
        kind = "list" if position is None else "feed"
        self.note_call(f"{self.name}-{kind}", _ending(result))
        if result.is_error():
            return self._failed(result.error)
        self._in_doubt = False
        self._succeeded()
        self.confirmed_at = self._complete_at(result.ok, asked_at, wait)
        self._take(result.ok, position)
        return self.coalesce_s * (0.8 + 0.4 * self.rng.random())

    def _complete_at(self, batch, asked_at, wait):
        """Give the time to which an answer is known to tell all.

        One that found nothing was made when the store had waited. Counted from the
        question, what one watcher confirms would look up to 16 s old, and all daemons
        would call themselves stale.
        """
        has_waited = not batch.items and time.monotonic() >= asked_at + wait
        return asked_at + wait if has_waited else asked_at

    def _goes_on_from(self):
        if self._must_list:
            return None
        if self._position is not None:
            return self._position
        return self.table.copy.version or None

    def _take(self, batch, position):
        if position is None:
            self._must_list = False
            self._position = batch.version
            self.table.apply_listing(batch)
        else:
            self._position = max(position, batch.version)
            self.table.apply_changes(batch)

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
                self._must_list = True
                return 0.0
            case FeedUnavailable(reason):
                if not self._failures:
                    log.warning("feed lost", extra={"feed": self.name, "why": reason})
                self._failures += 1
                self._failed_at = time.monotonic()
                self.on_failure()
                longest = min(MAX_RETRY_S, RETRY_S * 2**self._failures)
                return longest * (0.5 + 0.5 * self.rng.random())

    def _succeeded(self):
        if not self._failures:
            return
        log.info("feed is back", extra={"feed": self.name, "failed": self._failures})
        self._failures = 0
        for partner in self.partners:
            partner.doubt_calls_before(self._asked_at)
        if self.table.copy.version:
            self.table.hold_for(_table.RETURN_GRACE_S)


def _ending(result):
    """Say in a word how a call ended."""
    if result.is_ok():
        return "rows" if result.ok.items else "nothing"
    return "history-lost" if isinstance(result.error, HistoryLost) else "failed"
