"""Fixtures for all tests."""

# The daemon uses sockets that gevent has patched, and so do its tests.
from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import math  # noqa: E402
import random  # noqa: E402

import gevent.socket  # noqa: E402
import pytest  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from cairnferry.entry.callers._callers import BodyLimits, CallersApp  # noqa: E402
from cairnferry.entry.callers._forward import Forwarder  # noqa: E402
from cairnferry.entry.callers._guard import CrashGuard  # noqa: E402
from cairnferry.entry.http._http_server import ListenerLimits  # noqa: E402
from cairnferry.entry.http._memory import Memory  # noqa: E402
from cairnferry.entry.http._pipelined_server import PipelinedServer  # noqa: E402
from cairnferry.entry.targets._crash_detector import CrashDetector  # noqa: E402
from cairnferry.entry.targets._services import Services  # noqa: E402
from cairnferry.entry.targets._upstreams import Upstreams  # noqa: E402
from cairnferry.entry.telemetry._metrics import Metrics  # noqa: E402
from cairnferry.entry.workspaces import WorkspaceRegistry  # noqa: E402
from cairnferry.records import Change, Kind, Put, RecordSet  # noqa: E402
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
TEST_TIMEOUT_S = 120
ALONE = "alone"


def pytest_addoption(parser):
    """Add the options for parts of the tests, and for seeds."""
    parser.addoption(
        "--part",
        default=None,
        help="INDEX/COUNT of this process; `alone` for the tests that run apart",
    )
    for name, default, drawn in (
        ("--crowd-seeds", "1-5,10,15", "crowds"),
        ("--silence-seeds", "1-2", "silences of the store"),
    ):
        parser.addoption(
            name,
            default=default,
            type=_read_seeds,
            help=f"seeds of drawn {drawn}, as numbers and ranges FIRST-LAST",
        )


def _read_seeds(text):
    """Return the seeds that an option lists."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def pytest_collection_modifyitems(config, items):
    """Keep every COUNTth test of each file, so that all processes share slow files.

    Tests with the marker `alone` are a part of their own, apart from other load.

    All tests with golden files run in one process: with only a part of them, the other
    golden files would count as unused, which fails the run.
    """
    part = config.getoption("--part")
    if part is None:
        return
    positions = collections.Counter()
    kept, deselected = [], []
    for item in items:
        is_golden = "snapshot" in item.fixturenames
        position = 0 if is_golden else positions[item.path]
        positions[item.path] += 1
        is_alone = item.get_closest_marker("alone") is not None
        is_kept = part == ALONE if is_alone else _is_in_part(position, part)
        (kept if is_kept else deselected).append(item)
    items[:] = kept
    config.hook.pytest_deselected(items=deselected)


def _is_in_part(position, part):
    if part == ALONE:
        return False
    index, count = (int(number) for number in part.split("/"))
    return position % count == index


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the state of a failed test's processes to its report."""
    report = (yield).get_result()
    if call.when != "call" or not report.failed:
        return
    for system in item.funcargs.values():
        describe = getattr(system, "describe", None)
        if describe is not None:
            report.sections.append(("processes", describe()))


@pytest.fixture(autouse=True)
def guard():
    """Fail a test that runs longer than TEST_TIMEOUT_S seconds."""
    with gevent.Timeout(TEST_TIMEOUT_S):
        yield


def receive_all(sock):
    """Return all bytes until the connection ends.

    A reset counts as an end: it occurs if the peer closes with unread input.
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
    """Return the function that reads a connection to its end."""
    return receive_all


def receive_until(sock, text):
    """Return the bytes received until they contain a text."""
    received = b""
    while text not in received:
        part = sock.recv(65536)
        assert part, received
        received += part
    return received


@pytest.fixture
def read_until():
    """Return the function that reads a connection up to a text."""
    return receive_until


@pytest.fixture
def serve_bytes():
    """Start servers that respond to the first request of a connection with bytes."""
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
                gevent.sleep(TEST_TIMEOUT_S)

        server = StreamServer((HOST, 0), handle)
        server.start()
        servers.append(server)
        return server.server_port

    yield start
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def start_target():
    """Start stand-in targets in this process."""
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
    """Return a system of separate processes, none of them started."""
    with LocalSystem(tmp_path) as system:
        yield system


@pytest.fixture
def start_entry():
    """Start a daemon's listener for callers in this process, with given records."""
    servers = []

    def start(*documents, **limits):
        entry = EntryUnderTest(documents, **limits)
        servers.append(entry)
        return entry

    yield start
    for server in servers:
        server.stop()


class EntryUnderTest:
    """Listener for callers, services and connections, without cluster or platform."""

    def __init__(
        self,
        documents,
        max_body=65536,
        max_connections=100,
        body_s=5.0,
        bodies=math.inf,
        memory=math.inf,
    ):
        self.services = Services("z", random.Random(5), lambda policy: None)
        self.upstreams = Upstreams(1.0, 1024 * 1024)
        self.metrics = Metrics()
        self.guard = CrashGuard(self.metrics)
        crash_detector = CrashDetector(
            self.upstreams, self.metrics, self.guard.note_crash
        )
        self.workspaces = WorkspaceRegistry()
        edits = tuple(Put(document, 0) for document in documents)
        if edits:
            records = RecordSet().apply(1, (Change("c", edits),)).ok
            self.services.install(records)
            self.install_workspaces(records)
        app = CallersApp(
            self.services,
            Forwarder(self.upstreams, None, crash_detector, self.guard),
            None,
            self.metrics,
            BodyLimits(max_body, body_s),
            workspaces=self.workspaces,
        )
        limits = ListenerLimits(max_connections, idle_s=30.0, head_s=body_s)
        memory = Memory(memory, bodies)
        self.server = PipelinedServer((HOST, 0), app, limits, memory=memory)
        self.server.start()

    @property
    def port(self):
        return self.server.server_port

    def install_workspaces(self, records):
        workspaces = records.of_kind(Kind.WORKSPACE) or None
        self.workspaces.install(self.workspaces.prepare(workspaces))

    def policy(self, service="s"):
        return self.services.runtime(service).policy

    def call(self, method="GET", path="/s", timeout=10, **options):
        return Client(HOST, self.port).call(method, path, timeout=timeout, **options)

    def raw(self, data):
        """Send bytes and return all bytes received until the connection ends."""
        with gevent.socket.create_connection((HOST, self.port)) as sock:
            sock.sendall(data)
            return receive_all(sock)

    def stop(self):
        self.server.stop(timeout=0)
        self.upstreams.close()


@pytest.fixture
def records_for():
    """Return records of a service, a route and stand-in targets of this process."""

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
