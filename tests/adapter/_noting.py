"""Targets that note which daemon called them when, and callers of these daemons."""

import time

import gevent

from ._standins import HostedTarget, target_row


class NotingTarget:
    """A target that notes who calls it, and says what it is told to.

    Parameters
    ----------
    store : StoreStandin
        Gets its row.
    name : str
        Its name.

    Attributes
    ----------
    status : str
        Status line of its answers; one that is no success is not run.
    extra : str or None
        A header of its answers that says something of itself.
    arrivals, told : list of (float, str)
        Times of requests and the daemons that sent them: of all, and of those whose
        answers had the header.
    """

    def __init__(self, store, name):
        self.status = "200 OK"
        self.extra = None
        self.arrivals = []
        self.told = []
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
        self.told.append(arrival)
        is_good = self.status.startswith("200")
        not_run = [] if is_good else ["Cairnferry-Not-Executed: 1"]
        return self._target.answer(
            "{id}", b"", self.status, proof=is_good, extra=[self.extra, *not_run]
        )

    def has_told(self, daemons):
        """Tell whether so many daemons have had an answer with the header."""
        return len({daemon for _, daemon in self.told}) == daemons

    def late(self, since_s, to_s):
        """Count, for each answer with the header, what its daemon sent after it.

        Parameters
        ----------
        since_s, to_s : float
            Seconds after that answer from and up to which requests are counted.
        """
        return [
            sum(
                told + since_s <= at < told + to_s and who == daemon
                for at, who in self.arrivals
            )
            for told, daemon in self.told
        ]

    def stop(self):
        self._target.stop()


def noting_targets(store, count):
    """Give targets, and stop them in the end; a generator for fixtures."""
    targets = [NotingTarget(store, f"i-{number}") for number in range(count)]
    yield targets
    for target in targets:
        target.stop()


def callers_of(fleet, each, answers):
    """Let callers call each daemon for ever; give their tasks.

    `answers` gets the time, the status and the reply of each call.
    """
    return [
        gevent.spawn(_call_for_ever, process, f"d{index}", answers)
        for index, process in enumerate(fleet)
        for _ in range(each)
    ]


def _call_for_ever(process, name, answers):
    number = 0
    while True:
        number += 1
        reply = process.call("/a/x", request_id=f"{name}-{number}")
        answers.append((time.monotonic(), getattr(reply, "status", None), reply))
        gevent.sleep(0.02)
