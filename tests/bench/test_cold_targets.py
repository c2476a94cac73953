"""Many daemons and targets that are cold, in simulated time.

A cold target falls over if the daemons together send it well above the rate that its
service names, though none of them sends it more than usual.
"""

import pytest

from bench.model import Fleet, Need
from bench.model._need import COLD_PER_S, SERVICE

WARM_S = 8.0
# What a cold target bears in some second.
BEARS = 1.5 * COLD_PER_S + 8


def begin(size, zones, seed, per_s, targets, loss=0.0):
    fleet = Fleet(size, zones, seed, loss)
    fleet.run(WARM_S)
    need = Need.begin(fleet, zones, targets, per_s, 20.0)
    fleet.run(2.0)
    return fleet, need


def chill(fleet, targets, seconds, by_row=False):
    """Make targets cold; with `by_row` all daemons read it in the targets' rows."""
    for target in targets:
        until = target.cold_until = max(target.cold_until, fleet.now + seconds)
        for daemon in fleet.up() if by_row else ():
            with fleet._clock():
                daemon.limiter.cold.note_row(target.record, SERVICE, until)
    return fleet.now


def fullest_second(target, since):
    late = [at for at in target.arrivals if at >= since]
    return max((target.between(at, at + 1.0) for at in late), default=0)


def in_zone(need, zone):
    return [t for t in need.targets.values() if t.record.zone == zone]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("size", "zones", "per_s", "targets"), [(13, 3, 10, 20), (60, 5, 4, 60)]
)
def test_a_target_that_turns_cold_at_any_moment_is_spared(
    size, zones, per_s, targets, seed
):
    """Guards against one that falls over as all go on sending it as before."""
    fleet, need = begin(size, zones, seed, per_s, targets)
    for target in list(need.targets.values())[:3]:
        at = chill(fleet, [target], 3.0)
        fleet.run(3.0)
        assert fullest_second(target, at) <= BEARS


@pytest.mark.parametrize("by_row", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_that_returns_cold_is_used_as_far_as_it_bears(seed, by_row):
    fleet, need = begin(30, 3, seed, 6, 45)
    cold = in_zone(need, "z0")
    at = chill(fleet, cold, 4.0, by_row)
    fleet.run(4.0)
    assert max(fullest_second(target, at) for target in cold) <= BEARS
    used = sum(target.between(at + 1.0, at + 4.0) for target in cold)
    assert used >= 0.9 * 3.0 * COLD_PER_S * len(cold)


def test_with_cold_targets_alone_their_rate_is_all_that_is_sent():
    """The rest is refused at once, with the time of the next permit."""
    fleet, need = begin(18, 3, 3, 10, 12)
    cold = list(need.targets.values())
    at = chill(fleet, cold, 6.0, by_row=True)
    fleet.run(6.0)
    assert max(fullest_second(target, at) for target in cold) <= BEARS
    used = sum(target.between(at + 1.0, at + 6.0) for target in cold)
    assert 0.9 <= used / (5.0 * COLD_PER_S * len(cold)) <= 1.2
    assert need.refused


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_the_bound_holds_while_those_that_give_permits_are_killed(loss):
    fleet, need = begin(18, 3, 4, 10, 12, loss)
    cold = in_zone(need, "z0")
    at = chill(fleet, cold, 8.0)
    for daemon in [d for d in fleet.up() if d.zone == "z0"][:3]:
        fleet.run(1.0)
        daemon.is_up = False
    fleet.run(5.0)
    assert max(fullest_second(target, at) for target in cold) <= BEARS


def test_warm_again_it_gets_as_much_as_the_others():
    fleet, need = begin(18, 3, 5, 10, 12)
    target = next(iter(need.targets.values()))
    at = chill(fleet, [target], 2.0)
    fleet.run(6.0)
    mean = sum(t.between(at + 3, at + 6) for t in need.targets.values()) / 12
    assert target.between(at + 3.0, at + 6.0) >= 0.5 * mean
    assert not any(daemon.services.limits for daemon in fleet.up())


class Trouble:
    """Targets that turn cold, and daemons that are lost, cut and back, at random."""

    def __init__(self, fleet, need):
        self.fleet = fleet
        self.need = need
        self.spans = []
        self.actions = (self.chill, self.kill, self.start, self.cut, self.join)

    def chill(self):
        targets = list(self.need.targets.values())
        count = self.fleet.rng.choice([1, 3, len(targets)])
        by_row = self.fleet.rng.random() < 0.5
        seconds = 1.0 + 3.0 * self.fleet.rng.random()
        chosen = self.fleet.rng.sample(targets, count)
        at = chill(self.fleet, chosen, seconds, by_row)
        self.spans += [(target, at, at + seconds) for target in chosen]

    def kill(self):
        for daemon in self.fleet.rng.sample(self.fleet.up(), 3):
            daemon.is_up = len(self.fleet.up()) <= 6

    def start(self):
        for daemon in self.fleet.daemons.values():
            daemon.is_up = True

    def cut(self):
        for daemon in self.fleet.daemons.values():
            daemon.side = self.fleet.rng.randrange(2)

    def join(self):
        for daemon in self.fleet.daemons.values():
            daemon.side = 0


@pytest.mark.parametrize("seed", range(1, 9))
def test_the_bound_holds_whatever_happens_to_the_daemons(seed):
    """Guards against cold targets that fall over among cuts and restarts."""
    fleet, need = begin(18, 3, seed, 10, 12, loss=0.05)
    trouble = Trouble(fleet, need)
    trouble.chill()
    for _ in range(30):
        fleet.rng.choice(trouble.actions)()
        fleet.run(0.5)
    for target, first, last in trouble.spans:
        came = [at for at in target.arrivals if first <= at < last]
        fullest = max((sum(a <= at < a + 1.0 for at in came) for a in came), default=0)
        assert fullest <= BEARS
