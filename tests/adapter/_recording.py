"""Stand-ins for targets that record requests by daemon, and callers of daemons."""

import time

import gevent

from ._standins import HostedTarget, target_row


class RecordingTarget:
    """A target that records which daemon sent each request, and answers as set.

    Parameters
    ----------
    store : StoreStandin
        Store that receives the row of the target.
    name : str
        Name of the target.

    Attributes
    ----------
    status : str
        Status line of its answers; a request without a successful status is not run.
    extra : str or None
        Header line with an advisory that is added to each answer, or None.
    arrivals, advised : list of (float, str)
        Time and sending daemon of each request, and of each request whose answer had
        the `extra` header.
    """

    def __init__(self, store, name):
        self.status = "200 OK"
        self.extra = None
        self.arrivals = []
        self.advised = []
        self._target = HostedTarget(name, self._behave)
        store.put("servers", name, self.row())

    def row(self, **more):
        return target_row(self._target.port, **more)

    def _behave(self, number):
        _, _, headers, _ = self._target.seen[-1]
        daemon = headers["cairnferry-request-id"].split("-")[0]
        arrival = (time.monotonic(), daemon)
        self.arrivals.append(arrival)
        if self.extra is None:
            return None
        self.advised.append(arrival)
        is_good = self.status.startswith("200")
        not_run = [] if is_good else ["Cairnferry-Not-Executed: 1"]
        return self._target.answer(
            "{id}", b"", self.status, proof=is_good, extra=[self.extra, *not_run]
        )

    def has_advised(self, daemons):
        """Return whether this number of daemons got an answer with the header."""
        return len({daemon for _, daemon in self.advised}) == daemons

    def count_late(self, since_s, to_s):
        """Return how many requests a daemon sent after each answer with the header.

        Parameters
        ----------
        since_s, to_s : float
            Start and end of the counted period, in seconds after the answer.
        """
        return [
            sum(
                advised_at + since_s <= at < advised_at + to_s and sender == daemon
                for at, sender in self.arrivals
            )
            for advised_at, daemon in self.advised
        ]

    def stop(self):
        self._target.stop()


def recording_targets(store, count):
    """Yield targets and stop them afterwards; a generator for fixtures."""
    targets = [RecordingTarget(store, f"i-{number}") for number in range(count)]
    yield targets
    for target in targets:
        target.stop()


def start_callers(fleet, per_daemon, answers):
    """Start `per_daemon` callers that call each daemon repeatedly; return their tasks.

    The time, the status and the reply of each call are appended to `answers`.
    """
    return [
        gevent.spawn(_call_repeatedly, process, f"d{index}", answers)
        for index, process in enumerate(fleet)
        for _ in range(per_daemon)
    ]


def _call_repeatedly(process, name, answers):
    number = 0
    while True:
        number += 1
        reply = process.call("/a/x", request_id=f"{name}-{number}")
        answers.append((time.monotonic(), getattr(reply, "status", None), reply))
        gevent.sleep(0.02)
