"""Limit of the own requests in flight to one service.

A target's slots are shared by all daemons. A static share would waste what idle
daemons leave; a lease would still be used by a holder that was paused. So each
daemon learns its part from what targets report: it grows slowly while they have
room and is cut when they queue.
"""

import attrs


@attrs.define
class Window:
    """Limit that grows by about one for each window of answers.

    Parameters
    ----------
    limit : float
        Requests in flight, at the start.
    minimum, maximum : float
        Bounds of the limit.
    deepest_cut : float
        Smallest factor of one cut.
    growth : float, optional
        Growth in one window of answers.
    """

    limit: float
    minimum: float
    maximum: float
    deepest_cut: float
    growth: float = 1.0
    _cut_at: float = 0.0

    def set_maximum(self, maximum: float) -> None:
        """Change the upper bound."""
        self.maximum = max(self.minimum, maximum)
        self.limit = min(self.limit, self.maximum)

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more may be sent."""
        return in_flight + 1 <= self.limit

    def note_free(self, in_flight: int) -> None:
        """Grow, if the limit is what held requests back."""
        if in_flight + 1 >= self.limit:
            self.limit = min(self.maximum, self.limit + self.growth / self.limit)

    def note_full(self, excess: float, now: float, latency: float) -> None:
        """Cut, once for each answer time: answers of one burst tell one thing.

        Parameters
        ----------
        excess : float
            Load over the load that is wanted; above 1.
        now, latency : float
            Time and answer time of the service, in seconds.
        """
        if now - self._cut_at >= latency:
            factor = max(self.deepest_cut, 1 / excess)
            self.limit = max(self.minimum, self.limit * factor)
            self._cut_at = now
