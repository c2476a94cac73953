"""How many requests for a service come to this daemon."""

from collections import deque

import attrs

# Seconds over which requests are counted, and for which as many are expected.
SPAN_S = 1.0
# Requests that are counted at most: more permits than that are never asked for.
MAX_COUNTED = 256


@attrs.define
class Demand:
    """Requests of the last second, as the best guess at those of the next."""

    _arrivals: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_COUNTED))

    def note(self, now: float) -> None:
        """Count a request that arrives."""
        self._arrivals.append(now)

    def expected(self, now: float) -> int:
        """Give the requests to expect in the next second."""
        while self._arrivals and self._arrivals[0] <= now - SPAN_S:
            self._arrivals.popleft()
        return len(self._arrivals)
