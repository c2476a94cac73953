"""The limit of a workspace over many daemons, driven without a network."""

import pytest

from ._daemons import ZONES, Daemon, World, bound, fullest_window

EXCESS = 5
FAULT_AT_S = 4.0
LASTS_S = 8.0
TAIL_S = 14.0
RATE, BURST = 60.0, 30.0


def kill_owners(world):
    """Kill the owner, and its successors soon after they took over."""
    for _ in range(3):
        world.kill(world.owner_name("red"))
        world.run_for(2.0)


def kill_and_restart_owner(world):
    """Let the owner return with an empty memory while its successor grants."""
    name = world.owner_name("red")
    world.kill(name)
    world.run_for(1.0)
    world.start(name)


def freeze_owner(world):
    """Let the previous owner wake up while its successor grants."""
    world.freeze(world.owner_name("red"), 3.0)


def freeze_owner_often(world):
    """Guards against an owner that starts with tokens after each short standstill."""
    for _ in range(6):
        world.freeze(world.owner_name("red"), 0.5)
        world.run_for(1.0)


def cut_off_a_third(world):
    """Cut off a third of the daemons, each alone."""
    names = sorted(world.daemons)
    world.rng.shuffle(names)
    world.partition([[name] for name in names[: len(names) // 3]])


def split_zones(world):
    """Separate the owner's zone from the others."""
    zone = world.members[world.owner_name("red")].zone
    world.partition([[n for n, m in world.members.items() if m.zone == zone]])


def split_into_halves(world):
    """Split each zone in two; guards against counting a split zone in both halves."""
    names = sorted(world.daemons)
    world.rng.shuffle(names)
    world.partition([names[: len(names) // 2]])


def restart_all(world):
    """Start all daemons at once, none of which knows another member."""
    for daemon in world.daemons.values():
        daemon.is_up = False
    world.run_for(1.0)
    for name, member in world.members.items():
        world.daemons[name] = Daemon(world, name, member.zone)
    world.update_views((0.05, 2.0), (0.3, 3.0))


def lose_messages(world):
    """Lose a tenth of the messages, and deliver others after the patience."""
    world.loss, world.lateness = 0.1, 0.2


FAULTS = (
    kill_owners,
    kill_and_restart_owner,
    freeze_owner,
    freeze_owner_often,
    cut_off_a_third,
    split_zones,
    split_into_halves,
    restart_all,
    lose_messages,
)


@pytest.mark.parametrize("count", [13, 60])
@pytest.mark.parametrize("fault", FAULTS)
def test_limit_is_kept_under_a_fault(fault, count):
    """A workspace far over its limit exceeds the bound in no window."""
    for seed in (1, 2) if count < 60 else (3,):
        world = World(count, {"red": (RATE, BURST)}, seed)
        world.demand("red", EXCESS * RATE, FAULT_AT_S + LASTS_S + TAIL_S + 6)
        world.run_for(FAULT_AT_S)
        fault(world)
        world.run_for(LASTS_S)
        world.loss = world.lateness = 0.0
        world.heal()
        world.run_for(TAIL_S)
        assert fullest_window(world.runs["red"]) <= bound(RATE, BURST)
        # The limit is used again after the fault, but for the part of lost daemons,
        # which are still listed.
        share = sum(daemon.is_up for daemon in world.daemons.values()) / count
        recent = [at for at in world.runs["red"] if at > world.now - 5.0]
        assert len(recent) > 0.95 * share * 5.0 * RATE


def test_limit_is_kept_with_120_daemons_and_a_cut_third():
    world = World(120, {"red": (20.0, 30.0)})
    world.demand("red", 100.0, 20.0)
    world.run_for(4.0)
    cut_off_a_third(world)
    world.run_for(8.0)
    world.heal()
    world.run_for(8.0)
    assert fullest_window(world.runs["red"]) <= bound(20.0, 30.0)


def test_lower_limit_is_kept_after_one_window():
    """The limit falls to a tenth of what is used."""
    world = World(60, {"red": (50.0, 25.0)})
    world.demand("red", 60.0, 20.0)
    world.run_for(6.0)
    world.set_limit("red", 5.0, 2.5)
    lowered_at = world.now
    world.run_for(14.0)
    later = [at for at in world.runs["red"] if at >= lowered_at + 5.0]
    assert fullest_window(later) <= bound(5.0, 2.5)
    assert len(later) >= 0.9 * 9.0 * 5.0


def test_four_workspaces_over_their_limits_at_once():
    limits = {"a": (4.0, 8.0), "b": (20.0, 10.0), "c": (20.0, 40.0), "d": (1.0, 1.0)}
    world = World(60, limits)
    for name, (rate, _) in limits.items():
        world.demand(name, 7 * rate, 20.0)
    world.run_for(20.0)
    for name, (rate, burst) in limits.items():
        assert fullest_window(world.runs[name]) <= bound(rate, burst)
        assert len(world.runs[name]) >= 0.95 * 20 * rate


def test_limit_is_kept_if_requests_fail_unrun():
    """Tokens come back late, while the bucket has accrued others in their place.

    All requests of some seconds fail unrun half a second after they got a token, and
    return it. Then all run.
    """
    world = World(13, {"red": (20.0, 20.0)})
    world.unrun = lambda rng: 0.5
    world.demand("red", 400.0, 12.0)
    world.run_for(6.0)
    world.unrun = None
    world.run_for(6.0)
    assert fullest_window(world.runs["red"]) <= bound(20.0, 20.0)
    # More than the tokens of 12 s were granted, so tokens were used again.
    assert world.outcomes["red"]["run owner"] > 12 * 20.0 + 20.0 + 20.0


@pytest.mark.parametrize("rate", [5.0, 40.0])
def test_limit_is_used_under_steady_excess(rate):
    world = World(105, {"red": (rate, rate)})
    world.demand("red", 3 * rate, 25.0)
    world.run_for(25.0)
    recent = [at for at in world.runs["red"] if at > world.now - 20.0]
    assert len(recent) >= 0.95 * 20.0 * rate


@pytest.mark.parametrize("count", [13, 105])
def test_workspace_below_its_limit_is_not_refused(count):
    """Under 1 in 1,000 in calm, also if each daemon rarely gets a request of it."""
    rate = count / 20 / 0.625
    world = World(count, {"red": (rate, 2 * rate)})
    seconds = 300.0 if count > 13 else 2000.0
    world.demand("red", 0.625 * rate, seconds)
    world.run_for(seconds)
    assert world.share_refused("red") < 0.001


def test_calm_traffic_is_served_soon_after_all_daemons_start():
    world = World(60, {"red": (8.0, 16.0)})
    restart_all(world)
    started_at = world.now
    world.demand("red", 5.0, 20.0)
    world.run_for(20.0)
    assert world.share_refused("red", since=started_at + 3.0) == 0.0


def test_cut_off_daemon_decides_without_waiting():
    """Guards against a time-out for each request of a daemon that is cut off."""
    world = World(13, {"red": (20.0, 20.0)})
    cut_off = next(n for n in world.daemons if n != world.owner_name("red"))
    world.partition([[cut_off]])
    world.run_for(1.0)
    world.demand("red", 20.0, 10.0, daemons=[cut_off])
    calls = world.calls
    world.run_for(10.0)
    # Two calls for the first request, then a trial in 2 s and zone at most.
    assert world.calls - calls <= 2 + 5 * len(ZONES)


def test_moments_to_return_fit_the_limit():
    """No more requests are told to return in a second than the rate allows."""
    rate = 10.0
    world = World(13, {"red": (rate, 10.0)})
    world.demand("red", 6 * rate, 6.0)
    world.run_for(6.0)
    moments = sorted(entry[5] for entry in world.log if entry[5] is not None)
    assert len(moments) > 100
    assert fullest_window(moments, 1.0) <= rate + 1


def test_urgent_requests_go_first():
    rate = 20.0
    world = World(13, {"red": (rate, 20.0)})
    world.demand("red", 0.5 * rate, 20.0, ranks=(0,))
    world.demand("red", 4 * rate, 20.0, ranks=(2,))
    world.run_for(20.0)
    late = [entry for entry in world.log if entry[0] > world.now - 15.0]
    urgent = [ran for _, _, rank, ran, _, _ in late if rank == 0]
    others = [ran for _, _, rank, ran, _, _ in late if rank == 2]
    assert urgent.count(False) == 0
    assert 0 < others.count(True) < 0.3 * len(others)
