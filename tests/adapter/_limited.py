"""Stand-in of a target that names a limit, and counts what it gets in each window."""

import time

import gevent

from ._standins import HostedTarget, target_row

# The contract: requests in any such window are at most so many times what the limit
# allows, and some more, from so many seconds after it was first named.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
CONTACT_S = 3.0
RUN_S = 0.02


def fullest_window(arrivals, seconds=WINDOW_S):
    """Give the most arrivals in any window of that length."""
    fullest = first = 0
    for last, at in enumerate(arrivals):
        while arrivals[first] <= at - seconds:
            first += 1
        fullest = max(fullest, last - first + 1)
    return fullest


def allowed(limit, seconds=WINDOW_S):
    """Give the requests that a window may hold."""
    return EXCESS * limit * seconds + SLACK


class LimitedTarget:
    """A target that may name a limit in its answers.

    Parameters
    ----------
    store : StoreStandin
        Gets its row.
    name : str
        Its name.
    """

    HEADER = "Cairnferry-Server-Limit"

    def __init__(self, store, name, service="svc"):
        self.limit = None
        self.arrivals = []
        self._target = HostedTarget(name, self._behave)
        store.put("servers", name, target_row(self._target.port, service))

    def name_limit(self, limit):
        """Name a limit from now on; None lifts it. Give the time."""
        self.limit = limit
        return time.monotonic()

    def arrivals_since(self, moment):
        return [at for at in self.arrivals if at >= moment]

    def _behave(self, number):
        self.arrivals.append(time.monotonic())
        gevent.sleep(RUN_S)
        if self.limit is None:
            return None
        return self._target.answer(
            "{id}", b"done", proof=True, extra=[f"{self.HEADER}: {self.limit}"]
        )

    def stop(self):
        self._target.stop()
