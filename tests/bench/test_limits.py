"""Many daemons and targets that name limits, in simulated time.

A target that named 2.6 requests a second got 26 in 4 s from 18 daemons, each of which
knew of the limit only what its own answers said, and sent as before.
"""

import pytest

from bench.model import Fleet, Need
from cairnferry.policy import NO_LIMIT

LIMIT = 2.6
CONTACT_S = 3.0
WINDOW_S = 4.0
WARM_S = 8.0
SIZES = [(13, 3), (18, 3), (60, 5)]


def begin(size, zones, seed, per_s=10, targets=20, loss=0.0, seconds=40.0):
    fleet = Fleet(size, zones, seed, loss)
    fleet.run(WARM_S)
    need = Need.begin(fleet, zones, targets, per_s, seconds)
    fleet.run(2.0)
    return fleet, need


def name_limit(fleet, need, limit=LIMIT, count=1):
    """Let the first targets name a limit; give these, and the time."""
    needy = list(need.targets.values())[:count]
    for target in needy:
        target.limit = limit
    return needy, fleet.now


def fullest_window(target, since, seconds=WINDOW_S):
    late = [at for at in target.arrivals if at >= since]
    return max((target.between(at, at + seconds) for at in late), default=0)


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def givers_of(fleet, target):
    """List the daemons that take themselves for the one that gives permits."""
    record = target.record
    with fleet._clock():
        return [
            daemon
            for daemon in fleet.up()
            if daemon.zone == record.zone
            and daemon.permits.givers.is_issuer(record.identity, record.zone)
        ]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("size", "zones"), SIZES)
def test_a_limit_is_kept_and_used_by_all_together(size, zones, seed):
    fleet, need = begin(size, zones, seed)
    (target,), named = name_limit(fleet, need)
    fleet.run(CONTACT_S + 20.0)
    since = named + CONTACT_S
    assert fullest_window(target, since) <= allowed(LIMIT)
    # Over a longer time it gets what it takes: no more, and no part of it is lost.
    assert target.between(since, since + 20.0) <= LIMIT * 21.0 + 1
    assert target.between(since, since + 10.0) >= 0.9 * LIMIT * 10.0
    assert not need.refused


def test_all_know_of_a_limit_within_a_second():
    fleet, need = begin(60, 5, 3)
    (target,), _ = name_limit(fleet, need)
    identity = target.record.identity
    known = fleet.run(
        10.0, lambda: all(d.services.limits.is_limited(identity) for d in fleet.up())
    )
    assert known < 1.0


def test_where_all_targets_name_limits_all_of_them_are_used():
    """Daemons that took many permits of the first targets left the others unused."""
    fleet, need = begin(18, 3, 2)
    needy, named = name_limit(fleet, need, 4.0, count=20)
    fleet.run(CONTACT_S + 12.0)
    since = named + CONTACT_S
    used = [target.between(since, since + 10.0) / (4.0 * 10.0) for target in needy]
    assert min(used) > 0.8
    assert sum(used) / len(used) >= 0.9
    assert max(fullest_window(target, since) for target in needy) <= allowed(4.0)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_limit_holds_while_the_one_that_gives_permits_is_killed(loss):
    """Parts that the one before gave out are not given out once more."""
    fleet, need = begin(18, 3, 4, loss=loss)
    (target,), named = name_limit(fleet, need, 6.0)
    fleet.run(CONTACT_S + 3.0)
    for _ in range(3):
        givers_of(fleet, target)[0].is_up = False
        fleet.run(4.0)
    assert fullest_window(target, named + CONTACT_S) <= allowed(6.0)
    # Three of six are listed and gone: what falls to them is not used, the rest is.
    assert target.between(fleet.now - 2.0, fleet.now) >= 0.3 * 6.0 * 2.0


def test_the_parts_of_a_cut_take_no_more_than_the_limit_together():
    fleet, need = begin(18, 3, 5)
    (target,), named = name_limit(fleet, need, 6.0)
    fleet.run(CONTACT_S + 1.0)
    for number, daemon in enumerate(fleet.up()):
        daemon.side = number // 3 % 2
    cut_at = fleet.now
    fleet.run(14.0)
    assert fullest_window(target, named + CONTACT_S) <= allowed(6.0)
    # From when each part knows that it is one, both together keep to the limit.
    since = cut_at + 4.0
    assert target.between(since, since + 10.0) <= 6.0 * 11.0 + 2


def test_a_limit_that_is_lowered_raised_and_lifted_is_followed():
    fleet, need = begin(18, 3, 6)
    (target,), _ = name_limit(fleet, need, 20.0)
    fleet.run(6.0)
    target.limit = 2.0
    lowered = fleet.now
    fleet.run(8.0)
    assert fullest_window(target, lowered + CONTACT_S) <= allowed(2.0)
    target.limit = 8.0
    raised = fleet.now
    fleet.run(6.0)
    assert target.between(raised + 2.0, raised + 6.0) >= 0.8 * 8.0 * 4.0
    target.limit = NO_LIMIT
    lifted = fleet.now
    fleet.run(5.0)
    assert target.between(lifted + 3.0, lifted + 5.0) > 8.0 * 2.0
    assert not any(daemon.services.limits for daemon in fleet.up())


def test_the_end_of_a_limit_is_found_out_however_low_it_is():
    """A target that is sent nothing says nothing."""
    fleet, need = begin(13, 3, 7)
    (target,), named = name_limit(fleet, need, 0.0)
    fleet.run(CONTACT_S + 12.0)
    assert 1 <= target.between(named + CONTACT_S, fleet.now) <= 2
    target.limit = NO_LIMIT
    fleet.run(12.0)
    assert target.between(fleet.now - 1.0, fleet.now) > 2


def test_targets_without_a_limit_cost_no_message():
    fleet, need = begin(13, 3, 8)
    fleet.run(3.0)
    assert not any(kind == "permits" for kind, _ in fleet.bytes)


def test_a_zone_without_daemons_is_served_by_the_others_within_its_limits():
    fleet = Fleet(12, 3, 9)
    fleet.run(WARM_S)
    need = Need.begin(fleet, 4, 8, 60, 20.0)
    fleet.run(2.0)
    needy, named = name_limit(fleet, need, 5.0, count=8)
    fleet.run(CONTACT_S + 10.0)
    since = named + CONTACT_S
    lonely = [target for target in needy if target.record.zone == "z3"]
    for target in lonely:
        assert fullest_window(target, since) <= allowed(5.0)
        assert target.between(since, since + 10.0) >= 0.5 * 5.0 * 10.0
