"""Daemons on the own interface, as processes, and a target that names a limit.

The target got as much as before it named the limit: no daemon read its word, and none
counts what the others send.
"""

import time

import gevent
import pytest

from cairnferry.standins import wait_for

DAEMONS = {"e1": "zone-a", "e2": "zone-a", "e3": "zone-b"}
TARGETS = ("a", "b", "c")
LIMIT = 2.6
CONTACT_S = 3.0
WINDOW_S = 4.0
CALLERS_EACH = 3
PAUSE_S = 0.05


def call_for_ever(daemon):
    while True:
        daemon.call("callers", "GET", "/s/x")
        gevent.sleep(PAUSE_S)


@pytest.fixture
def installed(install):
    """Give a system with one service, and callers of all its daemons."""
    system = install(TARGETS, DAEMONS, service_ms=10)
    callers = [
        gevent.spawn(call_for_ever, daemon)
        for daemon in system.daemons.values()
        for _ in range(CALLERS_EACH)
    ]
    yield system
    gevent.killall(callers)


def arrivals(system, name, since):
    return [at for at, *_ in system.target_events(name)["seen"] if at >= since]


def name_limit(system, name, limit):
    """Name a limit, or none; give the time."""
    system.set_target(name, limit=str(limit or ""))
    return time.monotonic()


def test_a_limit_holds_over_all_daemons_and_ends_with_its_target_s_word(installed):
    wait_for(lambda: len(arrivals(installed, "a", 0.0)) > 20)
    named = name_limit(installed, "a", LIMIT)
    gevent.sleep(CONTACT_S + WINDOW_S)
    got = arrivals(installed, "a", named + CONTACT_S)
    assert 0 < len(got) <= 1.5 * LIMIT * WINDOW_S + 5
    shown = [
        daemon.call("operators", "GET", "/metrics").body.decode()
        for daemon in installed.daemons.values()
    ]
    assert all('cairnferry_target_limit{target="a"} 2.6' in page for page in shown)
    lifted = name_limit(installed, "a", None)
    wait_for(lambda: len(arrivals(installed, "a", lifted)) > 50)
