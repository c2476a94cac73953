"""Pipelined requests: run concurrently, and answered in order."""

import contextlib
import types

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from cairnferry.standins import wait_for

HOST = "127.0.0.1"
MANY_REQUESTS = 1000


class DelayingTarget:
    """A target that records each request and can delay its answers.

    A request whose path contains "/held" is answered once `release` is called for it.
    """

    def __init__(self):
        self.behaviour = types.SimpleNamespace(slots=64)
        self.seen = []
        self.disconnected = []
        self._gates = {}
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def release(self, path):
        self._gates[path].set()

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        file = sock.makefile("rb")
        with contextlib.suppress(OSError):
            while line := file.readline():
                self._answer(sock, file, line.split()[1].decode())
        sock.close()

    def _answer(self, sock, file, path):
        length = 0
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        file.read(length)
        self.seen.append(path)
        if "/held" in path:
            self._wait_for_release(sock, path)
        body = f"<{path}>".encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        sock.sendall(body)

    def _wait_for_release(self, sock, path):
        gate = self._gates[path] = Event()
        watch = gevent.spawn(sock.recv, 1)
        gevent.wait([gate, watch], count=1)
        if watch.ready():
            self.disconnected.append(path)
            raise ConnectionAbortedError
        watch.kill()


@pytest.fixture
def target():
    made = DelayingTarget()
    yield made
    made.stop()


@pytest.fixture
def entry(start_entry, records_for, target):
    records = records_for(target, deadline_ms=60_000)
    return start_entry(*records, max_body=1000, body_s=0.5)


@pytest.fixture
def caller(entry):
    with socket.create_connection((HOST, entry.port)) as sock:
        yield sock


def get(path, *headers):
    return _request("GET", path, headers)


def post(path, body=b"x"):
    return _request("POST", path, [f"Content-Length: {len(body)}"]) + body


def _request(method, path, headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers, "", ""]
    return "\r\n".join(lines).encode()


def bodies(received):
    """Return the paths in the bodies of the answers, in order."""
    return [part.split(b">")[0].decode() for part in received.split(b"<")[1:]]


def test_idempotent_requests_run_concurrently_and_are_answered_in_order(
    caller, target, read_until
):
    """Guards against requests that each wait for the answer to the one before.

    Three requests come in one packet, and the later ones finish first. The failure
    occurs if a request is only read once the one before it is answered.
    """
    paths = ["/s/held/0", "/s/held/1", "/s/2"]
    caller.sendall(b"".join(get(path) for path in paths))
    wait_for(lambda: set(target.seen) == set(paths))
    target.release("/s/held/1")
    target.release("/s/held/0")
    assert bodies(read_until(caller, b"</s/2>")) == paths


def test_non_idempotent_request_waits_and_delays_those_after_it(
    caller, target, read_until
):
    """Guards against a purchase that runs before a lookup that was sent earlier.

    If such requests ran concurrently, the order of those that change something would
    be lost.
    """
    paths = ["/s/held/0", "/s/held/1", "/s/2"]
    caller.sendall(get(paths[0]) + post(paths[1]) + get(paths[2]))
    wait_for(lambda: target.seen)
    for _ in range(20):
        gevent.sleep(0)
    assert target.seen == paths[:1]
    target.release(paths[0])
    wait_for(lambda: len(target.seen) == 2)
    for _ in range(20):
        gevent.sleep(0)
    assert target.seen == paths[:2]
    target.release(paths[1])
    assert bodies(read_until(caller, b"</s/2>")) == paths


def test_requests_after_one_that_closes_do_not_run(caller, target, read_to_end):
    """Guards against a request that runs twice.

    After an answer that closes the connection, the caller assumes that its later
    requests were not read, and sends them again.
    """
    data = get("/s/held/0") + get("/s/held/1", "Connection: close")
    caller.sendall(data + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    target.release("/s/held/1")
    target.release("/s/held/0")
    received = read_to_end(caller)
    assert bodies(received) == ["/s/held/0", "/s/held/1"]
    assert received.count(b"Connection: close") == 1
    assert "/s/2" not in target.seen


def test_forwarded_requests_are_answered_before_a_closing_listener_ends(
    entry, caller, target, read_to_end, read_until
):
    """Guards against a lost answer to a request that ran as its daemon stopped.

    Two requests run and a purchase waits behind them when the daemon starts to stop.
    The failure occurs if the first answer announces the end of the connection although
    another one follows.
    """
    caller.sendall(get("/s/held/0") + get("/s/held/1") + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    entry.server.start_closing()
    target.release("/s/held/0")
    first = read_until(caller, b"</s/held/0>")
    assert b"Connection: close" not in first
    target.release("/s/held/1")
    last = read_to_end(caller)
    assert b"Connection: close" in last
    assert bodies(last) == ["/s/held/1"]
    assert "/s/2" not in target.seen
    assert entry.server.lookahead.requests == 0


def test_finish_waits_for_all_pipelined_requests(entry, caller, target, read_until):
    caller.sendall(get("/s/held/0") + get("/s/held/1"))
    wait_for(lambda: len(target.seen) == 2)
    ending = gevent.spawn(entry.server.finish, 30.0)
    gevent.sleep(0)
    target.release("/s/held/1")
    target.release("/s/held/0")
    assert len(bodies(read_until(caller, b"</s/held/1>"))) == 2
    assert ending.get()


def test_requests_are_cancelled_when_their_caller_disconnects(entry, caller, target):
    """Guards against targets that work for callers that have disconnected.

    The failure occurs if the end of the input is only detected once all requests before
    it are read.
    """
    caller.sendall(get("/s/held/0") + get("/s/held/1") + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    caller.close()
    wait_for(lambda: len(target.disconnected) == 2)
    wait_for(lambda: entry.server.connections == 0)
    assert "/s/2" not in target.seen
    assert entry.server.lookahead == type(entry.server.lookahead)(total=2)


def test_partial_head_does_not_delay_the_request_before_it(caller, target, read_until):
    whole = get("/s/1")
    caller.sendall(get("/s/0") + whole[:10])
    assert bodies(read_until(caller, b"</s/0>")) == ["/s/0"]
    caller.sendall(whole[10:])
    assert bodies(read_until(caller, b"</s/1>")) == ["/s/1"]


def test_read_ahead_is_limited_and_all_requests_are_answered(
    entry, caller, target, read_until
):
    """Guards against one caller that exhausts memory or the slots of all targets."""
    paths = [f"/s/{i}" for i in range(MANY_REQUESTS)]
    most = 0

    def watch():
        nonlocal most
        while True:
            most = max(most, entry.server.lookahead.requests)
            gevent.sleep(0)

    watcher = gevent.spawn(watch)
    sender = gevent.spawn(caller.sendall, b"".join(get(path) for path in paths))
    assert bodies(read_until(caller, b"</s/%d>" % (MANY_REQUESTS - 1))) == paths
    sender.get()
    watcher.kill()
    assert 0 < most <= 32
    assert entry.server.lookahead.requests == entry.server.lookahead.size == 0


def test_caller_that_does_not_read_delays_only_itself(entry, caller, target):
    """Guards against callers that wait for another one which does not read.

    The failure occurs if unread answers are held without a limit, or if one task writes
    the answers of all connections.
    """
    data = b"".join(get(f"/s/{i}?{'y' * 2000}") for i in range(2 * MANY_REQUESTS))
    sender = gevent.spawn(caller.sendall, data)
    wait_for(lambda: len(target.seen) > 100)
    before = -1
    while before != len(target.seen):
        before = len(target.seen)
        for _ in range(50):
            gevent.sleep(0)
    assert entry.call().status == 200
    assert entry.server.lookahead.requests <= 32
    sender.kill()


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (post("/s/1", b"y" * 1001), b"413"),
        (b"POST /s/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", b"408"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /s/1 HTTP/1.1\r\nno colon\r\n\r\n", b"400"),
        (b"GET /s/" + b"y" * 9000 + b" HTTP/1.1\r\n\r\n", b"431"),
    ],
)
def test_malformed_request_after_a_valid_one_is_answered_in_order(
    bad, status, caller, target, read_to_end
):
    """Guards against a lost answer to a valid request.

    The failure occurs if the error for the next request is written at once and the
    connection is closed.
    """
    caller.sendall(get("/s/held/0") + bad)
    wait_for(lambda: target.seen)
    for _ in range(20):
        gevent.sleep(0)
    target.release("/s/held/0")
    received = read_to_end(caller)
    assert bodies(received) == ["/s/held/0"]
    assert b"HTTP/1.1 " + status in received.partition(b"</s/held/0>")[2]
    assert b"Connection: close" in received
    assert target.seen == ["/s/held/0"]


def test_100_continue_is_sent_after_the_answers_before_it(caller, target, read_until):
    """Guards against "100 Continue" in place of the answer to an earlier request."""
    expecting = _request("PUT", "/s/1", ["Content-Length: 2", "Expect: 100-continue"])
    caller.sendall(get("/s/held/0") + expecting)
    wait_for(lambda: target.seen)
    for _ in range(20):
        gevent.sleep(0)
    target.release("/s/held/0")
    received = read_until(caller, b"100 Continue")
    assert received.index(b"</s/held/0>") < received.index(b"100 Continue")
    caller.sendall(b"ab")
    assert bodies(read_until(caller, b"</s/1>")) == ["/s/1"]


def test_no_100_continue_follows_the_last_answer(entry, caller, target, read_to_end):
    """Guards against bytes after the last answer of a closing listener.

    A request that asks for "100 Continue" waits behind the one with the last answer.
    The failure occurs if its reader goes on before it is ended.
    """
    expecting = _request("PUT", "/s/1", ["Content-Length: 2", "Expect: 100-continue"])
    caller.sendall(get("/s/held/0") + expecting)
    wait_for(lambda: target.seen)
    for _ in range(20):
        gevent.sleep(0)
    entry.server.start_closing()
    target.release("/s/held/0")
    received = read_to_end(caller)
    assert b"Connection: close" in received
    assert received.endswith(b"</s/held/0>")


def test_idle_time_counts_from_the_last_answer(entry, caller, target, read_until):
    """Guards against a connection that is closed just as its caller reuses it.

    The failure occurs if the idle time counts from the start of the last request, which
    takes most of it.
    """
    limit = entry.server.limits.idle_s
    caller.sendall(get("/s/held/0"))
    wait_for(lambda: target.seen)
    (handler,) = entry.server._handlers
    # Simulates a request that takes far longer than the idle time.
    handler._pipeline.idle_since -= 2 * limit
    assert handler._idle_left() == limit
    target.release("/s/held/0")
    read_until(caller, b"</s/held/0>")
    wait_for(lambda: not handler.busy)
    assert handler._idle_left() > 0
    caller.sendall(get("/s/1"))
    assert bodies(read_until(caller, b"</s/1>")) == ["/s/1"]


def test_idle_connection_is_closed(entry):
    entry.server.limits.idle_s = 0.01
    with socket.create_connection((HOST, entry.port)) as sock:
        assert sock.recv(10) == b""
