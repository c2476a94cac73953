"""Connections to targets that never answer a request."""

import random
import time

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from cairnferry.entry.callers._forward import Forwarder
from cairnferry.entry.http import RequestHead
from cairnferry.entry.targets import OutboundRequest, ServiceRuntime, Upstreams
from cairnferry.entry.targets._status_checks import StatusChecks
from cairnferry.entry.telemetry._metrics import Metrics
from cairnferry.policy import (
    Answered,
    Call,
    CheckStatus,
    GiveUp,
    LoadReport,
    Relay,
    ServicePolicy,
    settings_for,
)
from cairnferry.records import Lifecycle, Service, Target

HOST = "127.0.0.1"
SERVICE = Service("s", 1000, 0.2, False, 8, retry_slack=60, retry_window_s=10.0)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"endpoint-load-metrics: TEXT named_metrics.in_use=0\r\n\r\nok"
)


class FakeTarget:
    """A target that responds to status checks, and to requests unless it hangs.

    Attributes
    ----------
    hangs : bool
        Whether it leaves the next requests unanswered.
    requests : int
        Number of requests received.
    closed : Event
        Set once the daemon has closed a connection with an unanswered request.
    """

    def __init__(self):
        self.hangs = False
        self.requests = 0
        self.closed = Event()
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    def _serve(self, sock, address):
        received = b""
        while data := sock.recv(65536):
            received += data
            if b"\r\n\r\n" not in received:
                continue
            is_check = received.startswith(b"GET /health ")
            received = b""
            self.requests += not is_check
            if self.hangs and not is_check:
                # Nothing further on this connection is answered either.
                while sock.recv(65536):
                    pass
                self.closed.set()
                return
            sock.sendall(ANSWER)


@pytest.fixture
def fakes():
    fakes = [FakeTarget() for _ in range(3)]
    yield fakes
    for fake in fakes:
        fake.server.stop(timeout=0)


@pytest.fixture
def daemon(fakes):
    daemon = DaemonParts(fakes)
    yield daemon
    daemon.upstreams.close()


class DaemonParts:
    """The parts of a daemon that forward requests."""

    def __init__(self, fakes):
        targets = [
            Target(
                f"t{index}",
                "s",
                "z",
                HOST,
                fake.server.server_port,
                4,
                Lifecycle.ACTIVE,
                "/health",
                None,
            )
            for index, fake in enumerate(fakes)
        ]
        policy = ServicePolicy(
            SERVICE, "z", random.Random(1), settings_for("ask-first")
        )
        policy.update(SERVICE, targets, 0.0)
        self.policy = policy
        self.runtime = ServiceRuntime(policy)
        self.upstreams = Upstreams(1.0, 4096)
        checks = StatusChecks(self.upstreams, Metrics())
        self.forwarder = Forwarder(self.upstreams, checks)

    def train(self, seconds):
        """Let requests of a given duration finish, which also earns retries."""
        started = time.monotonic() - 1
        for index in range(90):
            now = started + index / 100
            call = Call(now, now + 1, True)
            decision = self.policy.arrive(call, now)
            while isinstance(decision, CheckStatus):
                for target in decision.targets:
                    self.policy.note_check(target.identity, LoadReport(0), True, now)
                decision = self.policy.resume(call, now)
            self.policy.finished(decision.attempt, Answered(), now + seconds)

    def forward(self, seconds=10.0, idempotent=True):
        now = time.monotonic()
        head = RequestHead(None, False, None, "", [])
        req = OutboundRequest("GET", "/s", [], b"", head)
        return self.forwarder.forward(
            req, Call(now, now + seconds, idempotent), self.runtime
        )


def test_request_reaches_the_target_that_answers(daemon, fakes):
    """Guards against requests that wait for targets which never answer them.

    Two of three targets do not answer the request, nor anything that follows on its
    connection, and respond to status checks.
    """
    daemon.train(0.05)
    for fake in fakes[:2]:
        fake.hangs = True
    while not all(fake.requests for fake in fakes[:2]):
        assert daemon.forward().decision == Relay()
    for fake in fakes[:2]:
        fake.closed.wait()
    assert daemon.policy.in_flight == 0


def test_no_connection_of_a_cancelled_attempt_is_used_again(daemon, fakes):
    """Guards against requests on a connection that is never answered again.

    The caller leaves while its request hangs. The next requests succeed, on other
    connections.
    """
    daemon.train(0.5)
    for fake in fakes:
        fake.hangs = True
    caller = gevent.spawn(daemon.forward)
    while not any(fake.requests for fake in fakes):
        gevent.sleep(0)
    hung = next(fake for fake in fakes if fake.requests)
    caller.kill()
    hung.closed.wait()
    for fake in fakes:
        fake.hangs = False
    assert daemon.policy.in_flight == 0
    for _ in range(10):
        assert daemon.forward().decision == Relay()


def test_hanging_request_that_is_not_idempotent_is_reported_as_unknown(daemon, fakes):
    daemon.train(0.05)
    for fake in fakes:
        fake.hangs = True
    forwarded = daemon.forward(seconds=0.3, idempotent=False)
    assert isinstance(forwarded.decision, GiveUp)
    assert forwarded.answer.status == "504 Gateway Timeout"
    assert sum(fake.requests for fake in fakes) == 1
    next(fake for fake in fakes if fake.requests).closed.wait()
    assert daemon.policy.in_flight == 0
