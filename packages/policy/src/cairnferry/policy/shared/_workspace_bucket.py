"""Tokens that limit the requests of a workspace over all daemons.

One daemon, the owner, counts the requests of a workspace. Each request takes a token
from the owner's bucket, which gains `rate` tokens per second and holds `burst` of them
and a part of the tolerance. Without that part, a workspace with a small burst would be
refused below its rate, as its requests arrive at random.
A token may be granted ahead of time: the request then waits until the bucket has it.

All times are monotonic seconds of one clock.
"""

import collections
import math

import attrs

# Seconds of one slot of the count of tokens granted in the last window. The count
# covers the window and one slot more, so a shorter slot wastes less of the limit.
SLOT_S = 0.05
# Share of the bucket that less urgent requests leave to more urgent ones.
RESERVED_SHARE = 0.2
# Added to the rank of requests that are late in any case: more than any rank of routes.
OVERDUE_RANKS = 1000
# Share of the bucket that such requests leave to others. A late answer is of little
# use, while a token that is kept serves the next request in time.
OVERDUE_RESERVED_SHARE = 0.8
# Seconds for which a rank counts as in use after its last request.
RANK_RETENTION_S = 10.0
# Share of the tolerance that a bucket holds beyond the burst.
EXTRA_SHARE = 3 / 8
# Share of the tolerance with which a bucket starts. Two owners may follow each other
# in one window, and the rest belongs to daemons that reach no owner.
START_SHARE = 1 / 8


@attrs.frozen
class LimitTolerance:
    """By how much the limit of a workspace may be exceeded.

    Attributes
    ----------
    window_s : float
        Seconds of the window in which requests are counted.
    over : float
        Share of the limit by which it may be exceeded.
    slack : float
        Further requests per window.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def spare(self, limit: "WorkspaceLimit") -> float:
        """Return the requests per window that may run beyond a limit."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return allowed * self.over + self.slack * limit.share


@attrs.frozen
class WorkspaceLimit:
    """Limit of a workspace.

    Attributes
    ----------
    revision : int
        Revision of the rules that set it.
    rate_per_s : float
        Requests per second; 0 if unlimited.
    burst : float
        Requests that may exceed that rate at once.
    share : float
        Part of the workspace's limit that this is.
    """

    revision: int
    rate_per_s: float
    burst: float
    share: float = 1.0

    def scaled(self, share: float) -> "WorkspaceLimit":
        """Return a share of the limit."""
        burst = max(1.0, self.burst * share)
        return WorkspaceLimit(self.revision, self.rate_per_s * share, burst, share)


@attrs.frozen
class TokenGrant:
    """Response to a request for tokens.

    Attributes
    ----------
    delays : tuple of float
        Seconds from now after which each request may run.
    retry_s : float
        Seconds after which there is capacity for a request that got no token; 0 if all
        got one.
    """

    delays: tuple[float, ...]
    retry_s: float = 0.0


@attrs.define
class WorkspaceBucket:
    """Token bucket of one workspace at its owner.

    Parameters
    ----------
    tolerance : LimitTolerance
        Tolerance of the limit.
    limit : WorkspaceLimit
        Part of the workspace's limit that this owner grants.
    level : float
        Tokens in the bucket; negative if tokens were granted ahead of time.
    updated_at : float
        Time in seconds of that level.

    Attributes
    ----------
    granted, refused : int
        Number of requests that got a token, and that got none.
    """

    tolerance: LimitTolerance
    limit: WorkspaceLimit
    level: float
    updated_at: float
    granted: int = 0
    refused: int = 0
    _promised_at: float = -math.inf
    _started_at: float = -math.inf
    _ranks: dict[int, float] = attrs.field(factory=dict)
    _slots: collections.deque = attrs.field(factory=collections.deque)
    _in_window: int = 0

    @classmethod
    def begin(
        cls, tolerance: LimitTolerance, limit: WorkspaceLimit, since: float, now: float
    ) -> "WorkspaceBucket":
        """Return the bucket of a new owner.

        A full burst would come on top of what the previous owner granted.

        Parameters
        ----------
        tolerance : LimitTolerance
            Tolerance of the limit.
        limit : WorkspaceLimit
            Part of the workspace's limit that this owner grants.
        since : float
            Time in seconds from which tokens accrue.
        now : float
            Time in seconds.
        """
        bucket = cls(tolerance, limit, 0.0, since)
        bucket._started_at = since
        bucket.level = bucket._start_level()
        bucket._accrue(now)
        return bucket

    def _start_level(self):
        return min(self.capacity, START_SHARE * self.tolerance.spare(self.limit))

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the bucket."""
        return self.limit.burst + EXTRA_SHARE * self.tolerance.spare(self.limit)

    def set_limit(self, limit: WorkspaceLimit, now: float) -> None:
        """Continue at another limit.

        Tokens granted by the earlier limit no longer count, as a changed limit takes
        effect one window after the daemons have it.
        """
        if limit == self.limit:
            return
        self._accrue(now)
        if limit.revision != self.limit.revision:
            self._slots.clear()
            self._in_window = 0
            self._promised_at = -math.inf
        self.limit = limit
        self.level = min(self.level, self.capacity)

    def restart(self, now: float) -> None:
        """Empty the bucket, as another owner may have granted its tokens meanwhile."""
        self._accrue(now)
        may_start = now - self._started_at > self.tolerance.window_s
        if may_start:
            self._started_at = now
        self.level = min(self.level, self._start_level() if may_start else 0.0)

    def hold(self, until: float, now: float) -> None:
        """Accrue no tokens until a later time."""
        self._accrue(now)
        self.updated_at = max(self.updated_at, until)

    def grant(self, rank: int, count: int, max_wait_s: float, now: float) -> TokenGrant:
        """Grant tokens for requests of one rank.

        Parameters
        ----------
        rank : int
            Urgency of the requests; 0 is the most urgent.
        count : int
            Number of requests.
        max_wait_s : float
            Maximum time in seconds for which a request may wait for its token.
        now : float
            Time in seconds.
        """
        self._accrue(now)
        reserved = self._reserved(rank, now)
        delays = []
        while len(delays) < count:
            delay = self._delay(reserved, now)
            if delay > max_wait_s:
                break
            self._take(now + delay)
            delays.append(delay)
        self.granted += len(delays)
        if len(delays) == count:
            return TokenGrant(tuple(delays))
        self.refused += count - len(delays)
        return TokenGrant(tuple(delays), self._promise(reserved, now))

    def take_back(self, count: int, now: float) -> None:
        """Take back the tokens of requests that did not run.

        They are subtracted from the oldest grants of the window. The count of the
        window is thereby never lower than the number of requests that ran in it.
        """
        self._accrue(now)
        self.level = min(self.capacity, self.level + count)
        while count and self._slots:
            slot = self._slots[0]
            part = min(count, slot[1])
            slot[1] -= part
            count -= part
            self._in_window -= part
            if not slot[1]:
                self._slots.popleft()

    def _accrue(self, now):
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        gained = self.level + elapsed * self.limit.rate_per_s
        self.level = min(self.capacity, gained)
        self.updated_at = now

    def _reserved(self, rank, now):
        """Return the tokens that requests of a rank leave to more urgent ones."""
        self._ranks[rank] = now
        if len(self._ranks) == 1:
            return 0.0
        since = now - RANK_RETENTION_S
        self._ranks = {r: at for r, at in self._ranks.items() if at > since}
        if rank == min(self._ranks):
            return 0.0
        is_overdue = rank >= OVERDUE_RANKS
        share = OVERDUE_RESERVED_SHARE if is_overdue else RESERVED_SHARE
        capacity = self.capacity
        return max(0.0, min(share * capacity, capacity - 1))

    def _delay(self, reserved, now):
        """Return the seconds until a request may run."""
        missing = 1 + reserved - self.level
        delay = max(0.0, missing) / self.limit.rate_per_s
        # Time before accrual begins.
        delay += max(0.0, self.updated_at - now) if missing > 0 else 0.0
        return max(delay, self._window_delay(now))

    def _window_delay(self, now):
        """Return the seconds until the window has space for one more request.

        The level alone does not keep the limit if tokens are taken back after a while,
        as it may have accrued in their place in the meantime.
        """
        horizon = now - self.tolerance.window_s - SLOT_S
        while self._slots and self._slots[0][0] <= horizon:
            self._in_window -= self._slots.popleft()[1]
        delay = 0.0
        accrued = self.limit.rate_per_s * self.tolerance.window_s
        excess = self._in_window + 1 - accrued - self.capacity
        for at, count in self._slots:
            if excess <= 0:
                break
            excess -= count
            delay = at - horizon
        return delay

    def _take(self, at):
        self.level -= 1
        self._in_window += 1
        slot = at - at % SLOT_S
        if self._slots and self._slots[-1][0] >= slot:
            self._slots[-1][1] += 1
        else:
            self._slots.append([slot, 1])

    def _promise(self, reserved, now):
        """Return the seconds until a moment that no other request was given."""
        first = now + self._delay(reserved, now)
        spaced = self._promised_at + 1 / self.limit.rate_per_s
        self._promised_at = max(first, spaced)
        return self._promised_at - now
