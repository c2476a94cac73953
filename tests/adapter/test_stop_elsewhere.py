"""What else may cut, keep or lose a request while a daemon stops."""

import time

import attrs
import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.detours import DetourClient
from cairnferry.policy import LeavingTimes
from cairnferry.standins import wait_for

from ._standins import HOST, configuration, rule
from .conftest import POST, UNSAFE, outcome
from .partitions.conftest import LostPaths

LONG = LeavingTimes(60.0, 60.0)
BACKENDS = [
    {"service": "svc", "weight": 50},
    {"service": "other", "weight": 50},
]


def leave(daemon, times=LONG):
    """Let a daemon of this process stop; return the task, which gives its exit code."""
    daemon.core.set_leaving_times(times)
    daemon.core.leave()
    stopping = gevent.spawn(daemon.core.run_to_end)
    wait_for(lambda: daemon.core.callers_server.closing)
    return stopping


# -- decisions ----------------------------------------------------------------------


def test_orders_of_a_stopping_daemon_keep_the_shares_of_a_route(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a service that gets all orders of a route while a daemon stops.

    The failure occurs if the check of a head selects a service by weight, and the
    request then selects another one.
    """
    rules = [rule(kind="unsafe", backends=BACKENDS)]
    clusters = ("svc", "other")
    store.put("op", "config", configuration(rules=rules, clusters=clusters))
    targets = [start_target("i-1"), start_target("i-2", service="other")]
    daemon = start_daemon()
    wait_for_targets(daemon, "i-1", "i-2")
    leave(daemon)
    for _ in range(10):
        assert daemon.call(**POST).status == 200
    assert [len(target.seen) for target in targets] == [5, 5]


def test_large_bodies_keep_the_shares_of_a_route(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a service that gets all large orders of a route."""
    rules = [rule(kind="unsafe", backends=BACKENDS)]
    clusters = ("svc", "other")
    store.put("op", "config", configuration(rules=rules, clusters=clusters))
    targets = [start_target("i-1"), start_target("i-2", service="other")]
    daemon = start_daemon()
    wait_for_targets(daemon, "i-1", "i-2")
    for _ in range(10):
        assert daemon.call(method="POST", body=bytes(80_000)).status == 200
    assert [len(target.seen) for target in targets] == [5, 5]


def test_reload_changes_the_answers_for_which_a_stop_serves(daemon):
    """Guards against a listener that closes while callers use its steering answers."""
    built, core = daemon.built, daemon.core
    first_ttl_s = core.steering.ttl
    built.apply(attrs.evolve(daemon.cfg, max_ttl_s=0.2))
    assert core.steering.ttl == 0.2
    # Callers may still use answers of before the reload.
    assert core.departure.times.serve_s >= 3 * first_ttl_s


# -- the end ---------------------------------------------------------------------------


def test_stall_in_a_stop_does_not_move_its_end(daemon, monkeypatch):
    """Guards against a daemon that is killed by the platform before its requests end.

    The failure occurs if the time to finish counts from the moment at which the daemon
    notices that it has served for long enough.
    """
    server = daemon.core.callers_server
    seconds = []

    def finish(limit_s, keep_idle_s):
        seconds.append(limit_s)
        return True

    monkeypatch.setattr(server, "finish", finish)
    daemon.core.set_leaving_times(LeavingTimes(60.0, 60.0))
    daemon.core.departure.begin(time.monotonic() - 90.0)
    daemon.core.leave()
    assert daemon.core.run_to_end() == 0
    assert 0 < seconds[0] <= 30.0


@pytest.fixture
def refusing_address():
    """Return an address that refuses connections."""
    with gevent.socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()


@pytest.fixture
def two(store, start_daemon, start_target):
    """Return two daemons that know each other and a target."""
    store.put("op", "config", configuration(rules=UNSAFE))
    start_target()
    daemons = [start_daemon(name) for name in ("front-1", "front-2")]
    for each in daemons:
        wait_for(lambda d=each: len(d.core.cluster.membership.live()) == 2)
        wait_for(lambda d=each: d.core.services.targets())
    return daemons


def test_order_of_a_peer_is_declined_once_the_last_request_is_finished(
    two, refusing_address, monkeypatch
):
    """Guards against an order that a daemon takes and cuts, as it ends before its time.

    A daemon without requests does not wait for the end of its time. A peer that has not
    heard of its stop may still pass a request on.
    """
    sender, stopping = two
    peer = sender.core.detours.next_peer("svc", set())
    monkeypatch.setattr(
        DetourClient, "next_peer", lambda self, name, tried: None if tried else peer
    )
    monkeypatch.setattr(DetourClient, "has_peers", lambda self: True)
    finishing, may_end = Event(), Event()

    def finish_pages(seconds):
        finishing.set()
        may_end.wait()

    pages = stopping.core._listeners[-1]
    monkeypatch.setattr(pages, "finish", finish_pages)
    stopping.core.set_leaving_times(LeavingTimes(0.0, 60.0))
    stopping.core.leave()
    leaving = gevent.spawn(stopping.core.run_to_end)
    finishing.wait()
    sender.core.upstreams._pools = LostPaths(refusing_address)
    reply = sender.call(**POST, deadline_ms=3_000)
    may_end.set()
    assert leaving.get() == 0
    assert outcome(reply) == "not-run"
    assert stopping.core.metrics.detours["received", "declined"] == 1
