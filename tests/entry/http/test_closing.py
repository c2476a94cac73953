"""A listener that ends."""

import gevent
import pytest
from gevent import socket

from cairnferry.entry.http._http_server import HttpServer, Limits

TURNS = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def server():
    """Give a listener whose answers take some turns of the loop."""

    def app(environ, start_response):
        for _ in range(TURNS):
            gevent.sleep(0)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    made = HttpServer(("127.0.0.1", 0), app, Limits(10, 60.0, 5.0))
    made.start()
    yield made
    made.stop(timeout=0)


def connected():
    """Give both ends of a connection that no listener of the server has taken."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_a_connection_taken_at_the_last_moment_is_served(server, monkeypatch):
    """Symptom: a caller of a daemon that stops gets 500 Internal Server Error.

    Events: the listener takes a connection in the turn in which it is closed, and its
    task has not run yet. Cause: connections were counted once their tasks ran, so that
    none seemed to be left, and the task was killed in the middle of its request.
    """
    near, far = connected()
    near.sendall(REQUEST)
    close = server.close

    def take_one_and_close():
        server.pool.spawn(server.handle, far, ("127.0.0.1", 1))
        close()

    monkeypatch.setattr(server, "close", take_one_and_close)
    assert server.finish(30.0)
    answer = near.recv(1000)
    assert answer.startswith(b"HTTP/1.1 200 OK")
    assert b"Connection: close" in answer


def test_announcing_the_end_closes_each_connection_with_its_next_answer(server):
    address = ("127.0.0.1", server.server_port)
    with socket.create_connection(address) as conn:
        conn.sendall(REQUEST)
        assert b"close" not in conn.recv(1000)
        server.announce_end()
        conn.sendall(REQUEST)
        assert b"Connection: close" in conn.recv(1000)
        assert conn.recv(1000) == b""
    with socket.create_connection(address) as conn:
        conn.sendall(REQUEST)
        assert conn.recv(1000).startswith(b"HTTP/1.1 200 OK")
