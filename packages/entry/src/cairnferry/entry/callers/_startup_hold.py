"""Requests that arrive shortly before a daemon that starts has its first rules."""

import time

import attrs
from gevent.event import Event

# Longest wait of a request in seconds: shorter than the objectives of most requests,
# and several times what a start usually takes from its listeners to its rules.
WAIT_S = 0.5
# Bounds of the requests that wait at a time, and of the bytes of their bodies.
MAX_WAITING = 100
MAX_BYTES = 4 * 1024 * 1024


@attrs.define
class StartupHold:
    """Lets requests wait for the first rules instead of refusing them.

    After a power failure, callers that are refused return at once. They use up their
    attempts, and their new connections slow down the start. During an outage of the
    store a start may last for minutes, so that requests wait in its first seconds only.

    Parameters
    ----------
    in_force : Event
        Set once rules are in force.
    ends_at : float
        Monotonic time in seconds from which requests do not wait.

    Attributes
    ----------
    waiting : int
        Number of requests that wait.
    """

    in_force: Event
    ends_at: float
    waiting: int = 0
    _bytes: int = 0

    @property
    def is_active(self) -> bool:
        """Whether requests may wait."""
        return time.monotonic() < self.ends_at

    def wait(self, size: int) -> bool:
        """Wait for the first rules; return whether they are in force.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        """
        seconds = min(WAIT_S, self.ends_at - time.monotonic())
        is_full = self.waiting >= MAX_WAITING or self._bytes + size > MAX_BYTES
        if seconds <= 0 or is_full:
            return self.in_force.is_set()
        self.waiting += 1
        self._bytes += size
        try:
            return self.in_force.wait(seconds)
        finally:
            self.waiting -= 1
            self._bytes -= size
