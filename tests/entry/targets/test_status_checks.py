"""Status checks right before a request is placed."""

import random
import socket

import gevent
import pytest
from gevent import monkey
from gevent.socket import wait_read

from cairnferry.entry.targets import _status_checks
from cairnferry.entry.targets._conventions import CheckResult
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._status_checks import StatusChecks
from cairnferry.entry.telemetry._metrics import Metrics
from cairnferry.policy import LoadReport, ServicePolicy, settings_for
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8)
TARGETS = tuple(
    Target(f"t{i}", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/", None)
    for i in range(3)
)
WELL = CheckResult(LoadReport(1), True)
stall = monkey.get_original("time", "sleep")


class Upstreams:
    """Answers a check when its socket is readable; counts checks."""

    def __init__(self):
        self.pairs = {target.name: socket.socketpair() for target in TARGETS}
        self.checks = []

    def answer(self, name):
        self.pairs[name][1].send(b"x")

    def check(self, target, timeout):
        self.checks.append(target.name)
        ours, _ = self.pairs[target.name]
        wait_read(ours.fileno())
        ours.recv(1)
        return WELL


@pytest.fixture
def upstreams():
    return Upstreams()


@pytest.fixture
def runtime():
    policy = ServicePolicy(SERVICE, "z", random.Random(1), settings_for("ask-first"))
    policy.update(SERVICE, list(TARGETS), 0.0)
    return ServiceRuntime(policy)


@pytest.fixture
def checks(upstreams):
    return StatusChecks(upstreams, Metrics())


def told(runtime):
    return [
        (event.target, str(event.condition)) for event in runtime.policy.take_events()
    ]


def test_a_process_that_was_held_up_does_not_call_its_targets_silent(
    checks, upstreams, runtime
):
    """Symptom: several targets fall silent at one moment on a calm day.

    Events: the process gets no processor for longer than it waits for answers; these
    arrive meanwhile. Cause: the end of the wait is seen before the answers.
    """
    asking = gevent.spawn(checks.ask, TARGETS, runtime)
    while len(upstreams.checks) < len(TARGETS):
        gevent.sleep(0)
    for target in TARGETS:
        upstreams.answer(target.name)
    stall(2 * _status_checks.ANSWER_WAIT_S)
    asking.get()
    assert told(runtime) == []


def test_a_target_that_does_not_answer_is_told(checks, upstreams, runtime):
    upstreams.answer("t0")
    upstreams.answer("t2")
    checks.ask(TARGETS, runtime)
    assert told(runtime) == [("t1", "silent")]


def test_requests_of_one_moment_share_a_check(checks, upstreams, runtime):
    tasks = [gevent.spawn(checks.ask, TARGETS, runtime) for _ in range(3)]
    while len(upstreams.checks) < len(TARGETS):
        gevent.sleep(0)
    for target in TARGETS:
        upstreams.answer(target.name)
    gevent.joinall(tasks)
    assert len(upstreams.checks) == len(TARGETS)


def test_checks_keep_to_the_budget_of_all_instances(upstreams, runtime):
    """Symptom: targets spend their time on answering checks at the busiest hour."""
    checks = StatusChecks(upstreams, Metrics(), rate=1.0)
    checks.set_instances(instances=2, targets=len(TARGETS))
    allowed = int(
        _status_checks.BUDGET_SHARE * len(TARGETS) / 2 * _status_checks.BURST_S
    )
    for _ in range(10):
        for target in TARGETS:
            upstreams.answer(target.name)
        checks.ask(TARGETS, runtime)
    assert len(upstreams.checks) == allowed
    assert checks.metrics.probes["over-budget"] == 30 - allowed
