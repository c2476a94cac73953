"""Closing of a listener."""

import gevent
import pytest
from gevent import socket
from gevent.monkey import get_original

from cairnferry.entry.http import _http_server
from cairnferry.entry.http._http_server import HttpServer, ListenerLimits
from cairnferry.wire import refuse_connections

TURNS = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def server():
    """Return a listener whose answers take several turns of the event loop."""

    def app(environ, start_response):
        for _ in range(TURNS):
            gevent.sleep(0)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    made = HttpServer(("127.0.0.1", 0), app, ListenerLimits(10, 60.0, 5.0))
    made.start()
    yield made
    made.stop(timeout=0)


def connected():
    """Return both ends of a connection that the server has not accepted itself."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_connection_accepted_while_closing_is_served(server, monkeypatch):
    """Guards against 500 Internal Server Error for a caller of a stopping daemon.

    The listener accepts a connection in the same turn of the event loop in which it is
    closed, before the connection's task has run. The failure occurs if connections are
    only counted once their tasks run: none seems to be left, and the task is killed in
    the middle of its request.
    """
    near, far = connected()
    near.sendall(REQUEST)
    close = server.close

    def accept_and_close():
        server.pool.spawn(server.handle, far, ("127.0.0.1", 1))
        close()

    monkeypatch.setattr(server, "close", accept_and_close)
    assert server.finish(30.0)
    answer = near.recv(1000)
    assert answer.startswith(b"HTTP/1.1 200 OK")
    assert b"Connection: close" in answer


def test_start_closing_ends_each_connection_with_its_next_answer(server):
    address = ("127.0.0.1", server.server_port)
    with socket.create_connection(address) as conn:
        conn.sendall(REQUEST)
        assert b"close" not in conn.recv(1000)
        server.start_closing()
        conn.sendall(REQUEST)
        assert b"Connection: close" in conn.recv(1000)
        assert conn.recv(1000) == b""
    with socket.create_connection(address) as conn:
        conn.sendall(REQUEST)
        assert conn.recv(1000).startswith(b"HTTP/1.1 200 OK")


def connect_without_yielding(server):
    """Connect while the event loop stands still, as the kernel accepts by itself."""
    conn = get_original("socket", "socket")()
    conn.settimeout(10.0)
    conn.connect(("127.0.0.1", server.server_port))
    return conn


def receive_without_blocking(conn):
    """Receive the answer on a connection of `connect_without_yielding`."""
    with socket.socket(fileno=conn.detach()) as readable:
        return readable.recv(1000)


def test_connection_in_the_turn_of_the_close_is_served_or_refused(server, monkeypatch):
    """Guards against a reset for a caller that connects right before the close."""
    close = server.close
    outcomes = []

    def connect_and_close():
        for _ in range(3):
            try:
                conn = connect_without_yielding(server)
            except ConnectionRefusedError:
                outcomes.append("refused")
            else:
                conn.sendall(REQUEST)
                outcomes.append(conn)
        close()

    monkeypatch.setattr(server, "close", connect_and_close)
    server.finish(30.0)
    assert set(outcomes) == {"refused"}


def test_all_queued_connections_are_served(server, monkeypatch):
    """Guards against a reset for callers whom a stalled process has not accepted yet.

    More connections are queued than the listener accepts in one turn of the event loop.
    """
    server.limits.max_connections = 1000
    server.max_accept = 10
    queued = [connect_without_yielding(server) for _ in range(30)]
    for conn in queued:
        conn.sendall(REQUEST)
    # The stall lasts longer than the wait for handshakes.
    monkeypatch.setattr(_http_server, "HANDSHAKE_S", 0.0, raising=False)
    assert server.finish(30.0)
    for conn in queued:
        assert receive_without_blocking(conn).startswith(b"HTTP/1.1 200 OK")


def test_new_connection_has_time_to_send_its_request(server, monkeypatch):
    """Guards against a reset for a caller that has connected and not yet sent."""
    monkeypatch.setattr(_http_server, "FIRST_REQUEST_S", 30.0, raising=False)
    conn = connect_without_yielding(server)
    finishing = gevent.spawn(server.finish, 30.0)
    while not server.closed:
        gevent.sleep(0)
    conn.sendall(REQUEST)
    assert finishing.get()
    assert receive_without_blocking(conn).startswith(b"HTTP/1.1 200 OK")


def test_refusing_listener_keeps_its_queue(server):
    """Guards against a listener that loses connections as it starts to refuse."""
    server.stop_accepting()
    queued = connect_without_yielding(server)
    queued.sendall(REQUEST)
    assert refuse_connections(server.socket)
    with pytest.raises(ConnectionRefusedError):
        connect_without_yielding(server)
    server.start_accepting()
    assert receive_without_blocking(queued).startswith(b"HTTP/1.1 200 OK")


def test_listener_that_cannot_refuse_still_closes(server, monkeypatch, caplog):
    """Guards against a daemon that cannot leave on a kernel without the option."""
    monkeypatch.setattr(_http_server, "refuse_connections", lambda listener: False)
    assert server.finish(30.0)
    assert "cannot refuse connections before it closes" in caplog.text


def test_listener_that_is_closed_already_can_finish(server):
    """Guards against a daemon that fails to leave after a fatal error of a listener."""
    server.close()
    assert server.finish(30.0)
