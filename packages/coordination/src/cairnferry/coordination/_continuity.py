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
    is_out : bool
        Whether no call has succeeded since the latest failure.
    is_doubted : bool
        Whether another daemon did not reach the store, and no call since has succeeded.
    interruptions : int
        Number of failures and other interruptions so far.
    """

    outage_began_at: float = -math.inf
    is_out: bool = False
    is_doubted: bool = False
    interruptions: int = 0
    _returned_at: float = -math.inf
    _succeeds_since: float = math.inf
    _doubted_at: float = -math.inf

    def note_failure(self, now: float) -> None:
        """Record a call that the store did not answer."""
        if not self.is_out and now >= self._returned_at + RETURN_GRACE_S:
            self.outage_began_at = now
        self.is_out = True
        self.interrupt()

    def note_success(self, called_at: float, now: float) -> None:
        """Record an answer of the store to a call that began at a time."""
        if self.is_out:
            self.is_out = False
            self._returned_at = now
        self._succeeds_since = min(self._succeeds_since, now)
        if called_at >= self._doubted_at:
            self.is_doubted = False

    def doubt(self, now: float) -> None:
        """Record that another daemon did not reach the store.

        A call that waits for changes does not show whether this daemon does. The calls
        are not established until one that begins later is answered.
        """
        self._doubted_at = now
        self.is_doubted = True

    def interrupt(self) -> None:
        """Record that calls pause, or that an answer does not show continuity."""
        self.interruptions += 1
        self._succeeds_since = math.inf

    def has_lasted(self, now: float) -> bool:
        """Return whether all calls have succeeded for `ESTABLISHED_S`."""
        return now >= self._succeeds_since + ESTABLISHED_S

    def is_established(self, now: float) -> bool:
        """Return whether the calls have lasted, and there is no doubt."""
        return self.has_lasted(now) and not self.is_doubted
