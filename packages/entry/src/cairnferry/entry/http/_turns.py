"""Fair use of the processor by the tasks of callers that send unusual data."""

import gevent
from gevent.lock import Semaphore

# Shorter than any timer of the event loop: a timer, unlike a sleep of 0, lets the loop
# look for input of the others first.
ONE_TURN_S = 1e-6


class Turns:
    """Lets one task do a slice of lengthy work in each turn of the event loop.

    The daemon has one thread. Data that is costly to read, and arrives faster than it
    is read, would otherwise keep it from all other callers, however many send it.
    """

    def __init__(self):
        self._lock = Semaphore(1)

    def wait(self) -> None:
        """Wait until this task may do the next slice."""
        with self._lock:
            gevent.sleep(ONE_TURN_S)
