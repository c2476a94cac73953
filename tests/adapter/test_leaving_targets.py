"""Daemon processes, and targets whose answers announce that they leave."""

import math

import gevent
import pytest

from cairnferry.standins import wait_for

from ._processes import running_fleet
from ._recording import recording_targets, start_callers
from ._standins import configuration, rule

DAEMONS = ("hall", "yard")
TARGETS = 4
# Seconds after such an answer in which its receiver may still send requests.
DRAIN_S = 2.0


@pytest.fixture
def targets(store):
    yield from recording_targets(store, TARGETS)


def test_a_target_that_says_that_it_leaves_gets_no_more(store, targets, tmp_path):
    """Guards against requests to a leaving target whose row still says ready."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    leaving, closing, *_ = targets
    answers = []
    with running_fleet(store.port, DAEMONS, tmp_path) as fleet:
        callers = start_callers(fleet, 3, answers)
        wait_for(lambda: all(len(target.arrivals) > 20 for target in targets), 60.0)
        leaving.extra = "Server-Leaving: 1"
        closing.extra = "Connection: close"
        wait_for(lambda: leaving.has_advised(len(DAEMONS)), 60.0)
        store.put("op", "config", configuration(4, rules=[rule(attempts=2)]))
        store.put("servers", "i-0", leaving.row(sequence=99))
        gevent.sleep(DRAIN_S + 1.5)
        gevent.killall(callers)
    assert max(leaving.count_late(DRAIN_S, math.inf)) == 0
    # Targets that stay may also close connections.
    assert max(closing.count_late(DRAIN_S, math.inf)) > 0
    assert {status for _, status, _ in answers} == {200}
