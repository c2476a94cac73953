"""Requests that wait for a target, by class and deadline."""

import heapq
import itertools

import attrs

from cairnferry.policy.requests import Call
from cairnferry.records import Priority

CLASSES = (Priority.INTERACTIVE, Priority.BACKGROUND)


@attrs.define
class _ClassQueue:
    """Waiting requests of one class, the nearest deadline first."""

    heap: list = attrs.field(factory=list)
    waiting: set = attrs.field(factory=set)


@attrs.define
class WaitingCalls:
    """Bounded queue: interactive requests first, then the nearest deadline."""

    _queues: dict[Priority, _ClassQueue] = attrs.field(
        factory=lambda: {priority: _ClassQueue() for priority in CLASSES}
    )
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def __len__(self):
        return sum(len(queue.waiting) for queue in self._queues.values())

    def push(self, call: Call) -> None:
        """Add a request."""
        queue = self._queues[call.priority]
        queue.waiting.add(call)
        heapq.heappush(queue.heap, (call.deadline, next(self._sequence), call))

    def remove(self, call: Call) -> None:
        """Take a request out, if it waits; its heap entry is skipped later."""
        self._queues[call.priority].waiting.discard(call)

    def peek(self, priority: Priority) -> Call | None:
        """Give the first request of a class."""
        queue = self._queues[priority]
        while queue.heap and queue.heap[0][2] not in queue.waiting:
            heapq.heappop(queue.heap)
        return queue.heap[0][2] if queue.heap else None

    def ahead_of(self, priority: Priority) -> int:
        """Count the requests that go before a new one of a class.

        Background requests are not ahead of an interactive one: they may wait
        for lack of spare capacity while there is room for it.
        """
        if priority is Priority.BACKGROUND:
            return len(self)
        return len(self._queues[Priority.INTERACTIVE].waiting)

    def last_background(self) -> Call | None:
        """Give a background request that may be refused to make room."""
        waiting = self._queues[Priority.BACKGROUND].waiting
        return max(waiting, key=lambda call: call.deadline, default=None)
