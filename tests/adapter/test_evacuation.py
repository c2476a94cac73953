"""Zones that operators evacuate by rows in the rules table."""

import pytest

from cairnferry.entry.following import _handover
from cairnferry.standins import wait_for
from hosting._configuration import evacuated_zone

from ._standins import configuration, target_row

EVACUATION_KEY = "evacuate/hall"


def evacuated(daemon):
    return daemon.core.services.evacuated


def wait_for_evacuated(daemon, *zones):
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
def test_evacuated_zone_is_read_from_key(key, zone):
    assert evacuated_zone(key) == zone


def test_evacuated_zone_gets_no_requests_until_restored(
    daemon, store, start_target, wait_for_targets, caplog
):
    caplog.set_level("INFO")
    target = start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call().status == 200
    store.put("op", EVACUATION_KEY, {})
    wait_for_evacuated(daemon, "hall")
    reply = daemon.call()
    assert reply.status == 503
    assert float(reply.header("retry-after")) > 0
    assert len(target.seen) == 1
    store.drop("op", EVACUATION_KEY)
    wait_for_evacuated(daemon)
    assert daemon.call().status == 200
    assert "zone evacuated" in caplog.text
    assert "zone restored" in caplog.text


def test_zone_stays_evacuated_when_rules_change(daemon, store):
    store.put("op", EVACUATION_KEY, {})
    wait_for_evacuated(daemon, "hall")
    store.put("op", "config", configuration(9))
    wait_for(lambda: daemon.core.services.revision == 9)
    assert evacuated(daemon) == {"hall"}


def test_evacuation_of_zone_without_targets_is_logged(
    daemon, store, start_target, wait_for_targets, caplog
):
    start_target()
    wait_for_targets(daemon, "i-1")
    store.put("op", "evacuate/nowhere", {})
    wait_for_evacuated(daemon, "nowhere")
    assert "no target in an evacuated zone" in caplog.text
    assert daemon.call().status == 200


def test_starting_daemon_reads_evacuations_before_serving(store, start_daemon):
    """Guards against a daemon that restarts without the evacuations."""
    store.put("op", "config", configuration())
    store.put("op", EVACUATION_KEY, {})
    daemon = start_daemon()
    assert evacuated(daemon) == {"hall"}


def test_a_daemon_that_starts_in_an_outage_is_told_by_another(
    store, daemon, start_daemon, monkeypatch
):
    """Guards against a restart in a store outage that loses the evacuations."""
    monkeypatch.setattr(_handover, "INITIAL_DELAY_S", 0.01)
    store.put("servers", "i-1", target_row(1))
    store.put("op", EVACUATION_KEY, {})
    wait_for_evacuated(daemon, "hall")
    wait_for(lambda: daemon.core.services.targets())
    store.down = 503
    other = start_daemon("front-2", seeds=[daemon.cfg.handover])
    assert evacuated(other) == {"hall"}


def test_zone_is_restored_if_restored_store_lacks_its_row(daemon, store):
    """Guards against a zone that stays evacuated by a row that no longer exists."""
    copy = store.copy()
    store.put("op", EVACUATION_KEY, {})
    wait_for_evacuated(daemon, "hall")
    store.restore(copy)
    store.put("op", "config", configuration(9))
    wait_for_evacuated(daemon)


def test_other_rows_in_rules_table_are_ignored(daemon, store):
    store.put("op", "notice/hall", {})
    store.put("op", EVACUATION_KEY, b"\xff no document")
    wait_for_evacuated(daemon, "hall")
