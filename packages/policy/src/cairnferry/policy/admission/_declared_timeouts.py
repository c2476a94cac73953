"""Estimate of the time that callers have spent on earlier attempts of a request.

A caller that comes back after a refusal declares the time that it has left. The latency
objective counts from its first attempt, of which a stateless protocol tells nothing.
First attempts of a route declare nearly the same time, less what it took to connect.
Callers with another time limit of their own are recognized by values that recur, as the
time that is left differs at each return.
"""

from collections import Counter, deque

import attrs

from cairnferry.records import RouteIdentity

# Requests of a route that are remembered, and how many of them must declare the same
# time for it to count as the time limit of first attempts.
MAX_REMEMBERED = 32
MIN_REPEATS = 3
# Routes that are remembered. An installation has some hundred.
MAX_ROUTES = 4096
MS_PER_S = 1000


@attrs.define
class _RouteTimeouts:
    """Time limits that the latest requests of a route declared."""

    latest: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_REMEMBERED))
    counts: Counter[int] = attrs.field(factory=Counter)

    def add(self, timeout_ms):
        if len(self.latest) == MAX_REMEMBERED:
            oldest = self.latest[0]
            self.counts[oldest] -= 1
            if not self.counts[oldest]:
                del self.counts[oldest]
        self.latest.append(timeout_ms)
        self.counts[timeout_ms] += 1


@attrs.define
class DeclaredTimeouts:
    """Time limits that callers declare for the requests of each route."""

    _routes: dict[RouteIdentity, _RouteTimeouts] = attrs.field(factory=dict)

    def note(self, route: RouteIdentity, timeout_ms: int) -> float:
        """Record a request; return the seconds that its caller has already spent.

        Parameters
        ----------
        route : RouteIdentity
            Identity of its route.
        timeout_ms : int
            Time limit that the caller declares, in milliseconds.

        Returns
        -------
        float
            Difference to the longest time that recent requests declared; 0 for a time
            limit that recurs.
        """
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            known = self._routes[route] = _RouteTimeouts()
        known.add(timeout_ms)
        if known.counts[timeout_ms] >= MIN_REPEATS:
            return 0.0
        return (max(known.counts) - timeout_ms) / MS_PER_S
