"""Fixtures for all tests."""

# The daemon runs on patched sockets, and so do its tests.
from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import random  # noqa: E402

import gevent.socket  # noqa: E402
import pytest  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from cairnferry.entry.callers._callers import BodyLimits, CallersApp  # noqa: E402
from cairnferry.entry.callers._forward import Forwarder  # noqa: E402
from cairnferry.entry.callers._guard import CrashGuard  # noqa: E402
from cairnferry.entry.http._http_server import Limits  # noqa: E402
from cairnferry.entry.http._pipelined_server import PipelinedServer  # noqa: E402
from cairnferry.entry.targets._crash_detector import CrashDetector  # noqa: E402
from cairnferry.entry.targets._services import Services  # noqa: E402
from cairnferry.entry.targets._upstreams import Upstreams  # noqa: E402
from cairnferry.entry.telemetry._metrics import Metrics  # noqa: E402
from cairnferry.records import Change, Put, RecordSet  # noqa: E402
from cairnferry.standins import (  # noqa: E402
    LocalSystem,
    TargetBehaviour,
    TargetStandin,
    route_v2,
    service_v2,
    target_v2,
)
from cairnferry.wire import Client  # noqa: E402

HOST = "127.0.0.1"
GUARD_S = 120


def pytest_addoption(parser):
    """Let several processes run a part of the tests each."""
    parser.addoption("--part", default="0/1", help="INDEX/COUNT of this process")


def pytest_collection_modifyitems(config, items):
    """Keep each COUNTth test of each file: the slow files are shared by all.

    Tests with golden files stay together: a process that ran a part of them would
    call the golden files of the others unused, and fail.
    """
    index, count = (int(number) for number in config.getoption("--part").split("/"))
    places = collections.Counter()
    kept, left = [], []
    for item in items:
        is_golden = "snapshot" in item.fixturenames
        place = 0 if is_golden else places[item.path]
        places[item.path] += 1
        (kept if place % count == index else left).append(item)
    items[:] = kept
    config.hook.pytest_deselected(items=left)


@pytest.fixture(autouse=True)
def guard():
    """End a test that waits for an event which never comes."""
    with gevent.Timeout(GUARD_S):
        yield


def receive_all(sock):
    """Give what comes until the connection ends.

    An end by reset is as good: the other side closed with input left unread.
    """
    received = b""
    try:
        while part := sock.recv(65536):
            received += part
    except ConnectionResetError:
        pass
    return received


@pytest.fixture
def read_to_end():
    """Give the function that reads a connection to its end."""
    return receive_all


def receive_until(sock, text):
    """Give what comes until a text has come."""
    received = b""
    while text not in received:
        part = sock.recv(65536)
        assert part, received
        received += part
    return received


@pytest.fixture
def read_until():
    """Give the function that reads a connection up to a text."""
    return receive_until


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


@pytest.fixture
def start_entry():
    """Start the callers' side of a daemon in this process, with given records."""
    servers = []

    def start(*documents, **limits):
        entry = CallersSide(documents, **limits)
        servers.append(entry)
        return entry

    yield start
    for server in servers:
        server.stop()


class CallersSide:
    """Callers' listener, services and connections, without cluster or platform."""

    def __init__(self, documents, max_body=65536, max_connections=100, body_s=5.0):
        self.services = Services("z", random.Random(5), lambda policy: None)
        self.upstreams = Upstreams(1.0, 1024 * 1024)
        self.metrics = Metrics()
        self.guard = CrashGuard(self.metrics)
        crash_detector = CrashDetector(
            self.upstreams, self.metrics, self.guard.note_crash
        )
        edits = tuple(Put(document, 0) for document in documents)
        if edits:
            records = RecordSet().apply(1, (Change("c", edits),)).ok
            self.services.install(records)
        app = CallersApp(
            self.services,
            Forwarder(self.upstreams, None, crash_detector, self.guard),
            None,
            self.metrics,
            BodyLimits(max_body, body_s),
        )
        limits = Limits(max_connections, idle_s=30.0, head_s=body_s)
        self.server = PipelinedServer((HOST, 0), app, limits)
        self.server.start()

    @property
    def port(self):
        return self.server.server_port

    def policy(self, service="s"):
        return self.services.runtime(service).policy

    def call(self, method="GET", path="/s", timeout=10, **options):
        return Client(HOST, self.port).call(method, path, timeout=timeout, **options)

    def raw(self, data):
        """Send bytes; give all that comes back until the connection ends."""
        with gevent.socket.create_connection((HOST, self.port)) as sock:
            sock.sendall(data)
            return receive_all(sock)

    def stop(self):
        self.server.stop(timeout=0)
        self.upstreams.close()


@pytest.fixture
def records_for():
    """Make a service, a route and targets for stand-ins of this process."""

    def make(*targets, route=None, **service):
        documents = [
            service_v2("s", **service),
            route_v2("r", "/s", "s", **route or {}),
        ]
        for index, target in enumerate(targets):
            address = f"{HOST}:{target.port}"
            slots = target.behaviour.slots
            documents.append(target_v2(f"t{index}", "s", "z", address, slots=slots))
        return documents

    return make
