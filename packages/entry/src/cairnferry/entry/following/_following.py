"""Following the change feed of a table to keep a local copy up to date."""

import logging
import math
import random
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import (
    CallContinuity,
    Hold,
    Row,
    VersionSpan,
    era_of,
)
from cairnferry.entry._ports import ChangeFeed, FeedUnavailable, HistoryLost
from cairnferry.entry.following import _table
from cairnferry.entry.following._abortable_call import AbortableCall, CallAborted
from cairnferry.entry.following._split_table import SplitTable
from cairnferry.entry.following._table import FollowedTable

# First and longest pause in seconds after failed calls. The pause doubles and has
# jitter: all instances lose the store at once and would retry at once.
RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Longest wait in seconds of a call for changes, and the shortest wait as a share of it.
# A store that has become silent is noticed at the end of a wait. Waits of different
# lengths desynchronise the instances, so that one of them soon detects the return of
# the store and reports it to the others.
MAX_WAIT_S = 8.0
MIN_WAIT_SHARE = 0.4
# Seconds for which a failed call is remembered while other daemons watch. The first
# successful call within this time ends an outage, after which removed rows are
# retained.
OUTAGE_MEMORY_S = 8.0
# Seconds by which an answer may exceed its wait. A later one was delayed on its way and
# does not show that the store was reachable all the time.
MAX_DELAY_S = 1.0
# Seconds between two checks whether this daemon is a watcher: a small part of the time
# within which a change has to come into force.
ROLE_CHECK_S = 0.15

log = logging.getLogger(__name__)


def _note_nothing(kind, result):
    """Do not count the call."""


def _always():
    """Watch the store at all times."""
    return True


def _do_nothing():
    """Ignore the failure."""


def _never():
    """Trust in the store at all times."""
    return False


@attrs.define(eq=False)
class Follower:
    """Follows one feed while this daemon is a watcher of the store.

    Otherwise other daemons send it the updates, so that the number of calls to the
    store grows with the number of zones, not of daemons.

    Parameters
    ----------
    name : str
        Name of the table, for logs and metrics.
    feed : ChangeFeed
        Calls to the store.
    on_change : callable
        Called with all rows by key, whenever they change.
    rng : random.Random
        Random numbers for jitter.
    coalesce_s : float
        Pause in seconds between two calls. Changes come in groups, and each call is
        billed. It should be far below the time within which a change has to come
        into force.
    note_call : callable
        Called with the purpose and the outcome of each call, to count it.
    is_watcher : callable
        Returns whether this daemon calls the store.
    on_failure : callable
        Called when the store did not answer.
    continuity : CallContinuity, optional
        Record of this daemon's calls, common to all followers of the store.
    is_doubted : callable
        Returns whether another daemon has reported that the store did not answer.

    Attributes
    ----------
    confirmed_at : float or None
        Monotonic time in seconds up to which the copy is known to be complete.
    partners : list of Follower
        Followers of other tables of the same store.
    table : FollowedTable or SplitTable
        Local copy.
    """

    name: str
    feed: ChangeFeed
    on_change: Callable[[dict[str, Row]], None]
    rng: random.Random
    coalesce_s: float = 0.25
    note_call: Callable[[str, str], None] = _note_nothing
    is_watcher: Callable[[], bool] = _always
    on_failure: Callable[[], None] = _do_nothing
    continuity: CallContinuity = attrs.field(factory=CallContinuity)
    is_doubted: Callable[[], bool] = _never
    confirmed_at: float | None = None
    partners: list["Follower"] = attrs.field(factory=list)
    table: FollowedTable | SplitTable = attrs.field(init=False)
    _call: AbortableCall = attrs.field(factory=AbortableCall)
    _called_at: float = 0.0
    # Time since which this daemon watches; None while others do.
    _watches_since: float | None = None
    # Time at or after which a call has to begin to show that the store answers, and
    # begin of the latest call that was answered.
    _verify_from: float = -math.inf
    _answered_call_at: float = -math.inf
    # Version from which the feed resumes; None to use the version of the copy or to
    # list all rows.
    _position: int | None = None
    _must_list: bool = False
    # Version from which removals are settled, and the number of interruptions of the
    # daemon's calls up to the latest answer.
    _settled_after: int = 0
    _seen_interruptions: int = 0
    # Whether other daemons made the calls before this one.
    _is_resuming: bool = False
    _failures: int = 0
    _failed_at: float = -math.inf

    def __attrs_post_init__(self):
        self.table = FollowedTable(self.name, self.on_change)

    def split(self, secondary: FollowedTable, is_main: Callable[[str], bool]) -> None:
        """Keep some rows of the feed in a separate copy, as `SplitTable`."""
        self.table = SplitTable(self.table, secondary, is_main)

    def run(self) -> None:
        """Follow the feed forever."""
        while True:
            gevent.sleep(
                self._call_as_watcher() if self.is_watcher() else self._stand_by()
            )

    def age(self, now: float) -> float | None:
        """Return the seconds since the copy was confirmed, or this daemon watches.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            The shorter of the two times; None while other daemons watch.
        """
        if self._watches_since is None:
            return None
        return now - max(self._watches_since, self.confirmed_at or -math.inf)

    def _call_as_watcher(self):
        """Make one call; return the seconds to pause."""
        if self._watches_since is None:
            self._watches_since = time.monotonic()
        return self.poll_once()

    def _stand_by(self):
        """Leave the calls to other daemons; return the seconds to pause.

        Later calls resume from the version that other daemons have sent by then.
        """
        self._position = None
        self._must_list = False
        self._watches_since = None
        if not self._is_resuming:
            self._is_resuming = True
            self.continuity.interrupt()
        if time.monotonic() - self._failed_at > OUTAGE_MEMORY_S:
            self._failures = 0
        return ROLE_CHECK_S * (0.5 + self.rng.random())

    def abort_calls_before(self, moment: float) -> None:
        """Abort a call that began before a moment at which the store was unreachable.

        Its answer may be lost. The call would wait for it until its timeout and miss
        changes meanwhile.

        Parameters
        ----------
        moment : float
            Monotonic time in seconds.
        """
        if self._call.is_running and self._called_at < moment:
            self._call.abort()

    def verify(self) -> None:
        """Call the store without delay, as another daemon did not reach it.

        If the store is silent, this daemon notices that by the new call, and not only
        when the current one is due.
        """
        if self._is_resuming:
            return
        now = time.monotonic()
        self.continuity.doubt(now)
        self._verify_from = now
        self.abort_calls_before(now)

    def poll_once(self) -> float:
        """Make one call and apply its result; return the seconds to pause."""
        called_at = self._called_at = time.monotonic()
        position = self._next_position()
        wait = 0.0 if position is None else self._wait()
        called = self._call.run(lambda: self._call_feed(position, wait))
        result = called.bind(lambda answer: answer)
        kind = "list" if position is None else "feed"
        self.note_call(f"{self.name}-{kind}", _outcome(result))
        if result.is_error():
            return self._handle_failure(result.error)
        self._answered_call_at = called_at
        self._handle_success()
        self.confirmed_at = self._confirmed_time(result.ok, called_at, wait)
        self._settle(result.ok, wait)
        self._apply(result.ok, position)
        return self.coalesce_s * (0.8 + 0.4 * self.rng.random())

    def _call_feed(self, position, wait):
        if position is None:
            return self.feed.list_all()
        return self.feed.wait_for_changes(position, wait)

    def _confirmed_time(self, batch, called_at, wait):
        """Return the time up to which an answer confirms the copy.

        The store makes an empty answer at the end of its wait. Counted from the start
        of the call, a watcher's confirmation would seem up to 16 s old, and all daemons
        would consider themselves stale.
        """
        has_waited = not batch.items and time.monotonic() >= called_at + wait
        return called_at + wait if has_waited else called_at

    def _settle(self, batch, wait):
        """Settle the removals in an answer if the calls were uninterrupted.

        Otherwise the rows may have expired in an outage. A restored store may lack rows
        that are not removed.
        """
        now = time.monotonic()
        is_restored = era_of(batch.version) > era_of(self.table.copy.version)
        if is_restored or now > self._called_at + wait + MAX_DELAY_S:
            self.continuity.interrupt()
        self.continuity.note_success(self._called_at, now)
        was_interrupted = self._seen_interruptions != self.continuity.interruptions
        self._seen_interruptions = self.continuity.interruptions
        if was_interrupted or not self.continuity.has_lasted(now):
            self._settled_after = batch.version
        elif not self.continuity.is_doubted:
            self.table.settle(VersionSpan(self._settled_after, batch.version))

    def _next_position(self):
        if self._must_list:
            return None
        if self._position is not None:
            return self._position
        return self.table.copy.version or None

    def _apply(self, batch, position):
        if position is None:
            self._must_list = False
            self._position = batch.version
            self.table.apply_listing(batch)
        else:
            self._position = max(position, batch.version)
            self.table.apply_changes(batch)

    def _wait(self):
        """Return the seconds to wait for changes; 0 if the store may be unreachable."""
        if self._failures or self._answered_call_at < self._verify_from:
            return 0.0
        share = MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * self.rng.random()
        return MAX_WAIT_S * share

    def _handle_failure(self, fault):
        match fault:
            case CallAborted():
                self._verify_from = time.monotonic()
                return 0.0
            case HistoryLost():
                log.info("history lost", extra={"feed": self.name})
                self._must_list = True
                return 0.0
            case FeedUnavailable(reason):
                if not self._failures:
                    log.warning("feed lost", extra={"feed": self.name, "why": reason})
                self._failures += 1
                self._failed_at = time.monotonic()
                self.continuity.note_failure(self._failed_at)
                self.on_failure()
                longest = min(MAX_RETRY_S, RETRY_S * 2**self._failures)
                return longest * (0.5 + 0.5 * self.rng.random())

    def _handle_success(self):
        is_resuming, self._is_resuming = self._is_resuming, False
        if self._failures or self.continuity.is_out:
            began_at = self.continuity.outage_began_at
        elif is_resuming and self.is_doubted():
            # The daemons that watched before saw an outage, which may just have ended.
            began_at = self._called_at
        else:
            return
        log.info("feed is back", extra={"feed": self.name, "failed": self._failures})
        self._failures = 0
        hold = Hold(began_at, time.monotonic() + _table.RETURN_GRACE_S)
        self._extend(hold)
        for partner in self.partners:
            partner.abort_calls_before(self._called_at)
            # A call that was aborted, or that waits for a lost answer, did not fail.
            partner._extend(hold)

    def _extend(self, hold):
        if self.table.copy.version:
            self.table.extend(hold)


def _outcome(result):
    """Return the outcome of a call as a label of a metric."""
    if result.is_ok():
        return "rows" if result.ok.items else "nothing"
    match result.error:
        case CallAborted():
            return "aborted"
        case HistoryLost():
            return "history-lost"
        case _:
            return "failed"
