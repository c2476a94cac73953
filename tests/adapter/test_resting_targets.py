"""Daemons as processes, and targets that turn requests away and ask for rest."""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._noting import callers_of, noting_targets
from ._processes import running_fleet
from ._standins import configuration, rule

DAEMONS = ("hall", "yard")
TARGETS = 4
CALLERS_EACH = 4
REST_S = 3.0
# Allowed: so many requests may reach the target from one daemon, from so many
# seconds after it asked to the end of what it asked for.
GRACE_S = 0.5
ALLOWED = 2
# Seconds by which this process and the daemons may be apart.
MARGIN_S = 0.2


@pytest.fixture
def targets(store):
    yield from noting_targets(store, TARGETS)


@pytest.fixture
def answers():
    return []


@pytest.fixture
def fleet(store, targets, answers, tmp_path):
    """Give daemons of two zones, and callers of both."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        callers = callers_of(started, CALLERS_EACH, answers)
        yield started
        gevent.killall(callers)


def ask_for_rest(targets):
    """Let targets turn requests away until each daemon was asked; give the time."""
    for target in targets:
        target.status, target.extra = "503 Busy", f"Retry-After: {REST_S}"
    wait_for(lambda: all(each.has_told(len(DAEMONS)) for each in targets), 60.0)
    return time.monotonic()


def recover(targets):
    for target in targets:
        target.status, target.extra = "200 OK", None


def fullest_rest(target):
    """Give the most requests that one daemon sent in a rest asked of it."""
    return max(target.late(GRACE_S, REST_S))


def test_a_target_that_asks_for_rest_gets_it_and_is_used_after_it(fleet, targets):
    """Guards against requests at a target within the rest that it has asked for."""
    tired = targets[0]
    wait_for(lambda: len(tired.arrivals) >= 40, 60.0)
    ask_for_rest([tired])
    gevent.sleep(GRACE_S)
    recover([tired])
    asked, _ = tired.told[-1]
    wait_for(lambda: tired.arrivals[-1][0] > asked + REST_S, 60.0)
    assert fullest_rest(tired) <= ALLOWED


def test_while_all_rest_callers_are_told_when_the_first_is_back(
    fleet, targets, answers
):
    """Guards against callers that wait, or come back too soon, for what is known."""
    wait_for(lambda: all(len(target.arrivals) >= 10 for target in targets), 60.0)
    last = ask_for_rest(targets)
    recover(targets)
    first_back = min(at for target in targets for at, _ in target.told) + REST_S
    wait_for(lambda: answers[-1][0] > last + REST_S and answers[-1][1] == 200, 60.0)
    told = [
        at + float(reply.header("retry-after"))
        for at, status, reply in answers
        if last + MARGIN_S < at < first_back - MARGIN_S and status == 503
    ]
    assert told
    assert min(told) >= first_back - MARGIN_S
    assert max(fullest_rest(target) for target in targets) <= ALLOWED
