"""Where on the ring of targets each daemon begins to ask."""

import collections
import random

import pytest

from cairnferry.policy import ServicePolicy, settings_for
from policy._status_checks import SERVICE, busy, call, decide, near

# A zone of a large installation.
DAEMONS = 62
TARGETS = 65


def daemon(place, targets):
    policy = ServicePolicy(SERVICE, "near", random.Random(3), settings_for("ask-first"))
    policy.set_instances(DAEMONS, place)
    policy.update(SERVICE, targets, 0.0)
    return policy


def first_asked(policy, now=1.0, **reports):
    _, rounds = decide(policy, call(now=now), now=now, **reports)
    return rounds[0]


@pytest.fixture
def zone():
    targets = near(TARGETS)
    return [daemon(index / DAEMONS, targets) for index in range(DAEMONS)]


def test_the_daemons_of_a_zone_begin_evenly_all_around(zone):
    """Symptom: some targets are twice as busy as others, and some idle.

    Cause: each daemon begins at targets of its own choice, whatever the others do.
    """
    asked = collections.Counter(name for each in zone for name in first_asked(each))
    assert len(asked) == TARGETS
    assert set(asked.values()) <= {3, 4, 5}


def test_a_daemon_asks_the_same_few_again(zone):
    """Symptom: a connection is opened for each request.

    Events: 300 daemons serve a few requests a second each, and each asks others of 300
    targets every time; a connection idles to its end before its target is asked again.
    """
    asked = {tuple(first_asked(zone[7], now=1.0 + index)) for index in range(50)}
    assert len(asked) == 1


def test_where_these_are_busy_it_goes_on_to_the_next(zone):
    first = first_asked(zone[7])
    reports = {name: busy(4, 4.0, TARGETS)[name] for name in first}
    decision, rounds = decide(zone[7], call(now=2.0), now=2.0, **reports)
    assert rounds[0] == first
    assert decision.attempt.target.name in rounds[1]


def test_a_target_that_joins_is_asked_at_once(zone):
    """Symptom: a target that was added gets no work.

    Cause: daemons go on with those that they have connections to.
    """
    targets = near(TARGETS + 1)
    for policy in zone:
        policy.update(SERVICE, targets, 5.0)
    asked = {name for each in zone for name in first_asked(each, now=5.0)}
    assert asked == {target.name for target in targets}


def test_most_of_what_a_daemon_knows_stays_when_another_one_is_lost(zone):
    before = [set(first_asked(each)) for each in zone]
    for index, policy in enumerate(zone[:-1]):
        policy.set_instances(DAEMONS - 1, index / (DAEMONS - 1))
    after = [set(first_asked(each, now=2.0)) for each in zone[:-1]]
    kept = [len(old & new) for old, new in zip(before, after, strict=False)]
    assert min(kept) >= 2
    assert sum(kept) >= 0.8 * 4 * (DAEMONS - 1)


def test_the_share_of_lost_daemons_spreads_over_all_that_are_left(zone):
    """Symptom: targets idle at which the daemons that were lost had begun."""
    left = zone[::2]
    for index, policy in enumerate(left):
        policy.set_instances(DAEMONS, index / len(left))
    asked = collections.Counter(name for each in left for name in first_asked(each))
    assert len(asked) == TARGETS
    assert max(asked.values()) <= 3
