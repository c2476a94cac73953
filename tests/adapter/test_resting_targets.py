"""Daemons as processes, and targets that turn requests away and ask for rest."""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._processes import running_fleet
from ._standins import HostedTarget, configuration, rule, target_row

DAEMONS = ("hall", "yard")
TARGETS = 4
CALLERS_EACH = 4
PAUSE_S = 0.02
REST_S = 3.0
# The contract: so many requests may reach the target from one daemon, from so many
# seconds after it asked to the end of what it asked for.
GRACE_S = 0.5
ALLOWED = 2
# Seconds by which this process and the daemons may be apart.
MARGIN_S = 0.2


class RestingTarget:
    """A target that may ask whoever calls it for rest, and notes who called when."""

    def __init__(self, store, name):
        self.rests = False
        self.arrivals = []
        self.asked = []
        self._target = HostedTarget(name, self._behave)
        store.put("servers", name, target_row(self._target.port))

    def _behave(self, number):
        _, _, headers, _ = self._target.seen[-1]
        daemon = headers["cairnferry-request-id"].split("-")[0]
        now = time.monotonic()
        self.arrivals.append((now, daemon))
        if not self.rests:
            return None
        self.asked.append((now, daemon))
        refusal = ["Cairnferry-Not-Executed: 1", f"Retry-After: {REST_S}"]
        return self._target.answer("{id}", status="503 Busy", extra=refusal)

    def worst_rest(self):
        """Give the most requests that one daemon sent in a rest asked of it."""
        return max(
            sum(
                asked + GRACE_S <= at < asked + REST_S and who == daemon
                for at, who in self.arrivals
            )
            for asked, daemon in self.asked
        )

    def stop(self):
        self._target.stop()


@pytest.fixture
def targets(store):
    targets = [RestingTarget(store, f"i-{number}") for number in range(TARGETS)]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def answers():
    return []


@pytest.fixture
def fleet(store, targets, answers, tmp_path):
    """Give daemons of two zones, and callers of both."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        callers = [
            gevent.spawn(call_for_ever, process, f"d{index}", answers)
            for index, process in enumerate(started)
            for _ in range(CALLERS_EACH)
        ]
        yield started
        gevent.killall(callers)


def call_for_ever(process, name, answers):
    number = 0
    while True:
        number += 1
        reply = process.call("/a/x", request_id=f"{name}-{number}")
        answers.append((time.monotonic(), getattr(reply, "status", None), reply))
        gevent.sleep(PAUSE_S)


def test_a_target_that_asks_for_rest_gets_it_and_is_used_after_it(fleet, targets):
    """Guards against requests at a target within the rest that it has asked for."""
    tired = targets[0]
    wait_for(lambda: len(tired.arrivals) >= 40, 60.0)
    tired.rests = True
    wait_for(lambda: len({daemon for _, daemon in tired.asked}) == len(DAEMONS), 60.0)
    gevent.sleep(GRACE_S)
    tired.rests = False
    asked, _ = tired.asked[-1]
    wait_for(lambda: any(at > asked + REST_S for at, _ in tired.arrivals), 60.0)
    assert tired.worst_rest() <= ALLOWED


def test_while_all_rest_callers_are_told_when_the_first_is_back(
    fleet, targets, answers
):
    """Guards against callers that wait, or come back too soon, for what is known."""
    wait_for(lambda: all(len(target.arrivals) >= 10 for target in targets), 60.0)
    for target in targets:
        target.rests = True
    everyone = len(DAEMONS)
    wait_for(
        lambda: all(len({d for _, d in t.asked}) == everyone for t in targets), 60.0
    )
    last = max(at for target in targets for at, _ in target.asked)
    for target in targets:
        target.rests = False
    first_back = min(at for target in targets for at, _ in target.asked) + REST_S
    wait_for(lambda: answers[-1][0] > last + REST_S and answers[-1][1] == 200, 60.0)
    told = [
        at + float(reply.header("retry-after"))
        for at, status, reply in answers
        if last + MARGIN_S < at < first_back - MARGIN_S and status == 503
    ]
    assert told
    assert min(told) >= first_back - MARGIN_S
    assert max(target.worst_rest() for target in targets) <= ALLOWED
