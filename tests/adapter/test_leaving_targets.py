"""Daemons as processes, and targets that say in their answers that they leave."""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._processes import running_fleet
from ._standins import HostedTarget, configuration, rule, target_row

DAEMONS = ("hall", "yard")
TARGETS = 4
# The contract: so many seconds after a daemon has passed on such an answer it sends the
# target nothing more.
DRAIN_S = 2.0


class LeavingTarget:
    """A target whose row never says that it leaves; its answers may."""

    def __init__(self, store, name):
        self.extra = None
        self.arrivals = []
        self.told = {}
        self._target = HostedTarget(name, self._behave)
        store.put("servers", name, target_row(self._target.port))

    def _behave(self, number):
        _, _, headers, _ = self._target.seen[-1]
        daemon = headers["cairnferry-request-id"].split("-")[0]
        now = time.monotonic()
        self.arrivals.append((now, daemon))
        if self.extra is None:
            return None
        self.told.setdefault(daemon, now)
        return self._target.answer("{id}", b"done", proof=True, extra=[self.extra])

    def late(self):
        """Give the arrivals from daemons that had been told before."""
        return [
            at for at, who in self.arrivals if at > self.told.get(who, at) + DRAIN_S
        ]

    def stop(self):
        self._target.stop()


@pytest.fixture
def targets(store):
    targets = [LeavingTarget(store, f"i-{number}") for number in range(TARGETS)]
    yield targets
    for target in targets:
        target.stop()


def call_for_ever(process, name, answers):
    number = 0
    while True:
        number += 1
        reply = process.call("/a/x", request_id=f"{name}-{number}")
        answers.append(getattr(reply, "status", None))
        gevent.sleep(0.02)


def test_a_target_that_says_that_it_leaves_gets_no_more(store, targets, tmp_path):
    """Guards against requests at one that leaves while its row calls it ready."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    leaving, closing, *_ = targets
    answers = []
    with running_fleet(store.port, DAEMONS, tmp_path) as fleet:
        callers = [
            gevent.spawn(call_for_ever, process, f"d{index}", answers)
            for index, process in enumerate(fleet)
            for _ in range(3)
        ]
        wait_for(lambda: all(len(target.arrivals) > 20 for target in targets), 60.0)
        leaving.extra = "Server-Leaving: 1"
        closing.extra = "Connection: close"
        wait_for(lambda: len(leaving.told) == len(DAEMONS), 60.0)
        store.put("op", "config", configuration(4, rules=[rule(attempts=2)]))
        store.put("servers", "i-0", target_row(leaving._target.port, sequence=99))
        gevent.sleep(DRAIN_S + 1.5)
        gevent.killall(callers)
    assert leaving.late() == []
    # Connections are closed by targets that stay, too.
    assert closing.late()
    assert set(answers) == {200}
