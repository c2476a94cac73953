"""Status checks immediately before a request is placed."""

import random
import socket

import gevent
import pytest
from gevent import monkey
from gevent.socket import wait_read

from cairnferry.entry.targets import _answer_wait, _status_checks
from cairnferry.entry.targets._conventions import CheckResult
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._status_checks import StatusChecks
from cairnferry.entry.telemetry._metrics import Metrics
from cairnferry.policy import LoadReport, ServicePolicy, settings_for
from cairnferry.records import Lifecycle, Service, Target
from cairnferry.wire import Link

SERVICE = Service("s", 1000, 0.2, False, 8)
TARGETS = tuple(
    Target(f"t{i}", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/", None)
    for i in range(3)
)
HEALTHY = CheckResult(LoadReport(1), True)
blocking_sleep = monkey.get_original("time", "sleep")


class Upstreams:
    """Answers a check when its socket becomes readable, and records checks."""

    def __init__(self):
        self.pairs = {target.name: socket.socketpair() for target in TARGETS}
        self.checks = []
        self.link = Link()

    def answer(self, name):
        self.pairs[name][1].send(b"x")

    def check(self, target, timeout):
        self.checks.append(target.name)
        ours, _ = self.pairs[target.name]
        wait_read(ours.fileno())
        ours.recv(1)
        return HEALTHY


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


def conditions(runtime):
    return [
        (event.target, str(event.condition)) for event in runtime.policy.take_events()
    ]


def test_targets_do_not_count_as_silent_after_the_process_was_stalled(
    checks, upstreams, runtime
):
    """Guards against healthy targets that count as silent after a stall.

    The process gets no CPU time for longer than it waits for answers, and the answers
    arrive meanwhile. The failure occurs if the timeout is processed before them.
    """
    running = gevent.spawn(checks.check_all, TARGETS, runtime)
    while len(upstreams.checks) < len(TARGETS):
        gevent.sleep(0)
    for target in TARGETS:
        upstreams.answer(target.name)
    blocking_sleep(2 * _answer_wait.ANSWER_WAIT_S)
    running.get()
    assert conditions(runtime) == []


def test_a_target_that_does_not_answer_is_reported_as_silent(
    checks, upstreams, runtime
):
    upstreams.answer("t0")
    upstreams.answer("t2")
    checks.check_all(TARGETS, runtime)
    assert conditions(runtime) == [("t1", "silent")]


def test_concurrent_requests_share_a_check(checks, upstreams, runtime):
    tasks = [gevent.spawn(checks.check_all, TARGETS, runtime) for _ in range(3)]
    while len(upstreams.checks) < len(TARGETS):
        gevent.sleep(0)
    for target in TARGETS:
        upstreams.answer(target.name)
    gevent.joinall(tasks)
    assert len(upstreams.checks) == len(TARGETS)


def test_checks_stay_within_the_budget_shared_by_all_instances(upstreams, runtime):
    """Guards against targets that spend their time on status checks at peak load."""
    checks = StatusChecks(upstreams, Metrics(), rate=1.0)
    checks.set_instances(instances=2, targets=len(TARGETS))
    allowed = int(
        _status_checks.BUDGET_SHARE * len(TARGETS) / 2 * _status_checks.BUDGET_BURST_S
    )
    for _ in range(10):
        for target in TARGETS:
            upstreams.answer(target.name)
        checks.check_all(TARGETS, runtime)
    assert len(upstreams.checks) == allowed
    assert checks.metrics.probes["over-budget"] == 30 - allowed
