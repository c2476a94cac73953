"""Longest times that the requests of each route have taken lately."""

import math

import attrs

from cairnferry.records import RouteIdentity

# Seconds of requests that are remembered at least, and at most twice that while
# requests come. A route without requests keeps its longest time.
WINDOW_S = 30.0
# Routes that are remembered. An installation has some hundred.
MAX_ROUTES = 4096


@attrs.define
class LongestTimes:
    """Longest time of a request by route, over its latest window or two."""

    _current: dict[RouteIdentity, float] = attrs.field(factory=dict)
    _previous: dict[RouteIdentity, float] = attrs.field(factory=dict)
    _ends_at: float = -math.inf

    def note(self, route: RouteIdentity, seconds: float, now: float) -> None:
        """Record the time that a request took.

        Parameters
        ----------
        route : RouteIdentity
            Identity of its route.
        seconds : float
            Time in seconds from its arrival to its answer.
        now : float
            Time in seconds.
        """
        if now >= self._ends_at or len(self._current) >= MAX_ROUTES:
            self._start_window(now)
        if seconds > self._current.get(route, 0.0):
            self._current[route] = seconds

    def _start_window(self, now):
        known = {**self._previous, **self._current}
        self._previous = known if len(known) <= MAX_ROUTES else self._current
        self._current = {}
        self._ends_at = now + WINDOW_S

    def seconds(self, route: RouteIdentity) -> float:
        """Return the longest time of a route in seconds; 0 if none is known."""
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))
