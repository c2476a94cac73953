"""Targets that are cold, and what they take from all daemons until they are warm.

A target that has just started, or lost what it had in its caches, tolerates a rate
that its service's record names, and falls over well above it. Each daemon alone would
send no more than usual, which in sum is too much.

All times are monotonic seconds of one clock.
"""

import attrs

# Seconds by which the end of coldness has to move for others to be told once more.
WORTH_TELLING_S = 0.5


@attrs.frozen
class ColdPeriod:
    """What is known of a cold target.

    Attributes
    ----------
    since, until : float
        Times in seconds from which that is known, and to which it holds.
    per_s : float
        Requests a second that it takes meanwhile.
    """

    since: float
    until: float
    per_s: float


@attrs.define
class ColdRegistry:
    """Cold targets, by the names of their starts.

    Words of the target itself, in answers to status checks, replace what was known.
    What rows and other daemons tell may be older, and can only extend it: a target that
    is spared for a second too long loses little.
    """

    _cold: dict[str, ColdPeriod] = attrs.field(factory=dict)
    _rows: dict[str, float] = attrs.field(factory=dict)

    def __len__(self):
        """Give the number of targets that are cold."""
        return len(self._cold)

    def get(self, identity: str) -> ColdPeriod | None:
        """Give what is known of a target; None if it is warm."""
        return self._cold.get(identity)

    def note_own_report(
        self, identity: str, until: float, per_s: float, now: float
    ) -> bool:
        """Take in what a target says of itself; tell whether others should know.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        until : float
            Time in seconds to which it is cold; not after `now` if it is warm.
        per_s : float
            Requests a second that it takes until then.
        now : float
            Time in seconds.
        """
        known = self._cold.get(identity)
        if until <= now:
            self._cold.pop(identity, None)
            return False
        since = known.since if known else now
        self._cold[identity] = ColdPeriod(since, until, per_s)
        return known is None or until > known.until + WORTH_TELLING_S

    def receive(self, identity: str, until: float, per_s: float, now: float) -> bool:
        """Take in what another daemon tells; tell whether it was taken for warm."""
        known = self._cold.get(identity)
        if until <= now or (known and known.until >= until):
            return False
        self._cold[identity] = ColdPeriod(known.since if known else now, until, per_s)
        return known is None

    def note_row(self, identity: str, until: float, per_s: float, now: float) -> bool:
        """Take in what a target's row tells, each time only once; as `hear`."""
        if until <= now or self._rows.get(identity) == until:
            return False
        self._rows[identity] = until
        return self.receive(identity, until, per_s, now)

    def drop_warm(self, now: float) -> list[str]:
        """Forget the targets that are warm by now; give them."""
        warm = [identity for identity, cold in self._cold.items() if cold.until <= now]
        for identity in warm:
            del self._cold[identity]
        self._rows = {each: until for each, until in self._rows.items() if until > now}
        return warm
