"""Targets that are removed from the store while daemons lose their connection to it."""

import time

import gevent
import pytest

from cairnferry.coordination import Hold, Row, TableUpdate, _continuity, era_of
from cairnferry.entry.following import _followed
from cairnferry.entry.members import _watcher_role
from cairnferry.standins import wait_for
from cairnferry.standins._relay import Relay
from hosting._registry import TABLE

from ._standins import HOST, HostedTarget, configuration, target_row


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


def test_evacuation_begins_and_ends_while_another_daemon_is_cut_off(
    daemons, store, cuts
):
    """Guards against the end of an evacuation that another daemon's trouble delays."""
    _, second = daemons
    for _ in range(2):
        store.put("op", "evacuate/hall", {})
        wait_for(lambda: second.core.services.evacuated == {"hall"})
        store.drop("op", "evacuate/hall")
        wait_for(lambda: not second.core.services.evacuated)
    assert second.core.cluster.tables["evacuations"].grace_left > 0


def test_instance_whose_row_is_removed_is_not_listed_by_another_daemons_hold(
    daemons, store, cuts
):
    """Guards against a gone instance that callers are sent to."""
    _, second = daemons
    row = store.rows[TABLE]["front-1"].value
    store.put(TABLE, "front-9", row.replace(b"front-1", b"front-9"))
    wait_for(lambda: "front-9" in second.core.cluster.tables["instances"].copy.rows)
    store.drop(TABLE, "front-9")
    wait_for(lambda: "front-9" not in second.core.cluster.listed)
    assert second.core.cluster.tables["instances"].grace_left > 0


def test_key_is_revoked_while_another_daemon_is_cut_off(daemons, store, cuts):
    """Guards against a key that is accepted after it was taken away."""
    first, second = daemons
    headers = [("Authorization", "Bearer s3cret-one")]
    for version, keys, status in ((5, ["s3cret-one"], 200), (6, [], 401)):
        tenants = [{"name": "acme", "api_keys": keys}]
        store.put("op", "config", configuration(version, tenants=tenants))
        for daemon in (first, second):
            wait_for(lambda d=daemon, v=version: d.core.services.revision == v)
            assert daemon.call(headers=headers).status == status


def test_joined_daemon_has_no_target_that_others_hold(
    daemons, store, start_daemon, cuts
):
    """Guards against a hold that a handover brings to a daemon that starts."""
    first, second = daemons
    targets_table(first).extend(Hold(until=time.monotonic() + 60.0))
    store.drop("servers", "i-3")
    for daemon in (first, second):
        wait_for(lambda d=daemon: target_names(d) == {"i-1", "i-2"})
    third = start_daemon("front-3", seeds=[first.cfg.handover], zone="loft")
    assert target_names(third) == {"i-1", "i-2"}


def test_restored_state_ends_while_another_daemon_is_cut_off(daemons, store, cuts):
    """Guards against rows of before a restore that others' holds keep in use."""
    _, second = daemons
    copy = store.copy()
    store.drop("servers", "i-3")
    wait_for(lambda: target_names(second) == {"i-1", "i-2"})
    store.restore(copy)
    table = targets_table(second)
    wait_for(lambda: era_of(table.copy.version) == 1)
    assert target_names(second) == {"i-1", "i-2"}
    # The copy lists i-3, and nobody writes that it has left.
    wait_for(lambda: target_names(second) == {"i-1", "i-2", "i-3"})
    assert table.grace_left > 0


def test_requests_avoid_a_held_target_that_is_stopped_or_replaced(
    daemons, store, start_target
):
    """Guards against failures by a held target whose address another service has."""
    _, second = daemons
    targets_table(second).extend(Hold(until=time.monotonic() + 60.0))
    leaving = start_target("i-4")
    wait_for(lambda: "i-4" in target_names(second))
    version = targets_table(second).copy.version
    removal = Row("i-4", None, version + 1)
    targets_table(second).apply_update(TableUpdate(False, (removal,), version + 1))
    assert "i-4" in target_names(second)
    port = leaving.port
    leaving.crash()
    second.earn_retries()
    assert {second.call().status for _ in range(20)} == {200}
    replacement = HostedTarget("other-1", port=port)
    assert {second.call().status for _ in range(40)} == {200}
    assert not replacement.seen
    replacement.stop()


def test_targets_that_lapse_while_store_is_away_stay_at_all_daemons(daemons, store):
    """Guards against daemons without targets for two seconds after an outage."""
    names = {"i-1", "i-2", "i-3", "i-4"}
    store.put("servers", "i-4", target_row(1))
    for daemon in daemons:
        wait_for(lambda d=daemon: target_names(d) == names)
    store.down = 503
    # Ends the calls that wait for changes. A daemon that pauses between two calls does
    # not learn of this target.
    store.put("servers", "i-5", target_row(1))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.metrics.store_calls["targets-feed", "failed"])
    for name in (*names, "i-5"):
        store.drop("servers", name)
    store.down = None
    for daemon in daemons:
        wait_for(lambda d=daemon: not targets_table(d).copy.rows)
        assert target_names(daemon) - {"i-5"} == names
