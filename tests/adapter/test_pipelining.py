"""Pipelined requests through a daemon of the adapter."""

import pytest
from gevent.event import Event

from cairnferry.standins import wait_for
from cairnferry.wire import connect, encode_request

from ._standins import configuration, rule

READS = ["/a/1", "/a/2", "/a/3"]
RULES = [rule(), rule("r-2", "/b/", kind="unsafe")]


@pytest.fixture
def daemon(store, start_daemon):
    store.put("op", "config", configuration(rules=RULES))
    return start_daemon()


def request(path, method="GET", body=b""):
    headers = [("Cairnferry-Request-Id", path), ("Cairnferry-Deadline-Ms", "20000")]
    return encode_request(method, path, "shop.example", headers, body)


def connected(daemon):
    return connect((daemon.cfg.callers.host, daemon.cfg.callers.port), 10).sock


def test_pipelined_reads_run_concurrently_and_are_answered_in_order(
    daemon, start_target, wait_for_targets, read_until
):
    gates = {}
    target = start_target(behave=lambda n: gates.setdefault(n, Event()), load="0,0,9")
    wait_for_targets(daemon, "i-1")
    sock = connected(daemon)
    sock.sendall(b"".join(map(request, READS)))
    wait_for(lambda: len(target.seen) == 3)
    for number in (3, 2, 1):
        gates[number].set()
    received = read_until(sock, b"i-1 /a/3")
    positions = [received.index(b"i-1 " + path.encode()) for path in READS]
    assert positions == sorted(positions)
    for path in READS:
        id_header = b"Cairnferry-Request-Id: " + path.encode()
        assert received.lower().count(id_header.lower()) == 1


def test_pipelined_unsafe_request_waits_for_earlier_requests(
    daemon, start_target, wait_for_targets, read_until
):
    gate = Event()
    target = start_target(behave=lambda n: gate if n == 1 else None)
    wait_for_targets(daemon, "i-1")
    sock = connected(daemon)
    sock.sendall(request("/a/1") + request("/b/2", "POST", b"x") + request("/a/3"))
    wait_for(lambda: target.seen)
    assert [path for _, path, _, _ in target.seen] == ["/a/1"]
    gate.set()
    read_until(sock, b"i-1 /a/3")
    assert [path for _, path, _, _ in target.seen] == ["/a/1", "/b/2", "/a/3"]


def test_leaving_daemon_answers_all_pipelined_requests_that_it_has_read(
    daemon, start_target, wait_for_targets, read_to_end
):
    """Guards against a request that was read but gets no answer when its daemon stops.

    The daemon ended the connection with the answer to the second request, although it
    had read a third one, which is unsafe: callers do not send it again unless they are
    told that it has not run.
    """
    gates = {1: Event(), 2: Event()}
    target = start_target(behave=gates.get, load="0,0,9")
    wait_for_targets(daemon, "i-1")
    sock = connected(daemon)
    sock.sendall(request("/a/1") + request("/a/2") + request("/b/3", "POST", b"x"))
    server = daemon.core.callers_server
    wait_for(lambda: len(target.seen) == 2 and server.lookahead.total == 2)
    server.start_closing()
    gates[2].set()
    gates[1].set()
    received = read_to_end(sock)
    positions = [received.index(b"i-1 " + path) for path in (b"/a/1", b"/a/2", b"/b/3")]
    assert positions == sorted(positions)
    assert received.count(b"Connection: close") == 1
    assert received.index(b"i-1 /a/2") < received.index(b"Connection: close")
    assert [path for _, path, _, _ in target.seen] == ["/a/1", "/a/2", "/b/3"]


def test_caller_that_disconnects_cancels_all_its_requests_in_flight(
    daemon, start_target, wait_for_targets
):
    target = start_target(behave=lambda n: Event(), load="0,0,9")
    wait_for_targets(daemon, "i-1")
    sock = connected(daemon)
    sock.sendall(b"".join(map(request, READS)))
    wait_for(lambda: len(target.seen) == 3)
    sock.close()
    target.disconnected.wait()
    wait_for(lambda: not daemon.core.callers_server.connections)


def test_reload_interrupts_no_requests(
    daemon, store, start_target, wait_for_targets, read_until
):
    gate = Event()
    target = start_target(behave=lambda n: gate, load="0,0,9")
    wait_for_targets(daemon, "i-1")
    sock = connected(daemon)
    sock.sendall(request("/a/1") + request("/a/2"))
    wait_for(lambda: len(target.seen) == 2)
    store.put("op", "config", configuration(9, rules=RULES, idle_timeout="7s"))
    wait_for(lambda: daemon.core.services.revision == 9)
    daemon.built.apply(daemon.cfg)
    gate.set()
    received = read_until(sock, b"i-1 /a/2")
    assert b"Connection: close" not in received
