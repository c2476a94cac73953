"""How long the requests of each route take, and which of them are urgent."""

import attrs

# Weight of a new sample: some ten answers, a second of one route, make the estimate.
GAIN = 0.1
# A request that took this many times as long as usual counts as that: one that hung
# says nothing of the work.
LONGEST = 4.0


@attrs.define
class WorkEstimates:
    """Estimates by route, for the requests of one service.

    Routes of one service differ by a factor of six in what they ask of a target, so
    that a common estimate would let in what is too long and refuse what is short.
    """

    _seconds: dict[str, float] = attrs.field(factory=dict)
    _ranks: dict[str, int] = attrs.field(factory=dict)
    _first_rank: int | None = None

    def note_arrival(self, route: str, rank: int) -> None:
        """Take in that a route's requests come here."""
        if self._ranks.get(route) != rank:
            self._ranks[route] = rank
            self._first_rank = min(self._ranks.values())

    def is_urgent(self, rank: int) -> bool:
        """Tell whether no other requests of the service go before this rank."""
        return self._first_rank is None or rank <= self._first_rank

    def note(self, route: str, elapsed: float, cost: float) -> None:
        """Take in how long a request took.

        Parameters
        ----------
        route : str
            Name of its route.
        elapsed : float
            Seconds from sending to the answer.
        cost : float
            How many times longer than usual it was expected to take.
        """
        sample = elapsed / max(cost, 1.0)
        known = self._seconds.get(route)
        if known is None:
            self._seconds[route] = sample
            return
        self._seconds[route] = known + GAIN * (min(sample, LONGEST * known) - known)

    def seconds(self, route: str) -> float:
        """Give the seconds at an idle target of usual pace; 0 if unknown."""
        return self._seconds.get(route, 0.0)
