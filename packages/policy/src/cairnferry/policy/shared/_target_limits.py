"""What of the limits of targets this daemon may use: the permits that it holds.

All times are monotonic seconds of one clock.
"""

import math
from collections import deque

import attrs

from cairnferry.policy.shared._cold import ColdRegistry
from cairnferry.policy.shared._limits import LimitRegistry
from cairnferry.policy.shared._permits import PERMIT_S
from cairnferry.records import Target

# Seconds for which a permit is left to urgent requests, where all targets have limits:
# a daemon gets some 10 requests a second. What none of them uses is then for any.
URGENT_FIRST_S = 0.1
# Of so many permits one is for any request from the start, so that no kind of request
# gets nothing while more urgent ones want all that there is.
OPEN_OF = 3


@attrs.frozen
class Permit:
    """May be used for one request.

    Attributes
    ----------
    start, end : float
        Times in seconds between which it may be used.
    open_at : float
        Time in seconds from which less urgent requests may use it.
    """

    start: float
    end: float
    open_at: float = -math.inf

    @classmethod
    def starting(cls, start: float, is_open: bool) -> "Permit":
        """Give a permit that may be used from a time on.

        Parameters
        ----------
        start : float
            Time in seconds.
        is_open : bool
            Whether any request may use it from then on, however urgent.
        """
        open_at = start if is_open else start + URGENT_FIRST_S
        return cls(start, start + PERMIT_S, open_at)

    def first_use(self, urgent: bool, now: float) -> float:
        """Give the time from which a request may use it; infinite if it is over."""
        first = self.start if urgent else max(self.start, self.open_at)
        return max(first, now) if now < self.end else math.inf

    def fits(self, urgent: bool, now: float) -> bool:
        """Tell whether a request may use it now."""
        return self.first_use(urgent, now) <= now


@attrs.frozen
class PermitRequest:
    """Permits to ask for.

    Attributes
    ----------
    target : Target
        Record of the target.
    count : int
        How many.
    """

    target: Target
    count: int


@attrs.define
class TargetLimits:
    """Limits that hold for all daemons, and the permits that this one has.

    A target has a limit if it names one, or while it is cold.

    Attributes
    ----------
    book : LimitRegistry
        Limits that targets name.
    cold : ColdRegistry
        Targets that are cold.
    sent : dict of str to int
        Requests sent to each target while it had a limit, by the names of their starts.
    """

    advertised: LimitRegistry = attrs.field(factory=LimitRegistry)
    cold: ColdRegistry = attrs.field(factory=ColdRegistry)
    sent: dict[str, int] = attrs.field(factory=dict)
    _permits: dict[str, deque[Permit]] = attrs.field(factory=dict)
    _given: int = 0

    def __bool__(self):
        """Tell whether any target has a limit."""
        return len(self.advertised) > 0 or len(self.cold) > 0

    def rate(self, identity: str) -> float | None:
        """Give the requests a second that a target takes; None for any number."""
        named = self.advertised.rate(identity)
        cold = self.cold.get(identity)
        if cold is None:
            return named
        return cold.per_s if named is None else min(named, cold.per_s)

    def is_limited(self, identity: str) -> bool:
        """Tell whether a target has a limit."""
        return self.rate(identity) is not None

    def admits(self, identity: str, now: float) -> bool:
        """Tell whether a request may be sent to a target now."""
        return not self.is_limited(identity) or self.has_permit(identity, now)

    def has_permit(self, identity: str, now: float, urgent: bool = True) -> bool:
        """Tell whether a permit is there that a request may use now."""
        held = self._permits.get(identity, ())
        return any(permit.fits(urgent, now) for permit in held)

    def spend(self, identity: str, urgent: bool, now: float) -> None:
        """Use a permit, as a request is sent; nothing where there is no limit.

        Urgent requests leave those that are open to any to the others, as long as there
        are some that are not.
        """
        if not self.is_limited(identity):
            return
        self.sent[identity] = self.sent.get(identity, 0) + 1
        held = self._permits.get(identity, ())
        usable = [permit for permit in held if permit.fits(True, now)]
        if usable:
            choose = max if urgent else min
            held.remove(choose(usable, key=lambda permit: permit.open_at))

    def add_permits(self, identity: str, starts: list[float]) -> None:
        """Take in permits that were given, by the times from which they hold."""
        held = self._permits.setdefault(identity, deque())
        for start in starts:
            self._given += 1
            held.append(Permit.starting(start, self._given % OPEN_OF == 0))

    def held(self, identity: str) -> int:
        """Count the permits that are held, those for later too."""
        return len(self._permits.get(identity, ()))

    def next_start(self, identity: str, urgent: bool, now: float) -> float:
        """Give the time from which a request may use a permit; infinite without."""
        held = self._permits.get(identity, ())
        return min((permit.first_use(urgent, now) for permit in held), default=math.inf)

    def discard_permits(self, identity: str) -> None:
        """Drop the permits for a target, as they were given under another limit."""
        self._permits.pop(identity, None)

    def pop_expired(self, now: float) -> dict[str, int]:
        """Drop the permits whose time is over; count them by target."""
        lapsed = {}
        for identity, held in list(self._permits.items()):
            kept = deque(permit for permit in held if now < permit.end)
            if len(kept) < len(held):
                lapsed[identity] = len(held) - len(kept)
            if kept:
                self._permits[identity] = kept
            else:
                del self._permits[identity]
        return lapsed
