"""Status checks whose answers this instance itself delays."""

import itertools
import random

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.targets._answer_wait import ANSWER_WAIT_S
from cairnferry.entry.targets._conventions import CheckResult
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._status_checks import CHECK_TIMEOUT_S, StatusChecks
from cairnferry.entry.telemetry._metrics import Metrics
from cairnferry.policy import (
    Call,
    CheckStatus,
    LoadReport,
    Send,
    ServicePolicy,
    settings_for,
)
from cairnferry.records import Lifecycle, Service, Target
from cairnferry.wire import Link

SERVICE = Service("s", 1000, 0.2, False, 8)
TARGETS = tuple(
    Target(f"t{i}", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/", None)
    for i in range(16)
)
RATE = 10 * 125_000
UPLOAD_BYTES = 300_000
CHECK_BYTES = 100
ROUND_TRIP_S = 0.003
STEP_S = 0.001
HEALTHY = CheckResult(LoadReport(1), True)
NO_ANSWER = CheckResult(None, False)


class SimulatedNetwork:
    """Targets behind a link that sends in order, in simulated time.

    Attributes
    ----------
    silent : set of str
        Names of targets that do not answer.
    stall_s : float
        Seconds by which the next wait of the event loop is late.
    """

    def __init__(self, link, answer_bytes=0):
        self.link = link
        self.now = 100.0
        self.silent = set()
        self.stall_s = 0.0
        self._free_at = self.now
        self._due = []
        self._order = itertools.count()

    def clock(self):
        return self.now

    def send(self, size, rate=RATE):
        """Put bytes on the link; return the time at which they have left."""
        self.link.note_sent(size, self.now)
        self._free_at = max(self.now, self._free_at) + size / rate
        return self._free_at

    def check(self, target, timeout):
        """Check a target as `Upstreams.check` does."""
        ends = self.now + timeout
        answered_at = self.send(CHECK_BYTES) + ROUND_TRIP_S
        answered = target.name not in self.silent and answered_at <= ends
        self.wake_at(answered_at if answered else ends).wait()
        return HEALTHY if answered else NO_ANSWER

    def wake_at(self, due):
        event = Event()
        self._due.append((due, next(self._order), event))
        return event

    def wait_for(self, events, seconds):
        """Let time pass until all events are set, for at most the given seconds."""
        ends = self.now + seconds + self.stall_s
        if self.stall_s:
            self.now, self.stall_s = ends, 0.0
        self.let_tasks_run()
        while self.now < ends and not all(event.is_set() for event in events):
            self.now = min(ends, self.now + STEP_S)
            self.let_tasks_run()

    def let_tasks_run(self):
        for due in sorted(self._due):
            if due[0] <= self.now:
                self._due.remove(due)
                due[2].set()
        for _ in range(4):
            gevent.sleep(0)


@pytest.fixture
def runtime():
    policy = ServicePolicy(SERVICE, "z", random.Random(1), settings_for("ask-first"))
    policy.update(SERVICE, list(TARGETS), 0.0)
    return ServiceRuntime(policy)


def checks_over(network):
    return StatusChecks(
        network, Metrics(), clock=network.clock, wait_for=network.wait_for
    )


def silent_targets(runtime):
    return [
        event.target
        for event in runtime.policy.take_events()
        if event.condition == "silent"
    ]


@pytest.mark.parametrize(
    ("rate", "expected"), [(RATE, []), (float("inf"), [t.name for t in TARGETS])]
)
def test_targets_are_not_silent_while_an_upload_occupies_the_link(
    runtime, rate, expected
):
    """Guards against healthy targets that count as silent beside an upload.

    A body of 300 KB takes 240 ms on a link of 10 Mbit/s. The status checks leave behind
    it, and none is answered within 30 ms. Without the rate of the link, the daemon
    cannot tell this from silent targets.
    """
    network = SimulatedNetwork(Link(rate))
    checks = checks_over(network)
    network.send(UPLOAD_BYTES)
    checks.check_all(TARGETS, runtime)
    assert silent_targets(runtime) == expected


def test_request_waits_for_its_checks_beside_an_upload(runtime):
    """Guards against requests that are sent without a status check."""
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.send(UPLOAD_BYTES)
    call = Call(network.now, network.now + 5, True, objective=network.now + 1)
    decision = runtime.policy.arrive(call, network.now)
    assert isinstance(decision, CheckStatus)
    checks.check_all(decision.targets, runtime, runtime.policy.latest_start(call))
    assert network.now > 100 + UPLOAD_BYTES / RATE
    sent = runtime.policy.resume(call, network.now)
    assert isinstance(sent, Send)
    assert sent.attempt.target.reported_at > 100 + UPLOAD_BYTES / RATE


def test_request_without_time_left_does_not_wait_for_its_checks(runtime):
    """Guards against a request that misses its objective at its own daemon."""
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.send(UPLOAD_BYTES)
    checks.check_all(TARGETS, runtime, network.now + 0.05)
    assert network.now < 100 + 0.07
    assert silent_targets(runtime) == []


def test_silent_target_is_found_once_the_link_is_free(runtime):
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.silent.add("t3")
    network.send(UPLOAD_BYTES)
    checks.check_all(TARGETS[3:4], runtime)
    assert silent_targets(runtime) == ["t3"]
    assert network.now < 100 + UPLOAD_BYTES / RATE + 2 * ANSWER_WAIT_S


def test_silent_target_is_found_beside_others_on_a_free_link(runtime):
    """Guards against checks that themselves count as a use of the link."""
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.silent.add("t3")
    checks.check_all(TARGETS, runtime)
    assert silent_targets(runtime) == ["t3"]
    assert network.now < 100 + 2 * ANSWER_WAIT_S


def test_request_does_not_wait_for_the_last_target_beside_an_upload(runtime):
    """Guards against a silent target that delays requests while the link is in use."""
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.silent.add("t3")
    network.send(UPLOAD_BYTES)
    checks.check_all(TARGETS, runtime)
    assert silent_targets(runtime) == []
    assert network.now < 100 + UPLOAD_BYTES / RATE + ANSWER_WAIT_S


def test_received_bodies_extend_the_wait(runtime):
    """Guards against answers that count as missing behind an incoming body."""
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.silent.update(target.name for target in TARGETS)
    receive, wait_for = network.link.note_received, network.wait_for

    def wait_and_receive(events, seconds):
        wait_for(events, seconds)
        receive(int(seconds * RATE))

    checks.wait_for = wait_and_receive
    checks.check_all(TARGETS, runtime, network.now + 0.2)
    assert network.now > 100 + 0.2 - STEP_S
    assert silent_targets(runtime) == []


def test_checks_that_time_out_behind_uploads_are_not_missed(runtime):
    """Guards against silent targets by the time limit of a check.

    The uploads begin right after the checks, and occupy the link for longer than the
    whole check may take.
    """
    network = SimulatedNetwork(Link(RATE))
    checks = checks_over(network)
    network.silent.update(target.name for target in TARGETS)
    wait_for = network.wait_for

    def upload_and_wait(events, seconds):
        network.let_tasks_run()
        network.send(RATE)
        checks.wait_for = wait_for
        wait_for(events, seconds)

    checks.wait_for = upload_and_wait
    checks.check_all(TARGETS, runtime)
    assert network.now == pytest.approx(100 + CHECK_TIMEOUT_S, abs=5 * STEP_S)
    assert silent_targets(runtime) == []
    assert checks.metrics.probes["delayed-here"] == len(TARGETS)


def test_targets_are_not_silent_after_the_process_stood_still(runtime):
    """Guards against healthy targets that count as silent after a stall.

    The process stops before its checks have left. Their answers come a round trip after
    it continues, which is longer than 30 ms after they were begun.
    """
    network = SimulatedNetwork(Link())
    checks = checks_over(network)
    network.stall_s = 0.2
    network._free_at = network.now + 0.2
    checks.check_all(TARGETS, runtime)
    assert silent_targets(runtime) == []


def test_silent_target_is_found_if_the_event_loop_is_always_late(runtime):
    """Guards against silent targets that are never found on a busy instance."""
    network = SimulatedNetwork(Link())
    checks = checks_over(network)
    network.silent.add("t3")
    wait_for = network.wait_for

    def wait_late(events, seconds):
        network.stall_s = 0.02
        wait_for(events, seconds)

    checks.wait_for = wait_late
    checks.check_all(TARGETS, runtime)
    assert silent_targets(runtime) == ["t3"]
