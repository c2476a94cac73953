"""Limits of targets, and the permits that this daemon has for them.

All times are monotonic seconds of one clock.
"""

import math
from collections import deque

import attrs

from cairnferry.policy.shared._cold import ColdRegistry
from cairnferry.policy.shared._limits import LimitRegistry
from cairnferry.policy.shared._permits import PERMIT_LIFETIME_S
from cairnferry.records import Target

# Seconds for which a permit is reserved for urgent requests if all targets have limits;
# after that any request may use it. A daemon gets about 10 requests per second, so
# about one within this time.
URGENT_RESERVED_S = 0.1
# One of this many permits is open to any request from the start, so that less urgent
# requests are served even if urgent ones could use every permit.
OPEN_PERMIT_INTERVAL = 3


@attrs.frozen
class Permit:
    """Permission to send one request to a target.

    Attributes
    ----------
    start, end : float
        Times in seconds between which the permit may be used.
    open_at : float
        Time in seconds from which less urgent requests may use it.
    """

    start: float
    end: float
    open_at: float = -math.inf

    @classmethod
    def starting(cls, start: float, is_open: bool) -> "Permit":
        """Return a permit that may be used from a given time.

        Parameters
        ----------
        start : float
            Time in seconds.
        is_open : bool
            Whether any request may use it from then on, not only urgent ones.
        """
        open_at = start if is_open else start + URGENT_RESERVED_S
        return cls(start, start + PERMIT_LIFETIME_S, open_at)

    def first_use(self, urgent: bool, now: float) -> float:
        """Return the time from which a request may use it; infinity if it expired."""
        first = self.start if urgent else max(self.start, self.open_at)
        return max(first, now) if now < self.end else math.inf

    def is_usable(self, urgent: bool, now: float) -> bool:
        """Return whether a request may use it now."""
        return self.first_use(urgent, now) <= now


@attrs.frozen
class PermitRequest:
    """Permits to request for one target.

    Attributes
    ----------
    target : Target
        Record of the target.
    count : int
        Number of permits.
    """

    target: Target
    count: int


@attrs.define
class TargetLimits:
    """Limits that apply to all daemons, and the permits that this daemon has.

    A target is limited if it advertises a limit, or while it is cold.

    Attributes
    ----------
    advertised : LimitRegistry
        Limits that targets advertise.
    cold : ColdRegistry
        Targets that are cold.
    sent : dict of str to int
        Requests sent to each target while it was limited, by target identity.
    """

    advertised: LimitRegistry = attrs.field(factory=LimitRegistry)
    cold: ColdRegistry = attrs.field(factory=ColdRegistry)
    sent: dict[str, int] = attrs.field(factory=dict)
    _permits: dict[str, deque[Permit]] = attrs.field(factory=dict)
    _received_count: int = 0

    def __bool__(self):
        """Return whether any target is limited."""
        return len(self.advertised) > 0 or len(self.cold) > 0

    def rate(self, identity: str) -> float | None:
        """Return the requests per second that a target accepts; None if unlimited."""
        limit = self.advertised.rate(identity)
        cold = self.cold.get(identity)
        if cold is None:
            return limit
        return cold.per_s if limit is None else min(limit, cold.per_s)

    def is_limited(self, identity: str) -> bool:
        """Return whether a target is limited."""
        return self.rate(identity) is not None

    def admits(self, identity: str, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        return not self.is_limited(identity) or self.has_permit(identity, now)

    def has_permit(self, identity: str, now: float, urgent: bool = True) -> bool:
        """Return whether there is a permit that a request may use now."""
        held = self._permits.get(identity, ())
        return any(permit.is_usable(urgent, now) for permit in held)

    def spend(self, identity: str, urgent: bool, now: float) -> None:
        """Use a permit for a request that is sent; do nothing if there is no limit.

        Urgent requests first use the permits that are reserved for them, and leave the
        open ones to other requests.
        """
        if not self.is_limited(identity):
            return
        self.sent[identity] = self.sent.get(identity, 0) + 1
        held = self._permits.get(identity, ())
        usable = [permit for permit in held if permit.is_usable(True, now)]
        if usable:
            choose = max if urgent else min
            held.remove(choose(usable, key=lambda permit: permit.open_at))

    def add_permits(self, identity: str, starts: list[float]) -> None:
        """Add issued permits, given the times in seconds from which they are valid."""
        held = self._permits.setdefault(identity, deque())
        for start in starts:
            self._received_count += 1
            held.append(
                Permit.starting(start, self._received_count % OPEN_PERMIT_INTERVAL == 0)
            )

    def held(self, identity: str) -> int:
        """Return the number of permits available, including those valid only later."""
        return len(self._permits.get(identity, ()))

    def next_start(self, identity: str, urgent: bool, now: float) -> float:
        """Return the time from which a request may use a permit; infinity if none."""
        held = self._permits.get(identity, ())
        return min((permit.first_use(urgent, now) for permit in held), default=math.inf)

    def discard_permits(self, identity: str) -> None:
        """Drop the permits for a target, as they were issued under another limit."""
        self._permits.pop(identity, None)

    def pop_expired(self, now: float) -> dict[str, int]:
        """Drop expired permits; return the number dropped by target."""
        expired = {}
        for identity, held in list(self._permits.items()):
            kept = deque(permit for permit in held if now < permit.end)
            if len(kept) < len(held):
                expired[identity] = len(held) - len(kept)
            if kept:
                self._permits[identity] = kept
            else:
                del self._permits[identity]
        return expired
