"""Daemons that start put rules in force together with all that belongs to them."""

import json
import time

import gevent
import pytest

from cairnferry.coordination import Row, TableUpdate
from cairnferry.entry.callers import _startup_hold
from cairnferry.entry.following import _handover
from cairnferry.entry.following._handover import Handover
from cairnferry.policy import ALL_CALLERS, Block
from cairnferry.standins import wait_for
from cairnferry.wire import Client

from ._standins import HOST, configuration, target_row

EVACUATION_KEY = "evacuate/hall"
RULES = json.dumps(configuration()).encode()
TARGETS = TableUpdate(True, (Row("i-1", json.dumps(target_row(1)).encode(), 5),), 5)
EVACUATIONS = TableUpdate(True, (Row(EVACUATION_KEY, b"{}", 6),), 6)


@pytest.fixture
def complete(store, daemon):
    """Return a daemon that has rules, a target and an evacuated zone."""
    store.put("servers", "i-1", target_row(1))
    store.put("op", EVACUATION_KEY, {})
    wait_for(lambda: has_all(daemon))
    return daemon


def has_all(daemon):
    services = daemon.core.services
    names = [target.name for target in services.targets()]
    return services.evacuated == {"hall"} and names == ["i-1"]


def start_and_wait_for_rules(start_daemon, *seeds):
    """Start a daemon; return it in the turn after it puts its first rules in force."""
    starting = start_daemon("front-2", wait=False, seeds=seeds)
    starting.core.cluster.configuration.in_force.wait()
    return starting


def test_rules_from_peers_come_into_force_with_targets_and_evacuations(
    complete, store, start_daemon, monkeypatch
):
    """Guards against a ready daemon without targets and evacuations in an outage.

    It gets its rules from peers alone.
    """
    monkeypatch.setattr(_handover, "INITIAL_DELAY_S", 1000.0)
    store.down = 503
    starting = start_and_wait_for_rules(start_daemon, complete.cfg.handover)
    assert has_all(starting)
    assert starting.core.is_ready


def test_blocked_requests_are_known_before_rules_come_into_force(
    complete, store, start_daemon, monkeypatch
):
    """Guards against a blocked request that a newcomer in an outage sends to targets.

    The block has no row, as the store is unreachable.
    """
    monkeypatch.setattr(_handover, "INITIAL_DELAY_S", 1000.0)
    store.down = 503
    now = time.monotonic()
    block = Block(now, now - 1.0, 0)
    complete.core.guard.quarantine.apply_block("digest", ALL_CALLERS, block)
    starting = start_and_wait_for_rules(start_daemon, complete.cfg.handover)
    assert [each["content"] for each in starting.core.guard.snapshot()] == ["digest"]


@pytest.mark.parametrize("table", ["servers", "cairnferry-entries"])
def test_rules_from_the_store_wait_for_each_table(complete, store, start_daemon, table):
    """Guards against a ready daemon if the store lists one table later than others."""
    event = store.held[table] = gevent.event.Event()
    starting = start_daemon("front-2", wait=False)
    records = starting.core.cluster.configuration
    wait_for(lambda: records.tables["evacuations"].is_known)
    assert records.revision == 0
    assert not starting.core.is_ready
    assert starting.call().status == 503
    event.set()
    records.in_force.wait()
    assert has_all(starting)


def test_callers_wait_for_the_first_rules(complete, store, start_daemon, monkeypatch):
    """Guards against callers that use up their attempts while all daemons start."""
    store.drop("op", EVACUATION_KEY)
    event = store.held["servers"] = gevent.event.Event()
    starting = start_daemon("front-2", wait=False)
    records = starting.core.cluster.configuration
    wait_for(lambda: records.tables["evacuations"].is_known)
    # Not as many as the wait may take, so that the request does not run into its end.
    monkeypatch.setattr(_startup_hold, "WAIT_S", 1000.0)
    starting.core.callers_app.startup_hold.ends_at += 1000.0
    call = gevent.spawn(starting.call, "/other/x")
    wait_for(lambda: starting.core.callers_server.busy == 1)
    # A daemon that starts knows no other one to name to callers.
    path = "/api/resolve?name=shop.example&zone=hall"
    directory = gevent.spawn(starting.get, starting.cfg.directory, path)
    # Refused before the body is read, unless it waits.
    upload = gevent.spawn(starting.call, "/other/x", "POST", body=b"x" * 70_000)
    wait_for(lambda: starting.core.startup_hold.waiting == 3)
    assert records.revision == 0
    event.set()
    # The rules are in force: they have no such route.
    assert call.get().status == 404
    assert upload.get().status == 404
    assert directory.get().status == 200


def test_a_daemon_with_its_first_rules_is_not_steered_away_from(store, start_daemon):
    """Guards against peers that steer callers away for seconds after a start.

    The first heartbeats said that no rules were confirmed yet.
    """
    store.put("op", "config", configuration())
    starting = start_and_wait_for_rules(start_daemon)
    assert starting.core.cluster.is_up_to_date(time.monotonic())


def test_a_request_to_join_waits_for_the_enrolment(
    daemon, store, start_daemon, monkeypatch
):
    """Guards against hundreds of instances that call a starting seed repeatedly."""
    monkeypatch.setattr(_startup_hold, "WAIT_S", 1000.0)
    event = store.held["cairnferry-entries"] = gevent.event.Event()
    seed = start_daemon("front-2", wait=False)
    row = {
        "name": "front-3",
        "zone": "hall",
        "peer_address": "127.0.0.1:1",
        "caller_address": "127.0.0.1:2",
    }
    control = Client(HOST, seed.cfg.handover.port)
    body = json.dumps(row).encode()
    call = gevent.spawn(control.call, "POST", "/join", timeout=30, body=body)
    wait_for(lambda: seed.built.join_hold.waiting == 1)
    event.set()
    reply = call.get()
    assert reply.status == 200
    assert json.loads(reply.body)["told_by"] == str(seed.core.cfg.peers.advertise)


def test_daemon_whose_peer_is_lost_after_the_rules_gets_a_handover(
    complete, store, start_daemon, monkeypatch
):
    """Guards against a daemon that keeps rules without targets through an outage.

    Its only peer has sent the rules and is lost. The handover must not stop for them.
    """
    monkeypatch.setattr(_handover, "INITIAL_DELAY_S", 0.0)
    store.down = 503
    complete.core.peer_server.stop()
    starting = start_daemon("front-2", wait=False, seeds=[complete.cfg.handover])
    starting.core.cluster.configuration.apply(RULES)
    assert not starting.core.is_ready
    starting.core.cluster.configuration.in_force.wait()
    assert has_all(starting)


def test_handover_is_applied_although_the_rules_are_known(store, start_daemon):
    """Guards against a handover whose targets are dropped with its rules."""
    store.down = 503
    starting = start_daemon(wait=False)
    records = starting.core.cluster.configuration
    assert records.apply(RULES)
    assert records.revision == 0
    assert records.apply_handover(Handover(RULES, TARGETS, EVACUATIONS), "peer")
    assert has_all(starting)


def test_handover_without_targets_is_not_enough(store, start_daemon):
    """Guards against a handover of an earlier release that waits for targets itself."""
    store.down = 503
    starting = start_daemon(wait=False)
    records = starting.core.cluster.configuration
    handover = Handover(RULES, TableUpdate(True, (), 0), EVACUATIONS)
    assert not records.apply_handover(handover, "peer")
    assert not starting.core.is_ready
    assert records.apply_handover(Handover(RULES, TARGETS, EVACUATIONS), "peer")


def test_daemon_whose_rules_wait_offers_no_handover(store, start_daemon):
    """Guards against incomplete records that daemons pass on to each other."""
    store.down = 503
    starting = start_daemon(wait=False)
    starting.core.cluster.configuration.apply(RULES)
    assert starting.get(starting.cfg.handover, "/handover").status == 503


def test_empty_table_of_targets_is_known(store, start_daemon):
    """Guards against a daemon that is never ready where no target is listed."""
    store.put("op", "config", configuration())
    starting = start_and_wait_for_rules(start_daemon)
    assert starting.core.is_ready
    assert starting.core.services.targets() == []
