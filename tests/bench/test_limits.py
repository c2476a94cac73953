"""Many daemons and targets that advertise limits, in simulated time.

The tests guard against daemons that apply a limit each on its own. A target that
advertised 2.6 requests per second got 26 in 4 s from 18 daemons, as each of them knew
the limit only from its own responses and sent its usual rate.
"""

import pytest

from bench.model import Fleet, LimitedService
from cairnferry.policy import NO_LIMIT

# Requests per second.
LIMIT = 2.6
# Seconds after which an advertised limit must be kept.
LIMIT_DELAY_S = 3.0
WINDOW_S = 4.0
# Simulated seconds in which all daemons join.
JOIN_S = 8.0
SIZES = [(13, 3), (18, 3), (60, 5)]


def start_fleet(size, zones, seed, per_s=10, targets=20, loss=0.0, seconds=40.0):
    fleet = Fleet(size, zones, seed, loss)
    fleet.run(JOIN_S)
    service = LimitedService.start(fleet, zones, targets, per_s, seconds)
    fleet.run(2.0)
    return fleet, service


def advertise_limit(fleet, service, limit=LIMIT, count=1):
    """Let the first targets advertise a limit; return these targets and the time."""
    limited = list(service.targets.values())[:count]
    for target in limited:
        target.limit = limit
    return limited, fleet.now


def max_per_window(target, since, seconds=WINDOW_S):
    later = [at for at in target.arrivals if at >= since]
    return max((target.arrivals_between(at, at + seconds) for at in later), default=0)


def max_allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def issuers_of(fleet, target):
    """Return the daemons that regard themselves as the permit issuer of a target."""
    record = target.record
    with fleet._clock():
        return [
            daemon
            for daemon in fleet.up()
            if daemon.zone == record.zone
            and daemon.permits.issuers.is_issuer(record.identity, record.zone)
        ]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("size", "zones"), SIZES)
def test_all_daemons_together_keep_a_limit_and_use_it(size, zones, seed):
    fleet, service = start_fleet(size, zones, seed)
    (target,), advertised_at = advertise_limit(fleet, service)
    fleet.run(LIMIT_DELAY_S + 20.0)
    since = advertised_at + LIMIT_DELAY_S
    assert max_per_window(target, since) <= max_allowed(LIMIT)
    # Over a longer time the target gets its limit, no more and hardly less.
    assert target.arrivals_between(since, since + 20.0) <= LIMIT * 21.0 + 1
    assert target.arrivals_between(since, since + 10.0) >= 0.9 * LIMIT * 10.0
    assert not service.refused


def test_a_limit_is_known_to_all_daemons_within_a_second():
    fleet, service = start_fleet(60, 5, 3)
    (target,), _ = advertise_limit(fleet, service)
    identity = target.record.identity
    known = fleet.run(
        10.0, lambda: all(d.services.limits.is_limited(identity) for d in fleet.up())
    )
    assert known < 1.0


def test_all_targets_are_used_if_all_of_them_are_limited():
    """Guards against many permits for the first targets and none for the others."""
    fleet, service = start_fleet(18, 3, 2)
    limited, advertised_at = advertise_limit(fleet, service, 4.0, count=20)
    fleet.run(LIMIT_DELAY_S + 12.0)
    since = advertised_at + LIMIT_DELAY_S
    used = [
        target.arrivals_between(since, since + 10.0) / (4.0 * 10.0)
        for target in limited
    ]
    assert min(used) > 0.8
    assert sum(used) / len(used) >= 0.9
    assert max(max_per_window(target, since) for target in limited) <= max_allowed(4.0)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_limit_is_kept_while_permit_issuers_are_killed(loss):
    """Guards against permits of a killed issuer that the next one issues again."""
    fleet, service = start_fleet(18, 3, 4, loss=loss)
    (target,), advertised_at = advertise_limit(fleet, service, 6.0)
    fleet.run(LIMIT_DELAY_S + 3.0)
    for _ in range(3):
        issuers_of(fleet, target)[0].is_up = False
        fleet.run(4.0)
    assert max_per_window(target, advertised_at + LIMIT_DELAY_S) <= max_allowed(6.0)
    # Three of six daemons are listed but gone. Their shares remain unused.
    assert target.arrivals_between(fleet.now - 2.0, fleet.now) >= 0.3 * 6.0 * 2.0


def test_the_sides_of_a_partition_together_keep_the_limit():
    fleet, service = start_fleet(18, 3, 5)
    (target,), advertised_at = advertise_limit(fleet, service, 6.0)
    fleet.run(LIMIT_DELAY_S + 1.0)
    for number, daemon in enumerate(fleet.up()):
        daemon.side = number // 3 % 2
    partitioned_at = fleet.now
    fleet.run(14.0)
    assert max_per_window(target, advertised_at + LIMIT_DELAY_S) <= max_allowed(6.0)
    # Both sides together keep the limit once each side has detected the partition.
    since = partitioned_at + 4.0
    assert target.arrivals_between(since, since + 10.0) <= 6.0 * 11.0 + 2


def test_daemons_follow_a_limit_that_is_lowered_raised_and_lifted():
    fleet, service = start_fleet(18, 3, 6)
    (target,), _ = advertise_limit(fleet, service, 20.0)
    fleet.run(6.0)
    target.limit = 2.0
    lowered_at = fleet.now
    fleet.run(8.0)
    assert max_per_window(target, lowered_at + LIMIT_DELAY_S) <= max_allowed(2.0)
    target.limit = 8.0
    raised_at = fleet.now
    fleet.run(6.0)
    assert target.arrivals_between(raised_at + 2.0, raised_at + 6.0) >= 0.8 * 8.0 * 4.0
    target.limit = NO_LIMIT
    lifted_at = fleet.now
    fleet.run(5.0)
    assert target.arrivals_between(lifted_at + 3.0, lifted_at + 5.0) > 8.0 * 2.0
    assert not any(daemon.services.limits for daemon in fleet.up())


def test_the_end_of_a_limit_of_zero_is_observed():
    """Guards against a target that gets no requests, so its responses never lift it."""
    fleet, service = start_fleet(13, 3, 7)
    (target,), advertised_at = advertise_limit(fleet, service, 0.0)
    fleet.run(LIMIT_DELAY_S + 12.0)
    assert 1 <= target.arrivals_between(advertised_at + LIMIT_DELAY_S, fleet.now) <= 2
    target.limit = NO_LIMIT
    fleet.run(12.0)
    assert target.arrivals_between(fleet.now - 1.0, fleet.now) > 2


def test_targets_without_a_limit_cause_no_messages():
    fleet, service = start_fleet(13, 3, 8)
    fleet.run(3.0)
    assert not any(kind == "permits" for kind, _ in fleet.bytes)


def test_targets_of_a_zone_without_daemons_are_used_within_their_limits():
    fleet = Fleet(12, 3, 9)
    fleet.run(JOIN_S)
    service = LimitedService.start(fleet, 4, 8, 60, 20.0)
    fleet.run(2.0)
    limited, advertised_at = advertise_limit(fleet, service, 5.0, count=8)
    fleet.run(LIMIT_DELAY_S + 10.0)
    since = advertised_at + LIMIT_DELAY_S
    remote = [target for target in limited if target.record.zone == "z3"]
    for target in remote:
        assert max_per_window(target, since) <= max_allowed(5.0)
        assert target.arrivals_between(since, since + 10.0) >= 0.5 * 5.0 * 10.0
