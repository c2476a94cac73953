"""Requests through the callers' listener to targets and back, in one process."""

import json
import socket

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import wait_for
from cairnferry.wire import Reply, connect

METHODS = ["GET", "PUT", "DELETE", "POST"]


def problem(reply):
    """Check the common form of an own answer; give outcome and cause."""
    document = json.loads(reply.body)
    assert reply.header("content-type") == "application/problem+json"
    assert reply.header("proxy-status").startswith("cairnferry; error=")
    assert reply.header("cairnferry-outcome") == document["outcome"]
    assert document["status"] == reply.status
    return document["outcome"], document["cause"]


def test_an_answer_comes_back_whole(start_entry, start_target, records_for):
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
def test_a_target_sees_what_is_not_idempotent_once(
    method, start_entry, start_target, records_for
):
    """Symptom: an order that its route calls non-idempotent runs several times.

    Events: the target reads the request and closes without an answer. Cause: the
    HTTP client, or a retry, sends it again.
    """
    targets = [start_target(fault="cut-before-run") for _ in range(3)]
    route = {"idempotentMethods": []}
    entry = start_entry(*records_for(*targets, route=route))
    reply = entry.call(method, body=b"x" if method == "POST" else b"")
    assert problem(reply) == ("unknown", "target-lost")
    assert reply.header("retry-after")
    assert sum(len(target.seen) for target in targets) == 1


@pytest.mark.parametrize("method", METHODS[:3])
def test_a_target_sees_what_is_idempotent_as_often_as_the_budget_says(
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


def test_sockets_to_callers_send_small_segments_at_once(
    start_entry, start_target, records_for
):
    """Symptom: each hop takes 44 ms at the median; see tests/wire."""
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
def test_a_broken_answer_never_reaches_the_caller(
    fault, start_entry, start_target, records_for
):
    """Symptom: a storefront shows half a page, or another's.

    Events: a target's answer is cut, has no length, runs into a second one or
    is larger than what is held. Cause: a part would pass for the whole.
    """
    entry = start_entry(*records_for(start_target(fault=fault, service_ms=0)))
    reply = entry.call("POST", body=b"x")
    assert problem(reply)[0] == "unknown"
    assert entry.upstreams.counts()["idle"] == 0


def test_an_answer_after_its_request_was_given_up_reaches_nobody(
    start_entry, start_target, records_for
):
    """Symptom: a caller gets the answer to another's request.

    Events: a request runs into its deadline; its answer comes on the connection
    that the next request uses. Cause: the connection was kept.
    """
    target = start_target(service_ms=60, spread=0)
    entry = start_entry(*records_for(target))
    late = entry.call("POST", headers=[("Cairnferry-Timeout", "20")], body=b"x")
    assert problem(late) == ("unknown", "deadline")
    target.behaviour.service_ms = 0
    for number in range(5):
        reply = entry.call("POST", headers=[("X-Request-Id", f"n{number}")], body=b"x")
        assert reply.body.startswith(f"n{number} ".encode())


def test_a_caller_that_leaves_frees_the_target(start_entry, start_target, records_for):
    """Symptom: slots are held by work that nobody waits for.

    Events: a caller closes while its request runs. Cause: nobody looked at the
    caller's connection until there was an answer to write.
    """
    target = start_target(service_ms=60_000)
    entry = start_entry(*records_for(target, deadline_ms=100_000))
    conn = connect(("127.0.0.1", entry.port), 1)
    conn.sock.sendall(b"GET /s HTTP/1.1\r\nHost: x\r\n\r\n")
    wait_for(lambda: target.in_use == 1)
    conn.close()
    wait_for(lambda: entry.policy().in_flight == 0)
    assert entry.metrics.causes["caller-gone"] == 1


def test_a_caller_that_leaves_the_queue_gives_its_place_back(
    start_entry, start_target, records_for
):
    target = start_target(slots=1, service_ms=60_000)
    entry = start_entry(*records_for(target, deadline_ms=100_000))
    calls = [gevent.spawn(entry.call) for _ in range(3)]
    wait_for(lambda: entry.policy().waiting == 2)
    gevent.killall(calls)
    wait_for(lambda: entry.policy().waiting == 0 and entry.policy().in_flight == 0)


def test_a_late_answer_is_hedged_and_the_loser_cut(
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


def test_the_deadline_goes_on_less_what_was_used(start_entry, records_for):
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
def test_a_deadline_that_cannot_be_read_is_refused(
    value, start_entry, start_target, records_for
):
    target = start_target()
    entry = start_entry(*records_for(target))
    data = f"GET /s HTTP/1.0\r\nCairnferry-Timeout: {value}\r\n\r\n".encode()
    assert b'"bad-deadline"' in entry.raw(data)
    assert target.seen == []


def test_what_was_not_run_is_told_so_with_a_time_to_come_back(
    start_entry, start_target, records_for
):
    target = start_target(draining=True, refuse_draining=True)
    entry = start_entry(*records_for(target))
    reply = entry.call("POST", body=b"x")
    assert problem(reply)[0] == "not-run"
    assert int(reply.header("retry-after")) >= 1
    assert target.runs == []


def test_a_refusal_without_the_contract_counts_as_run(
    start_entry, start_target, records_for
):
    """Symptom: a caller is told "not run" for a request that ran.

    Events: a target answers 503 after it ran a request. Cause: the status alone
    was taken for a refusal.
    """
    target = start_target(draining=True, refuse_draining=True, shed_by_contract=False)
    other = start_target(service_ms=0)
    entry = start_entry(*records_for(target, other))
    statuses = {entry.call("POST", body=b"x").status for _ in range(10)}
    assert statuses <= {200, 503}
    assert len(other.runs) + target.refusals == 10


def test_head_and_empty_answers_keep_the_connection_in_step(
    start_entry, start_target, records_for
):
    entry = start_entry(*records_for(start_target(service_ms=0)))
    data = b"HEAD /s HTTP/1.1\r\n\r\nGET /s HTTP/1.1\r\nConnection: close\r\n\r\n"
    answer = entry.raw(data)
    assert answer.count(b"HTTP/1.1 200 OK") == 2
    assert answer.count(b" GET /s ") == 1


def test_an_unknown_path_and_an_empty_configuration_have_their_errors(
    start_entry, start_target, records_for
):
    entry = start_entry(*records_for(start_target()))
    assert problem(entry.call(path="/other")) == ("not-run", "no-route")
    assert problem(entry.call(path="/sx")) == ("not-run", "no-route")
    assert problem(start_entry().call()) == ("not-run", "not-ready")


def test_a_whole_reply_is_what_a_caller_gets_from_a_closing_listener(
    start_entry, start_target, records_for
):
    """Symptom: requests in flight are cut when a daemon stops.

    Events: a daemon is told to stop while a request runs. Cause: connections
    were closed without looking at what goes on in them. The limit is beyond
    the test's own, so that an idle connection that stays open fails it.
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
