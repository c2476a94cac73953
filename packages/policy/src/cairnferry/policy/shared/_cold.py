"""Targets that are cold, and the request rate that they tolerate until they are warm.

A target that has just started, or has lost its caches, tolerates the rate that the
record of its service sets, and fails well above it. If each daemon sent its usual
share, the sum would exceed that rate.

All times are monotonic seconds of one clock.
"""

import attrs

# Seconds by which the end of a cold period has to move to be reported again to others.
MIN_REPORTED_EXTENSION_S = 0.5


@attrs.frozen
class ColdPeriod:
    """The period during which a target is cold.

    Attributes
    ----------
    since, until : float
        Times in seconds at which the period became known and at which it ends.
    per_s : float
        Requests per second that the target tolerates, over all daemons.
    """

    since: float
    until: float
    per_s: float


@attrs.define
class ColdRegistry:
    """Registry of cold targets, by target identity.

    A report by the target itself, in its response to a status check, replaces the known
    period. Rows and reports by other daemons may be older, so they can only extend it:
    limiting a target for a second too long costs little.
    """

    _cold: dict[str, ColdPeriod] = attrs.field(factory=dict)
    _rows: dict[str, float] = attrs.field(factory=dict)

    def __len__(self):
        """Return the number of cold targets."""
        return len(self._cold)

    def get(self, identity: str) -> ColdPeriod | None:
        """Return the cold period of a target; None if it is warm."""
        return self._cold.get(identity)

    def note_own_report(
        self, identity: str, until: float, per_s: float, now: float
    ) -> bool:
        """Record a report by the target itself; return whether to report it to others.

        Parameters
        ----------
        identity : str
            Identity of the target.
        until : float
            Time in seconds until which it is cold; not after `now` if it is warm.
        per_s : float
            Requests per second that it tolerates until then.
        now : float
            Time in seconds.
        """
        known = self._cold.get(identity)
        if until <= now:
            self._cold.pop(identity, None)
            return False
        since = known.since if known else now
        self._cold[identity] = ColdPeriod(since, until, per_s)
        return known is None or until > known.until + MIN_REPORTED_EXTENSION_S

    def receive(self, identity: str, until: float, per_s: float, now: float) -> bool:
        """Record a report by another daemon; return whether the target was warm."""
        known = self._cold.get(identity)
        if until <= now or (known and known.until >= until):
            return False
        self._cold[identity] = ColdPeriod(known.since if known else now, until, per_s)
        return known is None

    def note_row(self, identity: str, until: float, per_s: float, now: float) -> bool:
        """Record the period in a target's row, each value once; return as `receive`."""
        if until <= now or self._rows.get(identity) == until:
            return False
        self._rows[identity] = until
        return self.receive(identity, until, per_s, now)

    def drop_warm(self, now: float) -> list[str]:
        """Remove the targets that are warm by now, and return them."""
        warm = [identity for identity, cold in self._cold.items() if cold.until <= now]
        for identity in warm:
            del self._cold[identity]
        self._rows = {each: until for each, until in self._rows.items() if until > now}
        return warm
