"""Several daemons of a zone: one watches the store, and the others hear from it."""

import math

import pytest
from expression import Error

from cairnferry.entry.adapter import FeedUnavailable
from cairnferry.entry.following import _followed, _following
from cairnferry.entry.members import _watcher_role
from cairnferry.standins import wait_for
from hosting._store import TableFeed

from ._standins import configuration, rule, target_row


@pytest.fixture(autouse=True)
def prompt(monkeypatch):
    """Make pauses short; let one daemon watch, as where there are several zones."""
    monkeypatch.setattr(_watcher_role, "WATCHERS", 1)
    monkeypatch.setattr(_watcher_role, "CHECK_S", 0.0)
    monkeypatch.setattr(_watcher_role, "SETTLE_S", math.inf)
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)
    monkeypatch.setattr(_following, "ROLE_CHECK_S", 0.01)


@pytest.fixture
def daemons(store, start_daemon, start_target, monkeypatch):
    """Give five daemons that know each other; four of them joined by the first."""
    store.put("op", "config", configuration())
    start_target()
    first = start_daemon()
    others = [
        start_daemon(f"front-{n}", seeds=[first.cfg.handover]) for n in range(2, 6)
    ]
    everyone = [first, *others]
    for daemon in everyone:
        wait_for(lambda d=daemon: len(d.core.cluster.membership.live()) == 5)
        wait_for(lambda d=daemon: len(d.core.cluster.listed) == 5)
        wait_for(lambda d=daemon: d.core.watcher_role.is_ready)
    # Now that they have met, whatever time that took.
    monkeypatch.setattr(_watcher_role, "SETTLE_S", 0.0)
    assert len(watching(everyone)) == 1
    return everyone


def watching(daemons):
    return [daemon for daemon in daemons if daemon.core.watcher_role.is_active()]


def all_know(daemons, *names):
    for daemon in daemons:
        wait_for(
            lambda d=daemon: {t.name for t in d.core.services.targets()} == set(names)
        )


def test_those_that_join_neither_write_nor_list(daemons, store):
    # The key with the own row, and each of the others once at most.
    assert store.calls["/api/rows-tx"] <= 1 + 4
    # The registry, and three tables that the first one lists to follow them.
    pages = 2 * 4
    assert store.calls["/api/rows-get"] <= pages


def test_changes_come_in_force_at_all_of_them(daemons, store, start_target):
    start_target("i-2")
    all_know(daemons, "i-1", "i-2")
    store.drop("servers", "i-1")
    all_know(daemons, "i-2")
    store.put("op", "config", configuration(9))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 9)


def test_a_large_change_of_rules_costs_little_between_daemons(daemons, store):
    """Guards against links that carry thousands of rules as plain text."""
    rules = [rule(name=f"r-{n}", prefix=f"/p{n}/") for n in range(2000)]
    store.put("op", "config", configuration(9, rules=rules))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 9)
    rules[7] = rule(name="r-7", prefix="/other/")
    before = document_bytes(daemons)
    store.put("op", "config", configuration(10, rules=rules))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 10)
        assert daemon.core.services.route("/other/x", "shop.example").name == "r-7"
    changes = len(daemons) * len(daemons)
    assert document_bytes(daemons) - before < 500 * changes
    assert before < 40_000 * changes


def document_bytes(daemons):
    called = [daemon.core.peer_meter.called for daemon in daemons]
    assert not any(each["snapshot", "near"] for each in called)
    return sum(each["document", "near"] for each in called)


def test_an_evacuation_is_known_to_all_and_asks_nobody_for_the_rules(daemons, store):
    """Guards against a zone that only the watchers spare."""
    before = [daemon.core.peer_meter.called.copy() for daemon in daemons]
    store.put("op", "evacuate/hall", {})
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.evacuated == {"hall"})
    for daemon, called in zip(daemons, before, strict=True):
        now = daemon.core.peer_meter.called
        assert now.get(("document", "near")) == called.get(("document", "near"))
    store.drop("op", "evacuate/hall")
    for daemon in daemons:
        wait_for(lambda d=daemon: not d.core.services.evacuated)


def test_a_target_that_drains_is_known_to_all(daemons, store):
    store.put("servers", "i-1", target_row(1, state="draining"))
    for daemon in daemons:
        wait_for(
            lambda d=daemon: (
                [t.lifecycle for t in d.core.services.targets()] == ["draining"]
            )
        )


def test_a_watcher_that_is_lost_is_replaced(daemons, store):
    """Symptom: a zone hears of no change any more once its watcher is killed."""
    (first,) = watching(daemons)
    first.stop()
    left = [daemon for daemon in daemons if daemon is not first]
    store.put("op", "config", configuration(9))
    store.drop("servers", "i-1")
    all_know(left)
    for daemon in left:
        wait_for(lambda d=daemon: d.core.services.revision == 9)


def test_a_watcher_that_the_store_refuses_is_replaced(daemons, store, monkeypatch):
    """Symptom: a zone stays behind while the store refuses one instance."""
    (first,) = watching(daemons)
    refused = first.core.cluster.configuration.rules_feed.store
    since = TableFeed.since

    def refuse(feed, version, wait_s):
        if feed.store is refused:
            return Error(FeedUnavailable("refused"))
        return since(feed, version, wait_s)

    monkeypatch.setattr(TableFeed, "since", refuse)
    # It ends the call that was made before.
    store.put("op", "config", configuration(9))
    wait_for(lambda: watching(daemons) not in ([], [first]))
    store.put("op", "config", configuration(10))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 10)


def test_what_changed_in_an_outage_is_known_to_all_after_it(daemons, store):
    store.down = 503
    store.put("op", "config", configuration(9))
    wait_for(lambda: any(failed_calls(daemon) for daemon in daemons))
    store.drop("servers", "i-1")
    store.down = None
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 9)
    all_know(daemons)


def failed_calls(daemon):
    calls = daemon.core.metrics.store_calls
    return sum(count for (_, result), count in calls.items() if result == "failed")
