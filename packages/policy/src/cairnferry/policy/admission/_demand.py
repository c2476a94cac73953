"""Estimate of the request rate of a service at this daemon."""

from collections import deque

import attrs

# Window in seconds over which requests are counted; the same number is expected in the
# next window.
WINDOW_S = 1.0
# Largest number of requests counted. More permits than that are never requested.
MAX_ARRIVALS = 256


@attrs.define
class DemandEstimate:
    """Number of requests in the last second, as the estimate for the next second."""

    _arrivals: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def record_arrival(self, now: float) -> None:
        """Count an arriving request."""
        self._arrivals.append(now)

    def expected(self, now: float) -> int:
        """Return the number of requests expected in the next second."""
        while self._arrivals and self._arrivals[0] <= now - WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals)
