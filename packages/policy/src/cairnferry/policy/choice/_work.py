"""Estimated work of the requests of each route, and their urgency."""

import attrs

from cairnferry.records import RouteIdentity

# Weight of a new sample, 0 to 1. The estimate reflects about the last ten responses,
# which a route gets in one second.
SAMPLE_GAIN = 0.1
# Upper bound of a sample as a multiple of the estimate: the time of a request that hung
# does not reflect its work.
MAX_SAMPLE_FACTOR = 4.0
# Arrivals after which a rank is forgotten that no workspace has sent any more. All
# requests would otherwise count as less urgent than those of a removed workspace.
RANK_ARRIVALS = 1000


@attrs.define
class WorkEstimates:
    """Estimates of work by route, for the requests of one service.

    The work of the routes of one service differs by a factor of six. A common estimate
    would admit requests that take too long and refuse short ones.
    """

    _seconds: dict[RouteIdentity, float] = attrs.field(factory=dict)
    _route_ranks: dict[RouteIdentity, int] = attrs.field(factory=dict)
    # Number of the last arrival by rank, for requests of workspaces.
    _workspace_ranks: dict[int, int] = attrs.field(factory=dict)
    _arrivals: int = 0
    _most_urgent_rank: int | None = None

    def note_arrival(
        self, route: RouteIdentity, rank: int, workspace: str = ""
    ) -> None:
        """Record the arrival of a request and its rank.

        Parameters
        ----------
        route : RouteIdentity
            Identity of its route.
        rank : int
            Its rank, which is that of the route or of the workspace.
        workspace : str, optional
            Name of its workspace. Requests of one route then have several ranks.
        """
        if workspace:
            self._note_workspace_rank(rank)
        elif self._route_ranks.get(route) != rank:
            self._route_ranks[route] = rank
            self._update_most_urgent_rank()

    def _note_workspace_rank(self, rank):
        self._arrivals += 1
        is_new = rank not in self._workspace_ranks
        self._workspace_ranks[rank] = self._arrivals
        if not is_new and self._arrivals % RANK_ARRIVALS:
            return
        oldest = self._arrivals - RANK_ARRIVALS
        self._workspace_ranks = {
            each: last for each, last in self._workspace_ranks.items() if last > oldest
        }
        self._update_most_urgent_rank()

    def _update_most_urgent_rank(self):
        ranks = [*self._route_ranks.values(), *self._workspace_ranks]
        self._most_urgent_rank = min(ranks)

    def is_urgent(self, rank: int) -> bool:
        """Return whether no requests of the service have a more urgent rank."""
        return self._most_urgent_rank is None or rank <= self._most_urgent_rank

    def record(self, route: RouteIdentity, elapsed: float, cost: float) -> None:
        """Record the time that a request took.

        Parameters
        ----------
        route : RouteIdentity
            Identity of its route.
        elapsed : float
            Time in seconds from the start of the attempt to the response.
        cost : float
            Expected time as a multiple of the usual time.
        """
        sample = elapsed / max(cost, 1.0)
        estimate = self._seconds.get(route)
        if estimate is None:
            self._seconds[route] = sample
            return
        self._seconds[route] = estimate + SAMPLE_GAIN * (
            min(sample, MAX_SAMPLE_FACTOR * estimate) - estimate
        )

    def seconds(self, route: RouteIdentity) -> float:
        """Return the time in seconds at an idle target of usual speed; 0 if unknown."""
        return self._seconds.get(route, 0.0)
