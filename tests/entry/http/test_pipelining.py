"""Requests that callers send ahead of answers: side by side, and answered in order."""

import contextlib
import types

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from cairnferry.standins import wait_for

HOST = "127.0.0.1"
MANY = 1000


class HeldTarget:
    """A target that notes each request, and answers those that are not held back.

    A path that contains "/held" is answered once `release` was called for it.
    """

    def __init__(self):
        self.behaviour = types.SimpleNamespace(slots=64)
        self.seen = []
        self.left = []
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
            self._hold(sock, path)
        body = f"<{path}>".encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        sock.sendall(body)

    def _hold(self, sock, path):
        gate = self._gates[path] = Event()
        watch = gevent.spawn(sock.recv, 1)
        gevent.wait([gate, watch], count=1)
        if watch.ready():
            self.left.append(path)
            raise ConnectionAbortedError
        watch.kill()


@pytest.fixture
def target():
    made = HeldTarget()
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
    """Give the paths that the answers name, in their order."""
    return [part.split(b">")[0].decode() for part in received.split(b"<")[1:]]


def test_idempotent_requests_run_side_by_side_and_are_answered_in_order(
    caller, target, read_until
):
    """Symptom: a caller's further requests wait for the answer to the one before.

    Events: three requests come in one packet, and the later ones are done first.
    Cause: the next request was read only when the one before it was answered.
    """
    paths = ["/s/held/0", "/s/held/1", "/s/2"]
    caller.sendall(b"".join(get(path) for path in paths))
    wait_for(lambda: set(target.seen) == set(paths))
    target.release("/s/held/1")
    target.release("/s/held/0")
    assert bodies(read_until(caller, b"</s/2>")) == paths


def test_one_that_is_not_idempotent_waits_and_holds_those_behind_it(
    caller, target, read_until
):
    """Symptom: a purchase runs before the look-up that the caller sent before it.

    Cause: the order of requests that change something would be lost.
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


def test_nothing_behind_a_request_that_closes_is_run(caller, target, read_to_end):
    """Symptom: a request runs twice. Cause: its caller takes what it sent behind an
    answer that closes the connection for not read, and sends it again."""
    data = get("/s/held/0") + get("/s/held/1", "Connection: close")
    caller.sendall(data + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    target.release("/s/held/1")
    target.release("/s/held/0")
    received = read_to_end(caller)
    assert bodies(received) == ["/s/held/0", "/s/held/1"]
    assert received.count(b"Connection: close") == 1
    assert "/s/2" not in target.seen


def test_what_was_passed_on_is_answered_before_a_listener_that_ends_closes(
    entry, caller, target, read_to_end, read_until
):
    """Symptom: a caller of a daemon that stops loses a request that has run.

    Events: two requests run and a purchase waits behind them when the daemon is told
    to stop. Cause: the first answer announced the end, though another was to follow.
    """
    caller.sendall(get("/s/held/0") + get("/s/held/1") + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    entry.server.announce_end()
    target.release("/s/held/0")
    first = read_until(caller, b"</s/held/0>")
    assert b"Connection: close" not in first
    target.release("/s/held/1")
    last = read_to_end(caller)
    assert b"Connection: close" in last
    assert bodies(last) == ["/s/held/1"]
    assert "/s/2" not in target.seen
    assert entry.server.lookahead.requests == 0


def test_a_listener_that_finishes_waits_for_all_requests(
    entry, caller, target, read_until
):
    caller.sendall(get("/s/held/0") + get("/s/held/1"))
    wait_for(lambda: len(target.seen) == 2)
    ending = gevent.spawn(entry.server.finish, 30.0)
    gevent.sleep(0)
    target.release("/s/held/1")
    target.release("/s/held/0")
    assert len(bodies(read_until(caller, b"</s/held/1>"))) == 2
    assert ending.get()


def test_a_caller_that_leaves_cancels_all_it_had_in_flight(entry, caller, target):
    """Symptom: targets work for callers that are gone. Cause: the end of the input
    was seen only once every request before it was read."""
    caller.sendall(get("/s/held/0") + get("/s/held/1") + post("/s/2"))
    wait_for(lambda: len(target.seen) == 2)
    caller.close()
    wait_for(lambda: len(target.left) == 2)
    wait_for(lambda: entry.server.connections == 0)
    assert "/s/2" not in target.seen
    assert entry.server.lookahead == type(entry.server.lookahead)(total=2)


def test_half_a_head_does_not_hold_up_the_request_before_it(caller, target, read_until):
    whole = get("/s/1")
    caller.sendall(get("/s/0") + whole[:10])
    assert bodies(read_until(caller, b"</s/0>")) == ["/s/0"]
    caller.sendall(whole[10:])
    assert bodies(read_until(caller, b"</s/1>")) == ["/s/1"]


def test_very_many_heads_at_once_are_bounded_and_all_answered(
    entry, caller, target, read_until
):
    """Symptom: one caller fills the memory, or the slots of all targets."""
    paths = [f"/s/{i}" for i in range(MANY)]
    most = 0

    def watch():
        nonlocal most
        while True:
            most = max(most, entry.server.lookahead.requests)
            gevent.sleep(0)

    watcher = gevent.spawn(watch)
    sender = gevent.spawn(caller.sendall, b"".join(get(path) for path in paths))
    assert bodies(read_until(caller, b"</s/%d>" % (MANY - 1))) == paths
    sender.get()
    watcher.kill()
    assert 0 < most <= 32
    assert entry.server.lookahead.requests == entry.server.lookahead.size == 0


def test_a_caller_that_does_not_read_stalls_itself_alone(entry, caller, target):
    """Symptom: other callers wait. Cause: answers nobody reads were held without
    bound, or one task wrote the answers of all connections."""
    data = b"".join(get(f"/s/{i}?{'y' * 2000}") for i in range(2 * MANY))
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
def test_a_bad_request_behind_a_good_one_is_answered_in_its_turn(
    bad, status, caller, target, read_to_end
):
    """Symptom: the answer to a good request is lost. Cause: the fault of the next
    one was written at once, and the connection closed."""
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


def test_the_word_to_go_on_comes_after_the_answers_before_it(
    caller, target, read_until
):
    """Symptom: a caller takes "100 Continue" for the answer to an earlier request."""
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


def test_the_idle_time_counts_from_the_last_answer(entry, caller, target, read_until):
    """Symptom: a connection is closed just as its caller uses it again.

    Cause: the idle time ran from the last request, which took most of it.
    """
    limit = entry.server.limits.idle_s
    caller.sendall(get("/s/held/0"))
    wait_for(lambda: target.seen)
    (handler,) = entry.server._handlers
    # As if the request had taken far longer than a connection may be idle.
    handler._pipeline.idle_since -= 2 * limit
    assert handler._idle_left() == limit
    target.release("/s/held/0")
    read_until(caller, b"</s/held/0>")
    wait_for(lambda: not handler.busy)
    assert handler._idle_left() > 0
    caller.sendall(get("/s/1"))
    assert bodies(read_until(caller, b"</s/1>")) == ["/s/1"]


def test_a_connection_that_is_idle_for_too_long_is_closed(entry):
    entry.server.limits.idle_s = 0.01
    with socket.create_connection((HOST, entry.port)) as sock:
        assert sock.recv(10) == b""
