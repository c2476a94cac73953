"""Requests through the callers' listener to targets, in one process."""

import json
import socket

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import wait_for
from cairnferry.wire import Reply, connect

METHODS = ["GET", "PUT", "DELETE", "POST"]


def problem(reply):
    """Check the format of a generated answer, and return its outcome and cause."""
    document = json.loads(reply.body)
    assert reply.header("content-type") == "application/problem+json"
    assert reply.header("proxy-status").startswith("cairnferry; error=")
    assert reply.header("cairnferry-outcome") == document["outcome"]
    assert document["status"] == reply.status
    return document["outcome"], document["cause"]


def test_a_complete_answer_is_relayed(start_entry, start_target, records_for):
    target = start_target(service_ms=0)
    entry = start_entry(*records_for(target))
    reply = entry.call(
        "POST", "/s/x?q=%2F", body=b"data", headers=[("X-Request-Id", "7")]
    )
    assert reply.status == 200
    assert reply.body.startswith(b"7 POST /s/x?q=%2F ")
    assert reply.header("via") == "1.1 cairnferry"
    assert target.runs == [("POST", "7")]


@pytest.mark.parametrize("method", METHODS)
def test_a_non_idempotent_request_is_sent_once(
    method, start_entry, start_target, records_for
):
    """Guards against a non-idempotent request that runs several times.

    The target reads the request and closes the connection without an answer. The
    failure occurs if the HTTP client or a retry sends the request again.
    """
    targets = [start_target(fault="cut-before-run") for _ in range(3)]
    route = {"idempotentMethods": []}
    entry = start_entry(*records_for(*targets, route=route))
    reply = entry.call(method, body=b"x" if method == "POST" else b"")
    assert problem(reply) == ("unknown", "target-lost")
    assert reply.header("retry-after")
    assert sum(len(target.seen) for target in targets) == 1


@pytest.mark.parametrize("method", METHODS[:3])
def test_an_idempotent_request_is_retried_within_the_budget(
    method, start_entry, start_target, records_for
):
    targets = [start_target(fault="cut-before-run") for _ in range(5)]
    entry = start_entry(*records_for(*targets))
    for _ in range(20):
        assert problem(entry.call(method)) == ("unknown", "retries-exhausted")
    assert sum(len(target.seen) for target in targets) <= 20 + 3
    assert max(len(target.seen) for target in targets) <= 20


def test_a_failed_idempotent_request_is_answered_by_another_target(
    start_entry, start_target, records_for
):
    broken = start_target(fault="cut-before-run")
    sound = start_target(service_ms=0)
    entry = start_entry(*records_for(broken, sound))
    for _ in range(10):
        assert entry.call().status == 200
    assert len(broken.seen) <= 2


def test_sockets_to_callers_have_nagle_disabled(start_entry, start_target, records_for):
    """Guards against a median delay of 44 ms per hop; see tests/wire."""
    entry = start_entry(*records_for(start_target(service_ms=0)))
    seen = []
    original = entry.server.handler_class.read_request

    class Probe(entry.server.handler_class):
        def read_request(self, line):
            seen.append(self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            return original(self, line)

    entry.server.handler_class = Probe
    assert entry.call().status == 200
    assert seen[0]


@pytest.mark.parametrize(
    "fault", ["cut-answer", "no-length", "two-answers", "oversize", "cut-after-run"]
)
def test_a_broken_answer_is_never_relayed(
    fault, start_entry, start_target, records_for
):
    """Guards against a caller that gets a partial answer or another request's answer.

    A target's answer is truncated, has no length, is followed by a second answer or
    exceeds the maximum size. The failure occurs if a part counts as the whole answer.
    """
    entry = start_entry(*records_for(start_target(fault=fault, service_ms=0)))
    reply = entry.call("POST", body=b"x")
    assert problem(reply)[0] == "unknown"
    assert entry.upstreams.counts()["idle"] == 0


def test_a_late_answer_is_not_relayed_to_another_request(
    start_entry, start_target, records_for
):
    """Guards against a caller that gets the answer to another request.

    A request reaches its deadline, and its answer arrives later. The failure occurs if
    the connection is kept and the next request uses it.
    """
    target = start_target(service_ms=60, spread=0)
    entry = start_entry(*records_for(target))
    late = entry.call("POST", headers=[("Cairnferry-Timeout", "20")], body=b"x")
    assert problem(late) == ("unknown", "deadline")
    target.behaviour.service_ms = 0
    for number in range(5):
        reply = entry.call("POST", headers=[("X-Request-Id", f"n{number}")], body=b"x")
        assert reply.body.startswith(f"n{number} ".encode())


def test_a_disconnected_caller_releases_its_slot_at_the_target(
    start_entry, start_target, records_for
):
    """Guards against slots that are occupied by abandoned requests.

    A caller closes its connection while its request runs. The failure occurs if the
    connection is not checked until there is an answer to write.
    """
    target = start_target(service_ms=60_000)
    entry = start_entry(*records_for(target, deadline_ms=100_000))
    conn = connect(("127.0.0.1", entry.port), 1)
    conn.sock.sendall(b"GET /s HTTP/1.1\r\nHost: x\r\n\r\n")
    wait_for(lambda: target.in_use == 1)
    conn.close()
    wait_for(lambda: entry.policy().in_flight == 0)
    assert entry.metrics.causes["caller-gone"] == 1


def test_a_disconnected_caller_leaves_the_queue(start_entry, start_target, records_for):
    target = start_target(slots=1, service_ms=60_000)
    entry = start_entry(*records_for(target, deadline_ms=100_000))
    calls = [gevent.spawn(entry.call) for _ in range(3)]
    wait_for(lambda: entry.policy().waiting == 2)
    gevent.killall(calls)
    wait_for(lambda: entry.policy().waiting == 0 and entry.policy().in_flight == 0)


def test_a_slow_request_is_hedged_and_the_slower_attempt_cancelled(
    start_entry, start_target, records_for
):
    targets = [start_target(service_ms=2, spread=0) for _ in range(4)]
    records = records_for(*targets, hedging={"enabled": True}, retryBudget=1)
    entry = start_entry(*records)
    for _ in range(30):
        assert entry.call().status == 200
    targets[0].behaviour.service_ms = 20_000
    for _ in range(12):
        assert entry.call(timeout=5).status == 200
    assert entry.policy().in_flight == 0


def test_the_remaining_time_is_forwarded_as_the_deadline(start_entry, records_for):
    seen = Event()
    heads = []

    def handle(sock, address):
        heads.append(sock.recv(65536).decode())
        seen.set()
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    target = type("T", (), {"port": server.server_port})
    target.behaviour = type("B", (), {"slots": 4})
    entry = start_entry(*records_for(target, route={"idempotentMethods": []}))
    entry.call(headers=[("Cairnferry-Timeout", "900"), ("Connection", "close")])
    seen.wait()
    server.stop()
    lines = dict(
        line.lower().split(": ", 1) for line in heads[0].split("\r\n") if ": " in line
    )
    assert 0 < int(lines["cairnferry-timeout"]) <= 900
    assert "connection" not in lines
    assert "cairnferry-attempt" not in lines


@pytest.mark.parametrize("value", ["0", "-1", "x", "1.5", "99999999999", "²"])
def test_a_malformed_deadline_is_rejected(
    value, start_entry, start_target, records_for
):
    target = start_target()
    entry = start_entry(*records_for(target))
    data = f"GET /s HTTP/1.0\r\nCairnferry-Timeout: {value}\r\n\r\n".encode()
    assert b'"bad-deadline"' in entry.raw(data)
    assert target.seen == []


def test_a_refused_request_is_answered_not_run_with_retry_after(
    start_entry, start_target, records_for
):
    target = start_target(draining=True, refuse_draining=True)
    entry = start_entry(*records_for(target))
    reply = entry.call("POST", body=b"x")
    assert problem(reply)[0] == "not-run"
    assert int(reply.header("retry-after")) >= 1
    assert target.runs == []


def test_a_refusal_outside_the_contract_counts_as_run(
    start_entry, start_target, records_for
):
    """Guards against an answer "not run" for a request that ran.

    A target answers 503 after it ran a request. The failure occurs if the status alone
    counts as a refusal.
    """
    target = start_target(draining=True, refuse_draining=True, shed_by_contract=False)
    other = start_target(service_ms=0)
    entry = start_entry(*records_for(target, other))
    statuses = {entry.call("POST", body=b"x").status for _ in range(10)}
    assert statuses <= {200, 503}
    assert len(other.runs) + target.refusals == 10


def test_head_and_empty_answers_do_not_desynchronize_the_connection(
    start_entry, start_target, records_for
):
    entry = start_entry(*records_for(start_target(service_ms=0)))
    data = b"HEAD /s HTTP/1.1\r\n\r\nGET /s HTTP/1.1\r\nConnection: close\r\n\r\n"
    answer = entry.raw(data)
    assert answer.count(b"HTTP/1.1 200 OK") == 2
    assert answer.count(b" GET /s ") == 1


def test_an_unknown_path_and_an_empty_configuration_return_errors(
    start_entry, start_target, records_for
):
    entry = start_entry(*records_for(start_target()))
    assert problem(entry.call(path="/other")) == ("not-run", "no-route")
    assert problem(entry.call(path="/sx")) == ("not-run", "no-route")
    assert problem(start_entry().call()) == ("not-run", "not-ready")


def test_a_closing_listener_completes_running_requests(
    start_entry, start_target, records_for
):
    """Guards against requests in flight that are cut when a daemon stops.

    A daemon is stopped while a request runs. The failure occurs if connections are
    closed regardless of running requests. The time limit exceeds that of the test, so
    that an idle connection which stays open fails the test.
    """
    target = start_target(service_ms=100)
    entry = start_entry(*records_for(target))
    running = gevent.spawn(entry.call)
    idle = connect(("127.0.0.1", entry.port), 1)
    wait_for(lambda: target.in_use == 1 and entry.server.connections == 2)
    assert entry.server.finish(1000)
    reply = running.get()
    assert isinstance(reply, Reply)
    assert reply.header("connection") == "close"
    assert not idle.is_quiet()
