"""Requests that wait for the first rules of a daemon that starts."""

import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.callers import StartupHold, _startup_hold

LONG_S = 1000.0


@pytest.fixture(autouse=True)
def long_wait(monkeypatch):
    monkeypatch.setattr(_startup_hold, "WAIT_S", LONG_S)


@pytest.fixture
def hold():
    return StartupHold(Event(), time.monotonic() + LONG_S)


def waiting(hold, size=0, count=1):
    tasks = [gevent.spawn(hold.wait, size) for _ in range(count)]
    gevent.idle()
    return tasks


def test_requests_wait_until_the_rules_are_in_force(hold):
    """Guards against callers that use up their attempts while all daemons start."""
    tasks = waiting(hold, count=3)
    assert not any(task.ready() for task in tasks)
    hold.in_force.set()
    gevent.joinall(tasks)
    assert [task.value for task in tasks] == [True, True, True]


def test_requests_do_not_wait_in_a_long_start(hold):
    """Guards against requests that are all late during an outage of the store."""
    hold.ends_at = time.monotonic()
    assert not hold.wait(0)


def test_a_request_waits_for_a_limited_time(hold, monkeypatch):
    monkeypatch.setattr(_startup_hold, "WAIT_S", 0.001)
    assert not hold.wait(0)


def test_a_limited_number_of_requests_waits(hold, monkeypatch):
    """Guards against memory that requests occupy while they wait."""
    monkeypatch.setattr(_startup_hold, "MAX_WAITING", 2)
    tasks = waiting(hold, count=2)
    assert not hold.wait(0)
    hold.in_force.set()
    gevent.joinall(tasks)
    assert hold.wait(0)


def test_a_limited_number_of_bytes_waits(hold, monkeypatch):
    """Guards against memory that bodies occupy while their requests wait."""
    monkeypatch.setattr(_startup_hold, "MAX_BYTES", 100)
    waiting(hold, size=60)
    assert not hold.wait(60)
    assert not any(task.ready() for task in waiting(hold, size=40))
