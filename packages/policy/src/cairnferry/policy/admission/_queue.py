"""Queue of requests that wait for a target, by priority and deadline."""

import heapq
import itertools

import attrs

from cairnferry.policy.requests import Call
from cairnferry.records import Priority

PRIORITIES = (Priority.INTERACTIVE, Priority.BACKGROUND)


@attrs.define
class _PriorityQueue:
    """Waiting requests of one priority, earliest deadline first."""

    heap: list = attrs.field(factory=list)
    waiting: set = attrs.field(factory=set)


@attrs.define
class WaitingCalls:
    """Queue of interactive and then background requests, earliest deadline first."""

    _queues: dict[Priority, _PriorityQueue] = attrs.field(
        factory=lambda: {priority: _PriorityQueue() for priority in PRIORITIES}
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
        """Remove a request if it waits; its heap entry is skipped later."""
        self._queues[call.priority].waiting.discard(call)

    def peek(self, priority: Priority) -> Call | None:
        """Return the first request of a priority, or None."""
        queue = self._queues[priority]
        while queue.heap and queue.heap[0][2] not in queue.waiting:
            heapq.heappop(queue.heap)
        return queue.heap[0][2] if queue.heap else None

    def count_ahead_of(self, priority: Priority) -> int:
        """Count the requests that precede a new one of a priority.

        Background requests do not count for an interactive one. They may wait for
        spare capacity while there is capacity for the interactive request.
        """
        if priority is Priority.BACKGROUND:
            return len(self)
        return len(self._queues[Priority.INTERACTIVE].waiting)

    def last_background(self) -> Call | None:
        """Return the background request that is displaced first, or None."""
        waiting = self._queues[Priority.BACKGROUND].waiting
        return max(waiting, key=lambda call: call.deadline, default=None)
