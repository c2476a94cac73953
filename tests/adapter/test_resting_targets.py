"""Daemon processes, and targets that refuse requests and ask for a back-off."""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._processes import running_fleet
from ._recording import recording_targets, start_callers
from ._standins import configuration, rule

DAEMONS = ("hall", "yard")
TARGETS = 4
CALLERS_PER_DAEMON = 4
BACK_OFF_S = 3.0
# From GRACE_S seconds after a target asked for a back-off to the end of the back-off,
# each daemon may send it at most ALLOWED requests.
GRACE_S = 0.5
ALLOWED = 2
# Seconds by which times in this process and in the daemons may differ.
MARGIN_S = 0.2


@pytest.fixture
def targets(store):
    yield from recording_targets(store, TARGETS)


@pytest.fixture
def answers():
    return []


@pytest.fixture
def fleet(store, targets, answers, tmp_path):
    """Yield daemons of two zones, with callers for each daemon."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        callers = start_callers(started, CALLERS_PER_DAEMON, answers)
        yield started
        gevent.killall(callers)


def request_back_off(targets):
    """Let targets refuse until each daemon was asked to back off; return the time."""
    for target in targets:
        target.status, target.extra = "503 Busy", f"Retry-After: {BACK_OFF_S}"
    wait_for(lambda: all(each.has_advised(len(DAEMONS)) for each in targets), 60.0)
    return time.monotonic()


def recover(targets):
    for target in targets:
        target.status, target.extra = "200 OK", None


def max_during_back_off(target):
    """Return the maximum number of requests that a daemon sent in a back-off."""
    return max(target.count_late(GRACE_S, BACK_OFF_S))


def test_target_gets_no_requests_during_back_off_and_is_used_after_it(fleet, targets):
    """Guards against requests to a target during the back-off that it asked for."""
    overloaded = targets[0]
    wait_for(lambda: len(overloaded.arrivals) >= 40, 60.0)
    request_back_off([overloaded])
    gevent.sleep(GRACE_S)
    recover([overloaded])
    advised_at, _ = overloaded.advised[-1]
    wait_for(lambda: overloaded.arrivals[-1][0] > advised_at + BACK_OFF_S, 60.0)
    assert max_during_back_off(overloaded) <= ALLOWED


def test_retry_after_is_end_of_first_back_off_while_all_targets_back_off(
    fleet, targets, answers
):
    """Guards against a Retry-After that differs from the end of the first back-off."""
    wait_for(lambda: all(len(target.arrivals) >= 10 for target in targets), 60.0)
    all_asked_at = request_back_off(targets)
    recover(targets)
    first_end = min(at for target in targets for at, _ in target.advised) + BACK_OFF_S
    wait_for(
        lambda: answers[-1][0] > all_asked_at + BACK_OFF_S and answers[-1][1] == 200,
        60.0,
    )
    retry_times = [
        at + float(reply.header("retry-after"))
        for at, status, reply in answers
        if all_asked_at + MARGIN_S < at < first_end - MARGIN_S and status == 503
    ]
    assert retry_times
    assert min(retry_times) >= first_end - MARGIN_S
    assert max(max_during_back_off(target) for target in targets) <= ALLOWED
