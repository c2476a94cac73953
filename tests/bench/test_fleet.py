"""Many daemons in simulated time: calls to the store, messages, propagation time."""

import pytest

from bench.model import Fleet, QueryOfDeath

TARGETS = 60


def start_fleet(size=60, zones=5, seed=1, loss=0.0):
    fleet = Fleet(size, zones, seed, loss)
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", b"x" * 230)
    fleet.run(8.0)
    return fleet


def reset_counts(fleet):
    fleet.bytes.clear()
    fleet.messages = 0
    fleet.store.calls = 0


def time_to_spread(fleet):
    fleet.store.change("i-0", b"y")
    version = fleet.store.version
    return fleet.run(30.0, lambda: fleet.all_have(version))


@pytest.mark.parametrize("seed", [1, 2])
def test_calls_to_the_store_grow_with_zones_and_not_with_daemons(seed):
    """Guards against store calls by each daemon.

    312 daemons made 12,000 calls on a quiet day, 39 each.
    """
    counts = {}
    for size in (20, 100):
        fleet = start_fleet(size, seed=seed)
        reset_counts(fleet)
        fleet.run(30.0)
        counts[size] = fleet.store.calls
        assert set(fleet.watchers().values()) == {1}
    assert counts[100] <= 1.2 * counts[20]


def test_bytes_between_zones_do_not_grow_with_daemons():
    """Guards against messages between daemons that cost more than the requests."""
    far = {}
    for size in (30, 100):
        fleet = start_fleet(size)
        reset_counts(fleet)
        fleet.run(20.0)
        far[size] = sum(n for (_, where), n in fleet.bytes.items() if where == "far")
    assert far[100] <= 1.5 * far[30]


@pytest.mark.parametrize(("size", "loss"), [(60, 0.0), (20, 0.1)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_reaches_all_daemons_well_within_two_seconds(seed, size, loss):
    fleet = start_fleet(size, seed=seed, loss=loss)
    assert max(time_to_spread(fleet) for _ in range(5)) < 1.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_spreads_soon_after_all_watchers_were_killed(seed):
    """Guards against a change that takes effect seconds late, or never.

    All watchers of the store are killed just before the change.
    """
    fleet = start_fleet(60, seed=seed)
    for daemon in fleet.up():
        daemon.is_up = not fleet.is_watching(daemon)
    assert time_to_spread(fleet) < 2.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_changes_reach_zones_whose_watchers_the_store_refuses(seed):
    fleet = start_fleet(60, seed=seed)
    for daemon in fleet.up():
        daemon.refused = fleet.is_watching(daemon)
    assert time_to_spread(fleet) < 2.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_zones_have_watchers_after_more_than_half_were_killed(seed):
    """Guards against a zone without updates after many kills at once."""
    fleet = start_fleet(60, seed=seed)
    for daemon in fleet.rng.sample(fleet.up(), 33):
        daemon.is_up = False
    fleet.run(6.0)
    assert set(fleet.watchers()) == {daemon.zone for daemon in fleet.up()}
    assert time_to_spread(fleet) < 1.5


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("size", "zones"), [(13, 3), (60, 5)])
def test_a_store_restored_from_a_copy_is_listed_by_few_daemons(size, zones, seed):
    """Guards against a listing of each table by each daemon after a restore."""
    fleet = start_fleet(size, zones, seed)
    copy = fleet.store.copy()
    for number in range(20):
        fleet.store.change(f"i-{number}", b"lost")
    fleet.run(3.0)
    version_before = fleet.store.version
    fleet.store.restore_from(copy)
    reset_counts(fleet)
    # The version of the store passes that of the daemons.
    for number in range(30):
        fleet.store.change(f"i-{number}", b"new")
    version = fleet.store.version
    assert version > version_before
    assert fleet.run(30.0, lambda: fleet.all_have(version)) < 2.0
    assert fleet.store.calls <= 4 * zones
    for daemon in fleet.up():
        rows = daemon.table.copy.rows
        assert {key: row.value for key, row in rows.items()} == {
            key: row.value for key, row in fleet.store.rows.items()
        }


def test_few_daemons_poll_the_store_during_an_outage():
    """Guards against calls to the store by all daemons at the end of an outage."""
    fleet = start_fleet()
    fleet.store.is_up = False
    reset_counts(fleet)
    fleet.run(30.0)
    in_outage = fleet.store.calls
    # One call per second by each daemon during the outage would be 1,800 calls.
    assert in_outage < 5 * 30 * 6
    fleet.store.is_up = True
    reset_counts(fleet)
    assert time_to_spread(fleet) < 3.0
    assert fleet.store.calls <= 5 * 6


def test_an_isolated_zone_catches_up_after_it_reconnects():
    fleet = start_fleet(60)
    isolated = [daemon for daemon in fleet.up() if daemon.zone == "z0"]
    for daemon in isolated:
        daemon.is_isolated = daemon.refused = True
    fleet.run(10.0)
    fleet.store.change("i-1", None)
    fleet.run(10.0)
    for daemon in isolated:
        daemon.is_isolated = daemon.refused = False
    version = fleet.store.version
    assert fleet.run(30.0, lambda: fleet.all_have(version)) < 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_replica_of_the_table_reverts(seed):
    """Guards against a removed target that is used again for a moment."""
    fleet = start_fleet(40, seed=seed, loss=0.05)
    seen = {}
    for number in range(40):
        fleet.store.change(f"i-{number % 7}", None if number % 3 else b"z")
        fleet.run(0.4)
        if number == 20:
            for daemon in fleet.rng.sample(fleet.up(), 15):
                daemon.is_isolated = True
        for daemon in fleet.up():
            version = daemon.table.copy.version
            assert version >= seen.get(daemon.name, 0)
            seen[daemon.name] = version
    for daemon in fleet.up():
        rows = {k: r.version for k, r in daemon.table.copy.rows.items()}
        at = daemon.table.copy.version
        expected = {k: r for k, r in fleet.store.rows.items() if r.version <= at}
        assert all(rows.get(k) == r.version for k, r in expected.items() if r.value)


def test_members_know_their_own_zone_and_a_few_of_each_other_zone():
    fleet = start_fleet(100)
    known = [len(d.cluster.membership.others()) for d in fleet.up()]
    assert min(known) >= 19 + 4 * 4
    assert max(known) <= 19 + 4 * 12


@pytest.mark.parametrize(
    ("size", "zones", "seed"), [(13, 3, 1), (13, 3, 2), (18, 3, 3), (60, 5, 1)]
)
@pytest.mark.parametrize("per_s", [3, 30])
def test_a_request_that_crashes_targets_is_refused_by_all_within_a_second(
    size, zones, seed, per_s
):
    """Guards against a request that keeps crashing targets through other daemons.

    It arrives 3 or 30 times a second, each time at any daemon, and each target that
    crashes has eight requests from other daemons in flight.
    """
    fleet = Fleet(size, zones, seed)
    fleet.run(8.0)
    query = QueryOfDeath.start(fleet, per_s, 10.0, others=8)
    fleet.run(12.0)
    assert len(query.crashes) >= 3
    assert query.crashes_after_third(1.0) == 0
    assert query.refused > 0.7 * 10 * per_s


def test_messages_about_a_flood_of_crashes_are_bounded():
    """A hundred requests crash targets, with other requests in flight there."""
    fleet = Fleet(18, 3, 1)
    fleet.run(20.0)
    reset_counts(fleet)
    fleet.run(20.0)
    quiet = sum(fleet.bytes.values())
    reset_counts(fleet)
    for number in range(100):
        QueryOfDeath.start(fleet, 3, 20.0, others=8, path=f"/poison/{number}")
    fleet.run(20.0)
    # At most 16 notes of some 60 bytes in each message, and rounds of 20 ms at most.
    per_daemon = (sum(fleet.bytes.values()) - quiet) / 18 / 20.0
    assert per_daemon < 2 * 16 * 60 * 50
    # Refused requests cause no further messages.
    reset_counts(fleet)
    fleet.run(20.0)
    assert sum(fleet.bytes.values()) < 1.5 * quiet
