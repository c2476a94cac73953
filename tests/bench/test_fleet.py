"""Many daemons in simulated time: who calls the store, what is told, how fast."""

import pytest

from bench.model import Fleet, Storm

TARGETS = 60


def started(size=60, zones=5, seed=1, loss=0.0):
    fleet = Fleet(size, zones, seed, loss)
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", b"x" * 230)
    fleet.run(8.0)
    return fleet


def forget_counts(fleet):
    fleet.bytes.clear()
    fleet.messages = 0
    fleet.store.calls = 0


def time_to_spread(fleet):
    fleet.store.change("i-0", b"y")
    version = fleet.store.version
    return fleet.run(30.0, lambda: fleet.all_hold(version))


@pytest.mark.parametrize("seed", [1, 2])
def test_calls_to_the_store_grow_with_zones_and_not_with_daemons(seed):
    """Symptom: 312 daemons make 12,000 calls on a quiet day, 39 each."""
    counts = {}
    for size in (20, 100):
        fleet = started(size, seed=seed)
        forget_counts(fleet)
        fleet.run(30.0)
        counts[size] = fleet.store.calls
        assert set(fleet.watchers().values()) == {1}
    assert counts[100] <= 1.2 * counts[20]


def test_bytes_between_zones_do_not_grow_with_daemons():
    """Symptom: what daemons tell each other costs more than what they serve."""
    far = {}
    for size in (30, 100):
        fleet = started(size)
        forget_counts(fleet)
        fleet.run(20.0)
        far[size] = sum(n for (_, where), n in fleet.bytes.items() if where == "far")
    assert far[100] <= 1.5 * far[30]


@pytest.mark.parametrize(("size", "loss"), [(60, 0.0), (20, 0.1)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_is_known_to_all_well_within_two_seconds(seed, size, loss):
    fleet = started(size, seed=seed, loss=loss)
    assert max(time_to_spread(fleet) for _ in range(5)) < 1.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_is_known_soon_although_all_watchers_were_just_killed(seed):
    """Symptom: a change is in force seconds after it should be, or never.

    Events: all that watch the store are killed; a change follows at once.
    """
    fleet = started(60, seed=seed)
    for daemon in fleet.up():
        daemon.is_up = not fleet.is_watching(daemon)
    assert time_to_spread(fleet) < 2.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_zones_whose_watchers_the_store_refuses_hear_of_changes(seed):
    fleet = started(60, seed=seed)
    for daemon in fleet.up():
        daemon.refused = fleet.is_watching(daemon)
    assert time_to_spread(fleet) < 2.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_than_half_killed_at_once_leaves_watchers_everywhere(seed):
    """Symptom: after a herd of kills a zone hears of nothing any more."""
    fleet = started(60, seed=seed)
    for daemon in fleet.rng.sample(fleet.up(), 33):
        daemon.is_up = False
    fleet.run(6.0)
    assert set(fleet.watchers()) == {daemon.zone for daemon in fleet.up()}
    assert time_to_spread(fleet) < 1.5


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("size", "zones"), [(13, 3), (60, 5)])
def test_a_store_that_comes_back_from_a_copy_is_listed_by_few(size, zones, seed):
    """Symptom: at the end of a drill each daemon lists each table anew."""
    fleet = started(size, zones, seed)
    copy = fleet.store.copy()
    for number in range(20):
        fleet.store.change(f"i-{number}", b"lost")
    fleet.run(3.0)
    lost = fleet.store.version
    fleet.store.come_back(copy)
    forget_counts(fleet)
    # Others write past the version that was known.
    for number in range(30):
        fleet.store.change(f"i-{number}", b"new")
    version = fleet.store.version
    assert version > lost
    assert fleet.run(30.0, lambda: fleet.all_hold(version)) < 2.0
    assert fleet.store.calls <= 4 * zones
    for daemon in fleet.up():
        rows = daemon.table.copy.rows
        assert {key: row.value for key, row in rows.items()} == {
            key: row.value for key, row in fleet.store.rows.items()
        }


def test_an_outage_is_watched_for_its_end_by_few():
    """Symptom: at the end of an outage each of hundreds of daemons calls the store."""
    fleet = started()
    fleet.store.is_up = False
    forget_counts(fleet)
    fleet.run(30.0)
    in_outage = fleet.store.calls
    # With one call a second by each daemon, as long as it does not answer, 1,800.
    assert in_outage < 5 * 30 * 6
    fleet.store.is_up = True
    forget_counts(fleet)
    assert time_to_spread(fleet) < 3.0
    assert fleet.store.calls <= 5 * 6


def test_a_zone_that_is_cut_off_comes_back_to_what_is_in_force():
    fleet = started(60)
    cut = [daemon for daemon in fleet.up() if daemon.zone == "z0"]
    for daemon in cut:
        daemon.is_cut = daemon.refused = True
    fleet.run(10.0)
    fleet.store.change("i-1", None)
    fleet.run(10.0)
    for daemon in cut:
        daemon.is_cut = daemon.refused = False
    version = fleet.store.version
    assert fleet.run(30.0, lambda: fleet.all_hold(version)) < 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_view_of_the_table_goes_back(seed):
    """Symptom: a target that was removed is used again for a moment."""
    fleet = started(40, seed=seed, loss=0.05)
    seen = {}
    for number in range(40):
        fleet.store.change(f"i-{number % 7}", None if number % 3 else b"z")
        fleet.run(0.4)
        if number == 20:
            for daemon in fleet.rng.sample(fleet.up(), 15):
                daemon.is_cut = True
        for daemon in fleet.up():
            version = daemon.table.copy.version
            assert version >= seen.get(daemon.name, 0)
            seen[daemon.name] = version
    for daemon in fleet.up():
        rows = {k: r.version for k, r in daemon.table.copy.rows.items()}
        at = daemon.table.copy.version
        newer = {k: r for k, r in fleet.store.rows.items() if r.version <= at}
        assert all(rows.get(k) == r.version for k, r in newer.items() if r.value)


def test_members_know_their_zone_and_a_few_of_each_other():
    fleet = started(100)
    known = [len(d.cluster.membership.others()) for d in fleet.up()]
    assert min(known) >= 19 + 4 * 4
    assert max(known) <= 19 + 4 * 12


@pytest.mark.parametrize(
    ("size", "zones", "seed"), [(13, 3, 1), (13, 3, 2), (18, 3, 3), (60, 5, 1)]
)
@pytest.mark.parametrize("per_s", [3, 30])
def test_a_request_that_ends_targets_is_refused_by_all_within_a_second(
    size, zones, seed, per_s
):
    """Symptom: a request goes on to end targets at daemons that have not met it yet.

    It comes 3 or 30 times a second, each time at any daemon, and each end of a target
    has eight other requests in hand at other daemons.
    """
    fleet = Fleet(size, zones, seed)
    fleet.run(8.0)
    storm = Storm.begin(fleet, per_s, 10.0, others=8)
    fleet.run(12.0)
    assert len(storm.ends) >= 3
    assert storm.ends_after_third(1.0) == 0
    assert storm.refused > 0.7 * 10 * per_s


def test_what_is_told_of_a_flood_of_ends_keeps_its_bound():
    """A hundred different requests that each end targets, with others in hand."""
    fleet = Fleet(18, 3, 1)
    fleet.run(20.0)
    forget_counts(fleet)
    fleet.run(20.0)
    quiet = sum(fleet.bytes.values())
    forget_counts(fleet)
    for number in range(100):
        Storm.begin(fleet, 3, 20.0, others=8, path=f"/poison/{number}")
    fleet.run(20.0)
    # At most 16 notes of some 60 bytes in each message, and rounds of 20 ms at most.
    per_daemon = (sum(fleet.bytes.values()) - quiet) / 18 / 20.0
    assert per_daemon < 2 * 16 * 60 * 50
    # What is refused by now costs nothing more.
    forget_counts(fleet)
    fleet.run(20.0)
    assert sum(fleet.bytes.values()) < 1.5 * quiet
