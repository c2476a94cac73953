"""Several daemons of a zone: one watches the store and forwards the updates."""

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
def short_pauses(monkeypatch):
    """Shorten pauses, and set one watcher per zone, as with several zones."""
    monkeypatch.setattr(_watcher_role, "WATCHERS", 1)
    monkeypatch.setattr(_watcher_role, "CHECK_S", 0.0)
    monkeypatch.setattr(_watcher_role, "SETTLE_S", math.inf)
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)
    monkeypatch.setattr(_following, "ROLE_CHECK_S", 0.01)


@pytest.fixture
def daemons(store, start_daemon, start_target, monkeypatch):
    """Return five daemons that see each other; four joined through the first."""
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
    # All daemons see each other now, however long that took.
    monkeypatch.setattr(_watcher_role, "SETTLE_S", 0.0)
    assert len(active_watchers(everyone)) == 1
    return everyone


def active_watchers(daemons):
    return [daemon for daemon in daemons if daemon.core.watcher_role.is_active()]


def wait_for_targets(daemons, *names):
    for daemon in daemons:
        wait_for(
            lambda d=daemon: {t.name for t in d.core.services.targets()} == set(names)
        )


def test_joining_daemons_neither_write_nor_list_tables(daemons, store):
    # One write for the key and the first daemon's row, at most one per other daemon.
    assert store.calls["/api/rows-tx"] <= 1 + 4
    # The first daemon lists the registry, and three tables that it follows.
    pages = 2 * 4
    assert store.calls["/api/rows-get"] <= pages


def test_changes_take_effect_at_all_daemons(daemons, store, start_target):
    start_target("i-2")
    wait_for_targets(daemons, "i-1", "i-2")
    store.drop("servers", "i-1")
    wait_for_targets(daemons, "i-2")
    store.put("op", "config", configuration(9))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 9)


def test_large_change_of_rules_sends_few_bytes_between_daemons(daemons, store):
    """Guards against sending thousands of rules as plain text on each change."""
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
    called = [daemon.core.peer_meter.call_bytes for daemon in daemons]
    assert not any(each["snapshot", "near"] for each in called)
    return sum(each["document", "near"] for each in called)


def test_evacuation_reaches_all_daemons_without_sending_rules(daemons, store):
    """Guards against an evacuation that only the watchers apply."""
    before = [daemon.core.peer_meter.call_bytes.copy() for daemon in daemons]
    store.put("op", "evacuate/hall", {})
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.evacuated == {"hall"})
    for daemon, called in zip(daemons, before, strict=True):
        now = daemon.core.peer_meter.call_bytes
        assert now.get(("document", "near")) == called.get(("document", "near"))
    store.drop("op", "evacuate/hall")
    for daemon in daemons:
        wait_for(lambda d=daemon: not d.core.services.evacuated)


def test_draining_target_reaches_all_daemons(daemons, store):
    store.put("servers", "i-1", target_row(1, state="draining"))
    for daemon in daemons:
        wait_for(
            lambda d=daemon: (
                [t.lifecycle for t in d.core.services.targets()] == ["draining"]
            )
        )


def test_stopped_watcher_is_replaced(daemons, store):
    """Guards against a zone that gets no updates after its watcher stopped."""
    (first,) = active_watchers(daemons)
    first.stop()
    remaining = [daemon for daemon in daemons if daemon is not first]
    store.put("op", "config", configuration(9))
    store.drop("servers", "i-1")
    wait_for_targets(remaining)
    for daemon in remaining:
        wait_for(lambda d=daemon: d.core.services.revision == 9)


def test_watcher_refused_by_store_is_replaced(daemons, store, monkeypatch):
    """Guards against a zone without updates while the store refuses its watcher."""
    (first,) = active_watchers(daemons)
    refused = first.core.cluster.configuration.rules_feed.store
    wait_for_changes = TableFeed.wait_for_changes

    def refuse(feed, version, wait_s):
        if feed.store is refused:
            return Error(FeedUnavailable("refused"))
        return wait_for_changes(feed, version, wait_s)

    monkeypatch.setattr(TableFeed, "wait_for_changes", refuse)
    # This write ends the call that is waiting for changes.
    store.put("op", "config", configuration(9))
    wait_for(lambda: active_watchers(daemons) not in ([], [first]))
    store.put("op", "config", configuration(10))
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 10)


def test_changes_in_store_outage_reach_all_daemons_after_it(daemons, store):
    store.down = 503
    store.put("op", "config", configuration(9))
    wait_for(lambda: any(failed_calls(daemon) for daemon in daemons))
    store.drop("servers", "i-1")
    store.down = None
    for daemon in daemons:
        wait_for(lambda d=daemon: d.core.services.revision == 9)
    wait_for_targets(daemons)


def failed_calls(daemon):
    calls = daemon.core.metrics.store_calls
    return sum(count for (_, result), count in calls.items() if result == "failed")
