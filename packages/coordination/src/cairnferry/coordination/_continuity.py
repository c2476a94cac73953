"""How long calls to the store have succeeded without interruption."""

import math

import attrs

# Seconds after the end of an outage within which live writers have written expired
# rows again, according to the platform, less the time that an update takes.
RETURN_GRACE_S = 1.9
# Seconds of uninterrupted success from which removals are settled. Rows that expired in
# an outage are written again by then, and the call that reports them has begun.
ESTABLISHED_S = 3.0


@attrs.define
class CallContinuity:
    """Record of a daemon's calls to the store.

    Attributes
    ----------
    outage_began_at : float
        Local time in seconds at which the latest outage began. An outage that follows
        an earlier one within `RETURN_GRACE_S` continues it, as writers may have missed
        the interval.
    """

    outage_began_at: float = -math.inf
    _is_out: bool = False
    _returned_at: float = -math.inf
    _succeeds_since: float = math.inf

    def note_failure(self, now: float) -> None:
        """Record a call that the store did not answer."""
        if not self._is_out and now >= self._returned_at + RETURN_GRACE_S:
            self.outage_began_at = now
        self._is_out = True
        self._succeeds_since = math.inf

    def note_success(self, now: float) -> None:
        """Record an answer of the store."""
        if self._is_out:
            self._is_out = False
            self._returned_at = now
        self._succeeds_since = min(self._succeeds_since, now)

    def interrupt(self) -> None:
        """Record that calls pause, or that an answer does not show continuity."""
        self._succeeds_since = math.inf

    def is_established(self, now: float) -> bool:
        """Return whether all calls have succeeded for `ESTABLISHED_S`."""
        return now >= self._succeeds_since + ESTABLISHED_S
