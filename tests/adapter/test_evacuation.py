"""Zones that operators evacuate, by rows beside the rules."""

import pytest

from cairnferry.entry.following import _handover
from cairnferry.standins import wait_for
from hosting._configuration import evacuated_zone

from ._standins import configuration, target_row

ORDER = "evacuate/hall"


def evacuated(daemon):
    return daemon.core.services.evacuated


def wait_until(daemon, *zones):
    wait_for(lambda: evacuated(daemon) == set(zones))


@pytest.mark.parametrize(
    ("key", "zone"),
    [
        ("evacuate/hall", "hall"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("other/evacuate/hall", None),
    ],
)
def test_the_zone_stands_in_the_key(key, zone):
    assert evacuated_zone(key) == zone


def test_an_evacuated_zone_gets_nothing_until_it_is_restored(
    daemon, store, start_target, knows, caplog
):
    caplog.set_level("INFO")
    target = start_target()
    knows(daemon, "i-1")
    assert daemon.call().status == 200
    store.put("op", ORDER, {})
    wait_until(daemon, "hall")
    reply = daemon.call()
    assert reply.status == 503
    assert float(reply.header("retry-after")) > 0
    assert len(target.seen) == 1
    store.drop("op", ORDER)
    wait_until(daemon)
    assert daemon.call().status == 200
    assert "zone evacuated" in caplog.text
    assert "zone restored" in caplog.text


def test_a_change_of_the_rules_keeps_a_zone_evacuated(daemon, store):
    store.put("op", ORDER, {})
    wait_until(daemon, "hall")
    store.put("op", "config", configuration(9))
    wait_for(lambda: daemon.core.services.revision == 9)
    assert evacuated(daemon) == {"hall"}


def test_a_zone_that_nobody_knows_is_named_in_the_log(
    daemon, store, start_target, knows, caplog
):
    start_target()
    knows(daemon, "i-1")
    store.put("op", "evacuate/nowhere", {})
    wait_until(daemon, "nowhere")
    assert "no target in an evacuated zone" in caplog.text
    assert daemon.call().status == 200


def test_a_daemon_that_starts_knows_it_before_it_sends(store, start_daemon):
    """Guards against a restart that forgets an evacuation."""
    store.put("op", "config", configuration())
    store.put("op", ORDER, {})
    daemon = start_daemon()
    assert evacuated(daemon) == {"hall"}


def test_a_daemon_that_starts_in_an_outage_is_told_by_another(
    store, daemon, start_daemon, monkeypatch
):
    """Guards against a restart in an outage that forgets an evacuation."""
    monkeypatch.setattr(_handover, "PATIENCE_S", 0.01)
    store.put("servers", "i-1", target_row(1))
    store.put("op", ORDER, {})
    wait_until(daemon, "hall")
    wait_for(lambda: daemon.core.services.targets())
    store.down = 503
    other = start_daemon("front-2", seeds=[daemon.cfg.handover])
    assert evacuated(other) == {"hall"}


def test_the_store_comes_back_without_the_order(daemon, store):
    """Guards against a zone that stays evacuated by an order that nobody can undo."""
    copy = store.copy()
    store.put("op", ORDER, {})
    wait_until(daemon, "hall")
    store.come_back(copy)
    store.put("op", "config", configuration(9))
    wait_until(daemon)


def test_rows_of_other_sorts_beside_the_rules_are_passed_over(daemon, store):
    store.put("op", "notice/hall", {})
    store.put("op", ORDER, b"\xff no document")
    wait_until(daemon, "hall")
