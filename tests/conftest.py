"""Fixtures for all tests."""

# The daemon runs on patched sockets, and so do its tests.
from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
import pytest  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from cairnferry.standins import LocalSystem, TargetBehaviour, TargetStandin  # noqa: E402

HOST = "127.0.0.1"
GUARD_S = 120


@pytest.fixture(autouse=True)
def guard():
    """End a test that waits for an event which never comes."""
    with gevent.Timeout(GUARD_S):
        yield


@pytest.fixture
def serve_bytes():
    """Start a server that answers each connection's first request with bytes."""
    servers = []

    def start(*chunks, close=True):
        def handle(sock, address):
            sock.recv(65536)
            for chunk in chunks:
                sock.sendall(chunk)
                gevent.sleep(0)
            if close:
                sock.close()
            else:
                gevent.sleep(GUARD_S)

        server = StreamServer((HOST, 0), handle)
        server.start()
        servers.append(server)
        return server.server_port

    yield start
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def start_target():
    """Start targets in this process."""
    targets = []

    def start(name="t", **behaviour):
        target = TargetStandin((HOST, 0), name, TargetBehaviour(**behaviour))
        target.start()
        targets.append(target)
        return target

    yield start
    for target in targets:
        target.stop()


@pytest.fixture
def system(tmp_path):
    """Give an empty system of separate processes."""
    with LocalSystem(tmp_path) as system:
        yield system
