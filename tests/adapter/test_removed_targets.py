"""Targets that are removed from the store while daemons lose their connection to it."""

import gevent
import pytest

from cairnferry.coordination import _continuity
from cairnferry.entry.following import _followed
from cairnferry.entry.members import _watcher_role
from cairnferry.standins import wait_for
from cairnferry.standins._relay import Relay

from ._standins import HOST, configuration, target_row


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Let a new watcher's calls count as uninterrupted early."""
    monkeypatch.setattr(_continuity, "ESTABLISHED_S", 0.5)
    monkeypatch.setattr(_watcher_role, "SETTLE_S", 0.1)
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.05)


@pytest.fixture
def relay(store):
    relay = Relay((HOST, store.port))
    yield relay
    relay.restore()
    relay.stop()


@pytest.fixture
def daemons(store, relay, start_daemon, start_target):
    """Return a daemon that reaches the store through the relay, and one that does not.

    Each is the only one of its zone. Both have three targets.
    """
    store.put("op", "config", configuration())
    first = start_daemon(zone="yard", store_port=int(relay.address.split(":")[1]))
    second = start_daemon("front-2", seeds=[first.cfg.handover])
    for name in ("i-1", "i-2", "i-3"):
        start_target(name)
    for daemon in (first, second):
        wait_for(lambda d=daemon: target_names(d) == {"i-1", "i-2", "i-3"})
        wait_for(lambda d=daemon: len(d.core.cluster.membership.live()) == 2)
    wait_for(lambda: targets_table(second).settled)
    return first, second


def targets_table(daemon):
    return daemon.core.cluster.tables["targets"]


def target_names(daemon):
    return {target.name for target in daemon.core.services.targets()}


def cut_repeatedly(relay, daemon):
    """Cut a daemon off from the store for a moment, forever."""
    table = targets_table(daemon)
    while True:
        relay.cut()
        gevent.sleep(0.2)
        relay.restore()
        earlier = table.hold.until
        wait_for(lambda: table.hold.until > earlier)  # noqa: B023
        gevent.sleep(0.2)


@pytest.fixture
def cuts(relay, daemons):
    """Cut the first daemon off repeatedly; wait until the second one holds rows."""
    first, second = daemons
    task = gevent.spawn(cut_repeatedly, relay, first)
    wait_for(lambda: targets_table(second).grace_left > 0)
    yield task
    task.kill()


def test_removed_target_is_dropped_while_another_daemon_is_cut_off(
    daemons, store, cuts
):
    """Guards against requests to removed targets due to another daemon's connection."""
    _, second = daemons
    for name, left in (("i-3", {"i-1", "i-2"}), ("i-2", {"i-1"})):
        store.drop("servers", name)
        wait_for(lambda expected=left: target_names(second) == expected)
        assert targets_table(second).grace_left > 0
    assert not cuts.ready()


def test_daemon_that_was_cut_off_drops_targets_that_others_saw_removed(
    daemons, store, cuts
):
    """Guards against a daemon that ignores what a sound feed has reported to others."""
    first, _ = daemons
    store.drop("servers", "i-3")
    wait_for(lambda: target_names(first) == {"i-1", "i-2"})
    assert targets_table(first).grace_left > 0


def test_targets_that_lapse_while_store_is_away_stay_at_all_daemons(daemons, store):
    """Guards against daemons without targets for two seconds after an outage."""
    store.down = 503
    # Ends the calls that wait for changes.
    store.put("servers", "i-4", target_row(1))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.metrics.store_calls["targets-feed", "failed"])
    names = ("i-1", "i-2", "i-3", "i-4")
    for name in names:
        store.drop("servers", name)
    store.down = None
    for daemon in daemons:
        wait_for(lambda d=daemon: not targets_table(d).copy.rows)
        assert target_names(daemon) == set(names)
