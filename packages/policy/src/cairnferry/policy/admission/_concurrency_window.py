"""Adaptive limit of the requests that this daemon has in flight to one service.

All daemons share the slots of a target. A static share would waste the slots of idle
daemons, and a paused holder of a lease would use it after its expiry. Each daemon
therefore adapts its limit to the load that targets report: the limit grows slowly
while targets have free slots, and is reduced when they queue requests.
"""

import attrs


@attrs.define
class ConcurrencyWindow:
    """Limit that grows by about `growth` per window of responses.

    Parameters
    ----------
    limit : float
        Number of requests in flight allowed at the start.
    minimum, maximum : float
        Lower and upper bound of the limit.
    min_cut_factor : float
        Smallest factor by which the limit is reduced in one step.
    growth : float, optional
        Growth of the limit per window of responses.
    """

    limit: float
    minimum: float
    maximum: float
    min_cut_factor: float
    growth: float = 1.0
    _cut_at: float = 0.0

    def set_maximum(self, maximum: float) -> None:
        """Set the upper bound."""
        self.maximum = max(self.minimum, maximum)
        self.limit = min(self.limit, self.maximum)

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        return in_flight + 1 <= self.limit

    def grow_if_reached(self, in_flight: int) -> None:
        """Increase the limit if the requests in flight have reached it."""
        if in_flight + 1 >= self.limit:
            self.limit = min(self.maximum, self.limit + self.growth / self.limit)

    def cut(self, excess: float, now: float, latency: float) -> None:
        """Reduce the limit, at most once per response time.

        All responses of one burst report the same overload.

        Parameters
        ----------
        excess : float
            Reported load divided by the intended load; above 1.
        now, latency : float
            Time and usual response time of the service in seconds.
        """
        if now - self._cut_at >= latency:
            factor = max(self.min_cut_factor, 1 / excess)
            self.limit = max(self.minimum, self.limit * factor)
            self._cut_at = now
