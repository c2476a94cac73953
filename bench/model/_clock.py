"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated time and the queue of future events."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event after some seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), event))

    def run(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
