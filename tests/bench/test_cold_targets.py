"""Many daemons and cold targets, in simulated time.

A cold target fails if all daemons together send it well above the rate that its service
sets, although no daemon sends it more than usual.
"""

import pytest

from bench.model import Fleet, LimitedService
from bench.model._limited_service import COLD_PER_S, SERVICE

# Simulated seconds in which all daemons join.
JOIN_S = 8.0
# Requests that a cold target tolerates in any second.
MAX_IN_SECOND = 1.5 * COLD_PER_S + 8


def start_fleet(size, zones, seed, per_s, targets, loss=0.0):
    fleet = Fleet(size, zones, seed, loss)
    fleet.run(JOIN_S)
    service = LimitedService.start(fleet, zones, targets, per_s, 20.0)
    fleet.run(2.0)
    return fleet, service


def make_cold(fleet, targets, seconds, by_row=False):
    """Make targets cold; with `by_row` all daemons read this in the targets' rows."""
    for target in targets:
        until = target.cold_until = max(target.cold_until, fleet.now + seconds)
        for daemon in fleet.up() if by_row else ():
            with fleet._clock():
                daemon.limiter.cold.note_row(target.record, SERVICE, until)
    return fleet.now


def max_per_second(target, since):
    later = [at for at in target.arrivals if at >= since]
    return max((target.arrivals_between(at, at + 1.0) for at in later), default=0)


def in_zone(service, zone):
    return [t for t in service.targets.values() if t.record.zone == zone]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("size", "zones", "per_s", "targets"), [(13, 3, 10, 20), (60, 5, 4, 60)]
)
def test_a_target_that_turns_cold_at_any_time_gets_a_limited_rate(
    size, zones, per_s, targets, seed
):
    """Guards against a cold target that fails as all daemons send their usual rate."""
    fleet, service = start_fleet(size, zones, seed, per_s, targets)
    for target in list(service.targets.values())[:3]:
        at = make_cold(fleet, [target], 3.0)
        fleet.run(3.0)
        assert max_per_second(target, at) <= MAX_IN_SECOND


@pytest.mark.parametrize("by_row", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_that_returns_cold_is_used_up_to_its_rate(seed, by_row):
    fleet, service = start_fleet(30, 3, seed, 6, 45)
    cold = in_zone(service, "z0")
    at = make_cold(fleet, cold, 4.0, by_row)
    fleet.run(4.0)
    assert max(max_per_second(target, at) for target in cold) <= MAX_IN_SECOND
    used = sum(target.arrivals_between(at + 1.0, at + 4.0) for target in cold)
    assert used >= 0.9 * 3.0 * COLD_PER_S * len(cold)


def test_with_only_cold_targets_their_total_rate_is_used():
    """Other requests are refused at once, with the time of the next permit."""
    fleet, service = start_fleet(18, 3, 3, 10, 12)
    cold = list(service.targets.values())
    at = make_cold(fleet, cold, 6.0, by_row=True)
    fleet.run(6.0)
    assert max(max_per_second(target, at) for target in cold) <= MAX_IN_SECOND
    used = sum(target.arrivals_between(at + 1.0, at + 6.0) for target in cold)
    assert 0.9 <= used / (5.0 * COLD_PER_S * len(cold)) <= 1.2
    assert service.refused


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_the_rate_is_limited_while_permit_issuers_are_killed(loss):
    fleet, service = start_fleet(18, 3, 4, 10, 12, loss)
    cold = in_zone(service, "z0")
    at = make_cold(fleet, cold, 8.0)
    for daemon in [d for d in fleet.up() if d.zone == "z0"][:3]:
        fleet.run(1.0)
        daemon.is_up = False
    fleet.run(5.0)
    assert max(max_per_second(target, at) for target in cold) <= MAX_IN_SECOND


def test_a_target_that_is_warm_again_gets_its_usual_share():
    fleet, service = start_fleet(18, 3, 5, 10, 12)
    target = next(iter(service.targets.values()))
    at = make_cold(fleet, [target], 2.0)
    fleet.run(6.0)
    mean = (
        sum(t.arrivals_between(at + 3, at + 6) for t in service.targets.values()) / 12
    )
    assert target.arrivals_between(at + 3.0, at + 6.0) >= 0.5 * mean
    assert not any(daemon.services.limits for daemon in fleet.up())


class RandomDisruptions:
    """Random disruptions: cold targets, killed daemons, restarts and partitions."""

    def __init__(self, fleet, service):
        self.fleet = fleet
        self.service = service
        self.spans = []
        self.actions = (
            self.make_cold,
            self.kill,
            self.start,
            self.partition,
            self.end_partition,
        )

    def make_cold(self):
        targets = list(self.service.targets.values())
        count = self.fleet.rng.choice([1, 3, len(targets)])
        by_row = self.fleet.rng.random() < 0.5
        seconds = 1.0 + 3.0 * self.fleet.rng.random()
        chosen = self.fleet.rng.sample(targets, count)
        at = make_cold(self.fleet, chosen, seconds, by_row)
        self.spans += [(target, at, at + seconds) for target in chosen]

    def kill(self):
        for daemon in self.fleet.rng.sample(self.fleet.up(), 3):
            daemon.is_up = len(self.fleet.up()) <= 6

    def start(self):
        for daemon in self.fleet.daemons.values():
            daemon.is_up = True

    def partition(self):
        for daemon in self.fleet.daemons.values():
            daemon.side = self.fleet.rng.randrange(2)

    def end_partition(self):
        for daemon in self.fleet.daemons.values():
            daemon.side = 0


@pytest.mark.parametrize("seed", range(1, 9))
def test_the_rate_is_limited_during_partitions_and_restarts(seed):
    """Guards against cold targets that fail during partitions and restarts."""
    fleet, service = start_fleet(18, 3, seed, 10, 12, loss=0.05)
    disruptions = RandomDisruptions(fleet, service)
    disruptions.make_cold()
    for _ in range(30):
        fleet.rng.choice(disruptions.actions)()
        fleet.run(0.5)
    for target, first, last in disruptions.spans:
        arrivals = [at for at in target.arrivals if first <= at < last]
        highest = max(
            (sum(a <= at < a + 1.0 for at in arrivals) for a in arrivals), default=0
        )
        assert highest <= MAX_IN_SECOND
