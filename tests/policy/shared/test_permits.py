"""Permits for a limited target: how often they are given, and how long they hold."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import (
    AdvertisedLimit,
    LimitRegistry,
    PermitSchedule,
    TargetLimits,
)
from cairnferry.policy.shared._permits import AHEAD_S, ISSUER_HOLD_OFF_S


def schedule(now=0.0, seed=1):
    return PermitSchedule.begin(now, random.Random(seed))


def starts(grant, now):
    return [now + delay for delay in grant.delays]


def test_one_that_begins_gives_no_permits_while_those_of_another_may_be_used():
    giving = schedule(10.0)
    grant = giving.grant("a", 4.0, 1, 10.0)
    assert starts(grant, 10.0) == [10.0 + ISSUER_HOLD_OFF_S]


def test_permits_are_given_a_little_ahead_and_no_further():
    giving = schedule(0.0)
    grant = giving.grant("a", 10.0, 50, 10.0)
    # One that was not asked for in time, one for now, and those of half a second.
    assert len(grant.delays) == 5
    assert max(starts(grant, 10.0)) <= 10.0 + AHEAD_S
    assert grant.retry_s > 0


def test_one_that_asks_for_many_leaves_some_to_the_others():
    giving = schedule(0.0)
    giving.grant("a", 20.0, 1, 10.0)
    giving.grant("b", 20.0, 1, 10.0)
    assert len(giving.grant("a", 20.0, 50, 10.0).delays) == 5
    assert len(giving.grant("b", 20.0, 50, 10.0).delays) > 0


@pytest.mark.parametrize("rate", [0.1, 0.65, 2.6, 40.0])
@given(
    asks=st.lists(
        st.tuples(
            st.sampled_from("abcdef"),
            st.integers(0, 12),
            st.floats(0.0, 0.8),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_whoever_asks_how_often_no_window_has_more_than_the_rate(rate, asks):
    giving = schedule(0.0)
    now, given_at = 0.0, []
    for asker, wanted, pause, _ in asks:
        now += pause
        given_at += starts(giving.grant(asker, rate, wanted, now), now)
    given_at.sort()
    for first in range(len(given_at)):
        for last in range(first, len(given_at)):
            span = given_at[last] - given_at[first]
            # One is there at once for who was late to ask for it.
            assert last - first <= rate * span + 1 + 1e-6


@given(
    asks=st.lists(
        st.tuples(st.integers(1, 6), st.floats(0.0, 0.5), st.integers(0, 6)),
        max_size=60,
    )
)
def test_what_comes_back_is_given_again_and_adds_nothing(asks):
    giving = schedule(0.0)
    now, out, used, rate = 0.0, 0, 0, 5.0
    for wanted, pause, back in asks:
        now += pause
        back = min(back, out)
        out -= back
        giving.return_unused(back, rate)
        granted = len(giving.grant("a", rate, wanted, now).delays)
        out += granted
        used = out
        assert used <= rate * (now + AHEAD_S) + 2


def test_those_that_got_none_come_again_spread_over_the_time_of_all():
    giving = schedule(0.0)
    grants = [giving.grant(f"d{number}", 2.0, 1, 5.0) for number in range(300)]
    waits = [grant.retry_s for grant in grants if not grant.delays]
    assert len(waits) > 290
    assert min(waits) > 0.05
    assert max(waits) <= 2.0
    # Not all at the longest wait, where they would come together.
    assert len({round(wait, 3) for wait in waits}) > 200


def test_at_another_limit_what_was_given_before_counts_no_more():
    giving = schedule(0.0)
    giving.grant("a", 0.2, 3, 10.0)
    giving.restart(10.0, 11.0)
    assert starts(giving.grant("a", 10.0, 1, 11.0), 11.0) == [11.1]


def limits_of(per_s=2.0):
    limits = TargetLimits()
    limits.advertised.receive("i-1", AdvertisedLimit(per_s, 0.0))
    return limits


def test_a_permit_lets_one_request_through_in_its_time():
    limits = limits_of()
    assert not limits.admits("i-1", 5.0)
    assert limits.admits("i-2", 5.0)
    limits.add_permits("i-1", [5.5])
    assert not limits.admits("i-1", 5.0)
    assert limits.next_start("i-1", True, 5.0) == 5.5
    assert limits.next_start("i-2", True, 5.0) == math.inf
    assert limits.admits("i-1", 5.5)
    limits.spend("i-1", True, 5.5)
    assert not limits.admits("i-1", 5.6)
    assert limits.sent == {"i-1": 1}


def test_a_permit_that_was_not_used_is_counted_once_to_be_given_back():
    limits = limits_of()
    limits.add_permits("i-1", [5.0, 5.5])
    assert limits.pop_expired(6.2) == {"i-1": 1}
    assert limits.pop_expired(6.3) == {}
    assert limits.held("i-1") == 1


def test_without_a_limit_nothing_is_held_or_counted():
    limits = TargetLimits(LimitRegistry())
    assert not limits
    limits.spend("i-1", True, 1.0)
    assert limits.sent == {}
