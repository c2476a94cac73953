"""Closing of a listener."""

import gevent
import pytest
from gevent import socket

from cairnferry.entry.http._http_server import HttpServer, ListenerLimits

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
