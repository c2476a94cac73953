"""Fixtures that run the adapter in this process, with stand-ins for its platform."""

import json
import time

import pytest

from cairnferry.entry.targets import _answer_wait
from cairnferry.policy import Call
from cairnferry.standins import free_port, wait_for
from cairnferry.wire import Client
from hosting._settings import read_host_settings
from hosting._store import Store
from hosting.command import build

from ._standins import HOST, HostedTarget, StoreStandin, configuration, rule, target_row
from ._started import STARTED

SETTINGS = """\
node_name={name}
zone={zone}
region=there
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.directory={host}:{directory}
listen.control={host}:{control}
seeds={seeds}
port_range={peer},{peer}
limits.max_fds=4100
bounds.drain=2000ms
bounds.grace=6s
bounds.config_apply=2000ms
bounds.ttl_max=5s
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=64
bounds.retry_window=10s
bounds.probes_per_s=60
platform.address={store_host}:{store}
a.field.of.later={{"new"=1}}
"""


POST = {"method": "POST", "body": b"order"}
UNSAFE = [rule(kind="unsafe", attempts=3)]
PORTS = ("front", "ready", "directory", "control", "peer")


def settings_text(store_port, name="front-1", seeds=(), host=HOST, zone="hall"):
    ports = {part: free_port() for part in PORTS}
    listed = ",".join(str(seed) for seed in seeds)
    return SETTINGS.format(
        name=name,
        host=host,
        store_host=HOST,
        store=store_port,
        seeds=listed,
        zone=zone,
        **ports,
    )


@pytest.fixture(autouse=True)
def started_processes():
    """Collect the processes of a test, whose logs its failure shows."""
    STARTED.clear()
    return STARTED


@pytest.fixture(autouse=True)
def long_answer_wait(monkeypatch):
    """Let status checks wait for all answers, also on a busy machine."""
    monkeypatch.setattr(_answer_wait, "ANSWER_WAIT_S", 10.0)


@pytest.fixture
def store():
    standin = StoreStandin()
    yield standin
    standin.down = None
    standin.resume.set()
    standin.stop()


@pytest.fixture
def client(store):
    return Store(Client(HOST, store.port))


@pytest.fixture
def start_target(store):
    targets = []

    def start(name="i-1", behave=None, service="svc", **more):
        target = HostedTarget(name, behave, **more)
        targets.append(target)
        store.put("servers", name, target_row(target.port, service))
        return target

    yield start
    for target in targets:
        target.stop()


class HostedDaemon:
    """A daemon of the adapter that runs in this process."""

    def __init__(self, store_port, name, seeds, zone="hall"):
        text = settings_text(store_port, name, seeds, zone=zone)
        self.cfg = read_host_settings(text).ok
        self.built = build(self.cfg, metrics_port=free_port())
        self.core = self.built.core
        self.core.start(self.built.tasks)

    def call(self, path="/a/x", method="GET", host="shop.example", **options):
        """Send a request to the daemon as a caller."""
        headers = [
            ("Cairnferry-Request-Id", options.pop("request_id", "req-1")),
            ("Cairnferry-Deadline-Ms", str(options.pop("deadline_ms", 20_000))),
            *options.pop("headers", ()),
        ]
        client = Client(HOST, self.cfg.callers.port, host_name=host)
        return client.call(method, path, timeout=30, headers=headers, **options)

    def earn_retries(self, service="svc", requests=10):
        """Add requests that earn retries; a daemon has no retry budget at its start."""
        policy = self.core.services.runtime(service).policy
        now = time.monotonic()
        for _ in range(requests):
            policy.arrive(Call(now, now + 1.0, True), now)

    def get(self, address, path):
        return Client(HOST, address.port).call("GET", path, timeout=10)

    def stop(self):
        self.core.stop()


@pytest.fixture
def start_daemon(store):
    daemons = []

    def start(name="front-1", wait=True, seeds=(), store_port=store.port, zone="hall"):
        daemon = HostedDaemon(store_port, name, seeds, zone)
        daemons.append(daemon)
        if wait:
            wait_for(lambda: daemon.core.services.revision > 0)
        return daemon

    yield start
    for daemon in daemons:
        daemon.stop()


@pytest.fixture
def daemon(store, start_daemon):
    """Return a daemon with one route to the service "svc"."""
    store.put("op", "config", configuration())
    return start_daemon()


@pytest.fixture
def wait_for_targets():
    """Return a function that waits until a daemon has exactly these targets."""

    def wait(daemon, *names):
        wait_for(lambda: {t.name for t in daemon.core.services.targets()} == set(names))

    return wait


@pytest.fixture
def unsafe_daemon(store, start_daemon):
    store.put("op", "config", configuration(rules=UNSAFE))
    return start_daemon()


def outcome(reply):
    return json.loads(reply.body)["outcome"]
