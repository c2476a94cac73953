"""What of the limits of targets this daemon may use: the permits that it holds.

All times are monotonic seconds of one clock.
"""

from collections import deque

import attrs

from cairnferry.policy._limits import LimitBook
from cairnferry.policy._permits import PERMIT_S
from cairnferry.records import Target


@attrs.frozen
class Permit:
    """May be used for one request, between two times in seconds."""

    start: float
    end: float

    @classmethod
    def starting(cls, start: float) -> "Permit":
        """Give a permit that may be used from a time on."""
        return cls(start, start + PERMIT_S)


@attrs.frozen
class Wanted:
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
    """Limits in force, and the permits that this daemon holds.

    Attributes
    ----------
    book : LimitBook
        Limits.
    sent : dict of str to int
        Requests sent to each target while it had a limit, by the names of their starts.
    """

    book: LimitBook = attrs.field(factory=LimitBook)
    sent: dict[str, int] = attrs.field(factory=dict)
    _permits: dict[str, deque[Permit]] = attrs.field(factory=dict)

    def __bool__(self):
        """Tell whether any target names a limit."""
        return len(self.book) > 0

    def is_limited(self, identity: str) -> bool:
        """Tell whether a target names a limit."""
        return self.book.rate(identity) is not None

    def admits(self, identity: str, now: float) -> bool:
        """Tell whether a request may be sent to a target now."""
        return not self.is_limited(identity) or self.has_permit(identity, now)

    def has_permit(self, identity: str, now: float) -> bool:
        """Tell whether a permit is there that may be used now."""
        held = self._permits.get(identity, ())
        return any(permit.start <= now < permit.end for permit in held)

    def spend(self, identity: str, now: float) -> None:
        """Use a permit, as a request is sent; nothing where there is no limit."""
        if not self.is_limited(identity):
            return
        self.sent[identity] = self.sent.get(identity, 0) + 1
        held = self._permits.get(identity, ())
        for permit in held:
            if permit.start <= now < permit.end:
                held.remove(permit)
                return

    def add(self, identity: str, permits: list[Permit]) -> None:
        """Take in permits that were given."""
        self._permits.setdefault(identity, deque()).extend(permits)

    def held(self, identity: str) -> int:
        """Count the permits that are held, those for later too."""
        return len(self._permits.get(identity, ()))

    def next_start(self, now: float) -> float | None:
        """Give the time of the next permit that is held for later, if there is one."""
        starts = [
            permit.start
            for held in self._permits.values()
            for permit in held
            if permit.start > now
        ]
        return min(starts, default=None)

    def void(self, identity: str) -> None:
        """Drop the permits for a target, as they were given under another limit."""
        self._permits.pop(identity, None)

    def take_lapsed(self, now: float) -> dict[str, int]:
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
