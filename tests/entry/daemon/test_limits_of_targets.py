"""Limit of a target over several daemons, run as separate processes.

Guards against a target that gets as many requests as before it set a limit, because no
daemon reads its limit header, and none counts the requests of other daemons.
"""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

DAEMONS = {"e1": "zone-a", "e2": "zone-a", "e3": "zone-b"}
TARGETS = ("a", "b", "c")
# Requests per second.
LIMIT = 2.6
# Seconds after which a limit must be kept.
LIMIT_DELAY_S = 3.0
WINDOW_S = 4.0
CALLERS_PER_DAEMON = 3
PAUSE_S = 0.05


def call_repeatedly(daemon):
    while True:
        daemon.call("callers", "GET", "/s/x")
        gevent.sleep(PAUSE_S)


@pytest.fixture
def installed(install):
    """Return a system with one service, and callers of all its daemons."""
    system = install(TARGETS, DAEMONS, service_ms=10)
    callers = [
        gevent.spawn(call_repeatedly, daemon)
        for daemon in system.daemons.values()
        for _ in range(CALLERS_PER_DAEMON)
    ]
    yield system
    gevent.killall(callers)


def arrivals(system, name, since):
    return [at for at, *_ in system.target_events(name)["seen"] if at >= since]


def set_limit(system, name, limit):
    """Set a target's limit, or remove it if it is None; return the time."""
    system.set_target(name, limit=str(limit or ""))
    return time.monotonic()


def test_a_limit_applies_to_all_daemons_until_its_target_removes_it(installed):
    wait_for(lambda: len(arrivals(installed, "a", 0.0)) > 20)
    set_at = set_limit(installed, "a", LIMIT)
    gevent.sleep(LIMIT_DELAY_S + WINDOW_S)
    received = arrivals(installed, "a", set_at + LIMIT_DELAY_S)
    assert 0 < len(received) <= 1.5 * LIMIT * WINDOW_S + 5
    pages = [
        daemon.call("operators", "GET", "/metrics").body.decode()
        for daemon in installed.daemons.values()
    ]
    assert all('cairnferry_target_limit{target="a"} 2.6' in page for page in pages)
    lifted_at = set_limit(installed, "a", None)
    wait_for(lambda: len(arrivals(installed, "a", lifted_at)) > 50)
