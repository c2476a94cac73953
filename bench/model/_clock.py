"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated time and what is to happen."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Let something happen later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), event))

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
