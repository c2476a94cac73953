"""Daemons in processes of their own whose store is silent again and again."""

import random

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import unique_loopback_host, wait_for
from hosting._registry import TABLE

from ._processes import DaemonProcess
from ._standins import HostedTarget, StoreStandin, configuration, rule, target_row
from .conftest import settings_text

DAEMONS = 6
# Seconds within which a change is in force: `config_apply` and `max_stretch`.
FOLLOW_S = 7.0
# Seconds without silences, after which the store counts as calm.
CALM_S = 3.5
# Number of silences, and their shortest and longest time in seconds.
SILENCES = [
    (3, (7.0, 12.0)),
    (8, (2.0, 6.0)),
    (20, (0.3, 3.5)),
    (100, (0.05, 0.4)),
]
# Shortest and longest pause in seconds between two silences, which is no longer than
# the longest of them.
PAUSE_S = (0.3, 2.0)


def pytest_generate_tests(metafunc):
    if "silence_seed" in metafunc.fixturenames:
        seeds = metafunc.config.getoption("--silence-seeds")
        metafunc.parametrize("silence_seed", seeds)


class SilentStore(StoreStandin):
    """Store that sends no answer while it is silent, and then all that have waited.

    The answers are sent within `spread_s` seconds, in any order.
    """

    def __init__(self, rng, spread_s):
        self._rng = rng
        self._spread_s = spread_s
        self._silent = set()
        self._voice = Event()
        super().__init__()

    def begin_silence(self, tables):
        """Hold the answers to calls for some tables."""
        self._silent = tables
        self._voice.clear()

    def end_silence(self):
        """Send all answers that wait."""
        self._silent = set()
        self._voice.set()

    def _answer(self, path, query, body):
        found = super()._answer(path, query, body)
        while query.get("table", "op") in self._silent:
            self._voice.wait()
            gevent.sleep(self._rng.uniform(0.0, self._spread_s))
        return found


class Deployment:
    """One daemon, with a store and a target of its own."""

    def __init__(self, number, folder, rng, spread_s):
        self.store = SilentStore(rng, spread_s)
        self.target = HostedTarget("i-0")
        row = target_row(self.target.port)
        for name in ("i-0", "i-1"):
            self.store.put("servers", name, row)
        rules = [rule(), rule("r-2", "/dropped/")]
        self.store.put("op", "config", configuration(rules=rules))
        host = unique_loopback_host(number + 1)
        text = settings_text(self.store.port, f"front-{number}", host=host)
        self.daemon = DaemonProcess(folder, host, text)

    def change(self):
        """Remove and add a target and a route."""
        self.store.drop("servers", "i-1")
        self.store.put("servers", "i-2", target_row(self.target.port))
        rules = [rule(), rule("r-3", "/added/")]
        self.store.put("op", "config", configuration(4, rules=rules))

    def has_followed(self):
        """Return whether the change is in force."""
        lines = self.daemon.logged("targets")
        seen = {name.split("@")[0] for line in lines for name in line["went"]}
        return self.daemon.serves("/added/x") and any("i-1" in each for each in seen)

    def stop(self):
        self.daemon.kill()
        self.store.end_silence()
        self.store.stop()
        self.target.stop()


@pytest.fixture
def deployments(tmp_path):
    started = []

    def start(seed, spread_s):
        rng = random.Random(seed)
        for number in range(DAEMONS):
            started.append(Deployment(number, tmp_path, rng, spread_s))
        for each in started:
            wait_for(lambda d=each.daemon: d.serves("/a/x"))
        return started, rng

    yield start
    for each in started:
        each.stop()


def silence(each, rng, count, seconds, some_tables):
    for _ in range(count):
        gevent.sleep(min(rng.uniform(*PAUSE_S), seconds[1]))
        tables = {"op", "servers", TABLE}
        if some_tables:
            tables = set(rng.sample(sorted(tables), rng.randint(1, 3)))
        each.store.begin_silence(tables)
        gevent.sleep(rng.uniform(*seconds))
        each.store.end_silence()


def play(deployments, seed, count, seconds, spread_s=0.0, some_tables=False):
    """Play silences at all daemons; return the names of those that do not follow."""
    started, rng = deployments(seed, spread_s)
    tasks = [
        gevent.spawn(silence, each, rng, count, seconds, some_tables)
        for each in started
    ]
    gevent.joinall(tasks, raise_error=True)
    gevent.sleep(CALM_S)
    for each in started:
        each.change()
    ends = gevent.Timeout.start_new(FOLLOW_S)
    try:
        while not all(each.has_followed() for each in started):
            gevent.sleep(0.1)
    except gevent.Timeout as exc:
        if exc is not ends:
            raise
    finally:
        ends.close()
    return [each.daemon.cfg.name for each in started if not each.has_followed()]


def test_daemons_follow_the_store_after_long_silences(deployments):
    """Guards against a daemon that follows a table no longer after an outage."""
    assert play(deployments, seed=1, count=3, seconds=(7.0, 12.0)) == []


def test_daemons_follow_the_store_after_drawn_silences(deployments, silence_seed):
    """Guards against the same fault after silences that nobody has thought of."""
    rng = random.Random(silence_seed)
    count, seconds = rng.choice(SILENCES)
    spread_s = rng.choice([0.0, 0.05])
    some_tables = rng.choice([True, False])
    assert play(deployments, silence_seed, count, seconds, spread_s, some_tables) == []
