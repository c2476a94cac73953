"""Requests that wait for a target, by class and deadline."""

import heapq
import itertools

import attrs

from cairnferry.policy._model import Call
from cairnferry.records import Priority

_ORDER = (Priority.INTERACTIVE, Priority.BACKGROUND)


@attrs.define
class WaitingCalls:
    """Bounded queue: interactive requests first, then the nearest deadline."""

    _heaps: dict = attrs.field(factory=lambda: {priority: [] for priority in _ORDER})
    _waiting: set = attrs.field(factory=set)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def __len__(self):
        return len(self._waiting)

    def push(self, call: Call) -> None:
        """Add a request."""
        self._waiting.add(call)
        entry = (call.deadline, next(self._sequence), call)
        heapq.heappush(self._heaps[call.priority], entry)

    def remove(self, call: Call) -> None:
        """Take a request out, if it waits; its heap entry is skipped later."""
        self._waiting.discard(call)

    def peek(self, priority: Priority) -> Call | None:
        """Give the first request of a class."""
        heap = self._heaps[priority]
        while heap and heap[0][2] not in self._waiting:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def count(self, priority: Priority) -> int:
        """Count the requests that go before a new one of a class, roughly."""
        if priority is Priority.BACKGROUND:
            return len(self._waiting)
        return min(len(self._waiting), len(self._heaps[Priority.INTERACTIVE]))

    def last_background(self) -> Call | None:
        """Give a background request that may be refused to make room."""
        background = [
            entry[2]
            for entry in self._heaps[Priority.BACKGROUND]
            if entry[2] in self._waiting
        ]
        return max(background, key=lambda call: call.deadline, default=None)
