"""Rows that are removed while daemons, or all of them, lose the store (model)."""

import pytest

from bench.model import Fleet

ROW = b"x" * 230
TARGETS = 20
# Seconds within which a removed target must get no further requests.
DRAIN_S = 2.0
SIZES = [(13, 3), (105, 5), (312, 5)]


def start_fleet(size, zones, seed):
    fleet = Fleet(size, zones, seed)
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", ROW)
    fleet.run(12.0)
    return fleet


def cut_in_turn(fleet, names, seconds, pause):
    """Cut daemons off from the store in turn, forever."""

    def cut(index):
        daemon = fleet.daemons[names[index % len(names)]]
        daemon.refused = True
        fleet.after(seconds, restore, daemon)
        fleet.after(seconds + pause, cut, index + 1)

    def restore(daemon):
        daemon.refused = False

    cut(0)


def watchers(fleet, zones):
    """Return the name of the first watcher of each of some zones."""
    found = {}
    for daemon in fleet.up():
        if fleet.is_watching(daemon):
            found.setdefault(daemon.zone, daemon.name)
    return [found[f"z{zone}"] for zone in range(zones)]


@pytest.mark.parametrize("cut_zones", [1, 2])
@pytest.mark.parametrize(("size", "zones"), SIZES)
def test_removal_takes_effect_while_other_daemons_lose_the_store(
    size, zones, cut_zones
):
    """Guards against removed targets in use as daemons are cut off again and again."""
    fleet = start_fleet(size, zones, seed=1)
    cut_off = watchers(fleet, cut_zones)
    cut_in_turn(fleet, cut_off, 0.3, 0.9)
    fleet.run(6.0)
    sound = [daemon for daemon in fleet.up() if daemon.name not in cut_off]
    for number in range(4):
        key = f"i-{number}"
        fleet.store.change(key, None)
        taken = fleet.run(
            10.0,
            lambda key=key: all(key not in daemon.rows_in_use for daemon in sound),
        )
        assert taken < DRAIN_S
        fleet.run(1.7)


def end_outage(fleet, zones, zone_delay_s):
    """Let the daemons reach the store again, zone by zone."""

    def restore(zone):
        for daemon in fleet.up():
            daemon.refused = daemon.refused and daemon.zone != zone

    fleet.store.is_up = True
    for zone in range(zones):
        fleet.after(zone * zone_delay_s, restore, f"z{zone}")


@pytest.mark.parametrize("zone_delay_s", [0.0, 0.3])
@pytest.mark.parametrize(("size", "zones"), SIZES)
def test_rows_that_lapse_in_an_outage_stay_in_use_at_all_daemons(
    size, zones, zone_delay_s
):
    """Guards against daemons without targets between an outage and its writers."""
    fleet = start_fleet(size, zones, seed=2)
    fleet.store.is_up = False
    for daemon in fleet.up():
        daemon.refused = True
    fleet.run(5.0)
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", None)
    fleet.run(1.0)
    end_outage(fleet, zones, zone_delay_s)
    is_missing = False

    def find_missing():
        nonlocal is_missing
        is_missing = any(len(daemon.rows_in_use) < TARGETS for daemon in fleet.up())
        return is_missing

    fleet.run(1.4, find_missing)
    assert not is_missing
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", ROW)
    fleet.run(10.0)
    assert all(len(daemon.rows_in_use) == TARGETS for daemon in fleet.up())
