"""Stand-in for a target that advertises a request limit and records arrivals."""

import time

import gevent

from ._standins import HostedTarget, target_row

# The contract: in any window of WINDOW_S seconds, a target gets at most EXCESS times
# the requests that its limit allows, plus SLACK. It applies from LIMIT_DELAY_S seconds
# after the limit was first advertised.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
LIMIT_DELAY_S = 3.0
SERVICE_TIME_S = 0.02


def max_per_window(arrivals, seconds=WINDOW_S):
    """Return the maximum number of arrivals in any window of this length."""
    highest = first = 0
    for last, at in enumerate(arrivals):
        while arrivals[first] <= at - seconds:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def max_allowed(limit, seconds=WINDOW_S):
    """Return the maximum number of requests that the contract allows in a window."""
    return EXCESS * limit * seconds + SLACK


class LimitedTarget:
    """A target that can advertise a limit in its answers.

    Parameters
    ----------
    store : StoreStandin
        Store that receives the row of the target.
    name : str
        Name of the target.
    service : str, optional
        Service of the target.

    Attributes
    ----------
    limit : float or None
        Limit in requests per second; None for no limit.
    arrivals : list of float
        Times of all requests.
    """

    HEADER = "Cairnferry-Server-Limit"

    def __init__(self, store, name, service="svc"):
        self.limit = None
        self.arrivals = []
        self._target = HostedTarget(name, self._behave)
        store.put("servers", name, target_row(self._target.port, service))

    def set_limit(self, limit):
        """Advertise a limit from now on, or lift it with None; return the time."""
        self.limit = limit
        return time.monotonic()

    def arrivals_since(self, moment):
        return [at for at in self.arrivals if at >= moment]

    def _behave(self, number):
        self.arrivals.append(time.monotonic())
        gevent.sleep(SERVICE_TIME_S)
        if self.limit is None:
            return None
        return self._target.answer(
            "{id}", b"done", proof=True, extra=[f"{self.HEADER}: {self.limit}"]
        )

    def stop(self):
        self._target.stop()
