"""What an exchange proves, for good, broken and ambiguous answers."""

import socket
import time

import pytest

from cairnferry.wire import (
    Client,
    Connection,
    ConnectionPool,
    Failure,
    HeaderInvalid,
    Incomplete,
    NotSent,
    Reply,
    connect,
    encode_request,
    exchange,
)

OK_TWO = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def call(port, method="GET", **options):
    return Client("127.0.0.1", port).call(method, "/", timeout=5, **options)


@pytest.mark.parametrize(
    "answer",
    [
        OK_TWO,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK_TWO,
    ],
)
def test_a_whole_answer_is_a_reply(serve_bytes, answer):
    reply = call(serve_bytes(answer, close=False))
    assert isinstance(reply, Reply)
    assert (reply.status, reply.body) == (200, b"hi")


def test_repeated_headers_are_kept_apart_and_in_order(serve_bytes):
    head = b"HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
    reply = call(serve_bytes(head + b"Content-Length: 0\r\n\r\n", close=False))
    cookies = [value for name, value in reply.headers if name == "Set-Cookie"]
    assert cookies == ["a", "b"]


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        # Symptom: a caller gets the first half of an answer as if it were all.
        # Events: the target dies while it sends. Cause: the end of the body is
        # known only from its length, which has to be compared.
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", Failure.CUT_SHORT),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
            Failure.CUT_SHORT,
        ),
        (b"", Failure.CUT_SHORT),
        # Symptom: a cut answer passes for whole. Events: the target marks the
        # end of the body by closing, and closes early. Cause: nothing tells the
        # two apart, so such answers are not taken at all.
        (b"HTTP/1.1 200 OK\r\n\r\nhi", Failure.BAD_FRAMING),
        # Symptom: one caller gets parts of another's answer. Events: bytes come
        # behind a whole answer. Cause: they would be read as the next answer.
        (OK_TWO + OK_TWO, Failure.BAD_FRAMING),
        (OK_TWO + b"xx", Failure.BAD_FRAMING),
        # Symptom: the length of an answer depends on who reads it. Events: a
        # target sends two. Cause: either may be meant.
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
            Failure.BAD_FRAMING,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            Failure.BAD_FRAMING,
        ),
        (b"garbage\r\n\r\n", Failure.BAD_FRAMING),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 70000, Failure.TOO_LARGE),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
            Failure.TOO_LARGE,
        ),
    ],
)
def test_anything_but_a_whole_answer_is_incomplete(serve_bytes, answer, failure):
    client = Client("127.0.0.1", serve_bytes(answer), max_body=4096)
    assert client.call("GET", "/", timeout=5) == Incomplete(failure)


def test_silence_ends_at_the_deadline(serve_bytes):
    client = Client("127.0.0.1", serve_bytes(close=False))
    assert client.call("GET", "/", timeout=0.05) == Incomplete(Failure.TIMEOUT)


def test_nothing_is_sent_after_the_deadline(start_target):
    """Symptom: work runs at a target although nobody waits for it any more.

    Events: a connection is taken, the process is paused past the deadline, and
    wakes. Cause: the deadline was looked at only before the pause.
    """
    target = start_target()
    conn = connect(("127.0.0.1", target.port), 1)
    payload = encode_request("GET", "/", "t", [], b"")
    outcome = exchange(conn, "GET", payload, time.monotonic() - 0.001, 100)
    assert outcome == NotSent(Failure.TIMEOUT)
    assert target.seen == []
    assert not conn.is_open


def test_a_refused_connection_proves_that_nothing_was_sent():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    assert call(port) == NotSent(Failure.CONNECT)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_call_is_sent_once_whatever_the_method(start_target, method):
    """Symptom: a target runs one request several times.

    Events: a target reads a request and closes without an answer. Cause: the
    HTTP library's own request call sends it again, up to seven times as was
    seen; only its parser is used here, over connections of our own.
    """
    target = start_target(fault="cut-before-run")
    outcome = call(target.port, method, body=b"x" if method == "POST" else b"")
    assert outcome == Incomplete(Failure.CUT_SHORT)
    assert [seen_method for _, seen_method, _ in target.seen] == [method]


def test_connections_to_targets_send_small_segments_at_once(start_target):
    """Symptom: each hop takes 44 ms at the median, at every rate.

    Events: head and body leave in two segments. Cause: the second waits for the
    delayed acknowledgement of the first, unless TCP_NODELAY is set.
    """
    conn = connect(("127.0.0.1", start_target().port), 1)
    assert conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_a_connection_closed_while_idle_is_not_used_again(start_target):
    """Symptom: a request fails at a healthy target, and may have run.

    Events: the target closes an idle connection; the next request is written to
    it. Cause: the close was there to be seen before the request was written.
    """
    target = start_target()
    pool = ConnectionPool(("127.0.0.1", target.port))
    ours, theirs = socket.socketpair()
    pool.release(Connection(ours, pool.address))
    theirs.close()
    conn = pool.acquire(idempotent=True, timeout=1)
    assert conn.sock is not ours
    assert pool.opened == 1


def test_a_non_idempotent_request_gets_no_connection_that_idled_long(start_target):
    pool = ConnectionPool(("127.0.0.1", start_target().port), trusted_idle_s=1)
    old = pool.acquire(idempotent=True, timeout=1)
    old.idle_since = time.monotonic() - 2
    pool.release(old)
    assert pool.acquire(idempotent=False, timeout=1) is not old


def test_a_connection_too_old_for_an_order_is_kept_for_a_read(start_target):
    """Symptom: seven connections are opened for every twenty requests.

    Cause: each non-idempotent request closed all connections that it did not trust,
    although idempotent ones could use them.
    """
    pool = ConnectionPool(("127.0.0.1", start_target().port), trusted_idle_s=1)
    old = pool.acquire(idempotent=True, timeout=1)
    old.idle_since = time.monotonic() - 2
    pool.release(old)
    pool.acquire(idempotent=False, timeout=1)
    assert pool.acquire(idempotent=True, timeout=1) is old


def test_a_connection_is_not_used_near_the_time_at_which_it_will_be_closed(
    start_target,
):
    pool = ConnectionPool(("127.0.0.1", start_target().port))
    conn = pool.acquire(idempotent=True, timeout=1)
    conn.idle_limit = 5.0
    conn.idle_since = time.monotonic() - 4.9
    pool.release(conn)
    assert pool.acquire(idempotent=True, timeout=1) is not conn


@pytest.mark.parametrize(
    ("method", "path", "header"),
    [
        ("GET /x HTTP/1.1\r\nX:", "/", ("A", "b")),
        ("GET", "/ HTTP/1.1\r\nX: y", ("A", "b")),
        ("GET", "/", ("A", "b\r\nX: y")),
        ("GET", "/", ("A\r\nX", "b")),
    ],
)
def test_what_would_break_the_framing_is_not_sent(method, path, header):
    with pytest.raises(HeaderInvalid):
        encode_request(method, path, "h", [header], b"")
