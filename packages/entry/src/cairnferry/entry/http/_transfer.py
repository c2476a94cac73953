"""Data that is being moved from or to a caller, and its pace."""

import math
from contextlib import contextmanager

import attrs

# Seconds over which the pace of a connection is measured, at least and at most.
SHORTEST_SPAN_S = 0.25
LONGEST_SPAN_S = 1.0


@attrs.define(eq=False)
class Transfer:
    """Data that is being moved from or to a caller, and its pace.

    The pace is measured between two looks at it. A process that was stalled does not
    take its own pause for one of its callers.

    Attributes
    ----------
    moved : int
        Bytes moved so far.
    is_paused : bool
        Whether the daemon, and not the caller, delays the transfer.
    """

    moved: int = 0
    is_paused: bool = False
    _seen_at: float | None = None
    _seen_moved: int = 0
    _seconds: float = 0.0

    def note(self, size: int) -> None:
        """Record bytes that were moved."""
        self.moved += size

    @contextmanager
    def paused(self):
        """Exclude the time of the context from the measurement."""
        self.is_paused = True
        try:
            yield
        finally:
            self.is_paused = False
            self._seen_at = None

    def seconds_for(self, size: int, now: float) -> float:
        """Return the seconds that some bytes take at the present pace.

        Parameters
        ----------
        size : int
            Number of bytes.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Infinite if nothing moves; zero as long as the pace is not known.
        """
        if self.is_paused:
            return 0.0
        if self._seen_at is None:
            self._see(now)
            self._seconds = 0.0
        span = now - self._seen_at
        if span >= SHORTEST_SPAN_S:
            moved = self.moved - self._seen_moved
            self._seconds = size * span / moved if moved else math.inf
        if span >= LONGEST_SPAN_S:
            self._see(now)
        return self._seconds

    def _see(self, now):
        self._seen_at, self._seen_moved = now, self.moved
