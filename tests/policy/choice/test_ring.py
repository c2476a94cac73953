"""Position on the ring of targets at which each daemon starts its status checks."""

import collections
import random

import pytest

from cairnferry.policy import ServicePolicy, settings_for
from policy._status_checks import SERVICE, busy, call, decide, near

# Size of one zone of a large installation.
DAEMONS = 62
TARGETS = 65


def daemon(ring_position, targets):
    policy = ServicePolicy(SERVICE, "near", random.Random(3), settings_for("ask-first"))
    policy.set_instances(DAEMONS, ring_position)
    policy.update(SERVICE, targets, 0.0)
    return policy


def first_checked(policy, now=1.0, **reports):
    _, rounds = decide(policy, call(now=now), now=now, **reports)
    return rounds[0]


@pytest.fixture
def zone():
    targets = near(TARGETS)
    return [daemon(index / DAEMONS, targets) for index in range(DAEMONS)]


def test_daemons_of_a_zone_start_at_evenly_spaced_positions(zone):
    """Guards against targets with twice the load of others, and idle ones.

    That happens if each daemon selects its first targets independently of the others.
    """
    checked = collections.Counter(name for each in zone for name in first_checked(each))
    assert len(checked) == TARGETS
    assert set(checked.values()) <= {3, 4, 5}


def test_daemon_checks_the_same_targets_again(zone):
    """Guards against opening a connection for each request.

    If 300 daemons serve a few requests a second each and check other targets of 300
    every time, a connection reaches its idle timeout before its next use.
    """
    checked = {tuple(first_checked(zone[7], now=1.0 + index)) for index in range(50)}
    assert len(checked) == 1


def test_next_targets_are_checked_if_the_first_ones_are_busy(zone):
    first = first_checked(zone[7])
    reports = {name: busy(4, 4.0, TARGETS)[name] for name in first}
    decision, rounds = decide(zone[7], call(now=2.0), now=2.0, **reports)
    assert rounds[0] == first
    assert decision.attempt.target.name in rounds[1]


def test_added_target_is_checked_at_once(zone):
    """Guards against an added target that gets no requests.

    Daemons must not stay with the targets that they already have connections to.
    """
    targets = near(TARGETS + 1)
    for policy in zone:
        policy.update(SERVICE, targets, 5.0)
    checked = {name for each in zone for name in first_checked(each, now=5.0)}
    assert checked == {target.name for target in targets}


def test_most_targets_of_a_daemon_stay_the_same_when_another_daemon_is_lost(zone):
    before = [set(first_checked(each)) for each in zone]
    for index, policy in enumerate(zone[:-1]):
        policy.set_instances(DAEMONS - 1, index / (DAEMONS - 1))
    after = [set(first_checked(each, now=2.0)) for each in zone[:-1]]
    kept = [len(old & new) for old, new in zip(before, after, strict=False)]
    assert min(kept) >= 2
    assert sum(kept) >= 0.8 * 4 * (DAEMONS - 1)


def test_share_of_lost_daemons_spreads_over_the_remaining_ones(zone):
    """Guards against idle targets at the ring positions of lost daemons."""
    left = zone[::2]
    for index, policy in enumerate(left):
        policy.set_instances(DAEMONS, index / len(left))
    checked = collections.Counter(name for each in left for name in first_checked(each))
    assert len(checked) == TARGETS
    assert max(checked.values()) <= 3
