"""Permits for a limited target: their rate and their lifetime."""

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
from cairnferry.policy.shared._permits import ISSUE_AHEAD_S, ISSUER_HOLD_OFF_S


def schedule(now=0.0, seed=1):
    return PermitSchedule.begin(now, random.Random(seed))


def starts(grant, now):
    return [now + delay for delay in grant.delays]


def test_a_new_issuer_issues_no_permits_while_those_of_the_previous_one_are_valid():
    issuer = schedule(10.0)
    grant = issuer.grant("a", 4.0, 1, 10.0)
    assert starts(grant, 10.0) == [10.0 + ISSUER_HOLD_OFF_S]


def test_permits_are_issued_half_a_second_ahead_and_no_further():
    issuer = schedule(0.0)
    grant = issuer.grant("a", 10.0, 50, 10.0)
    # One that was not requested in time, one for now, and those of half a second.
    assert len(grant.delays) == 5
    assert max(starts(grant, 10.0)) <= 10.0 + ISSUE_AHEAD_S
    assert grant.retry_s > 0


def test_a_requester_of_many_permits_leaves_some_to_others():
    issuer = schedule(0.0)
    issuer.grant("a", 20.0, 1, 10.0)
    issuer.grant("b", 20.0, 1, 10.0)
    assert len(issuer.grant("a", 20.0, 50, 10.0).delays) == 5
    assert len(issuer.grant("b", 20.0, 50, 10.0).delays) > 0


@pytest.mark.parametrize("rate", [0.1, 0.65, 2.6, 40.0])
@given(
    requests=st.lists(
        st.tuples(
            st.sampled_from("abcdef"),
            st.integers(0, 12),
            st.floats(0.0, 0.8),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_no_window_has_more_permits_than_the_rate_under_any_requests(rate, requests):
    issuer = schedule(0.0)
    now, issued_at = 0.0, []
    for requester, requested, pause, _ in requests:
        now += pause
        issued_at += starts(issuer.grant(requester, rate, requested, now), now)
    issued_at.sort()
    for first in range(len(issued_at)):
        for last in range(first, len(issued_at)):
            span = issued_at[last] - issued_at[first]
            # One permit is valid at once if it was requested late.
            assert last - first <= rate * span + 1 + 1e-6


@given(
    requests=st.lists(
        st.tuples(st.integers(1, 6), st.floats(0.0, 0.5), st.integers(0, 6)),
        max_size=60,
    )
)
def test_returned_permits_are_issued_again_and_add_nothing(requests):
    issuer = schedule(0.0)
    now, outstanding, used, rate = 0.0, 0, 0, 5.0
    for requested, pause, returned in requests:
        now += pause
        returned = min(returned, outstanding)
        outstanding -= returned
        issuer.return_unused(returned, rate)
        granted = len(issuer.grant("a", rate, requested, now).delays)
        outstanding += granted
        used = outstanding
        assert used <= rate * (now + ISSUE_AHEAD_S) + 2


def test_retries_of_daemons_without_permits_are_spread():
    issuer = schedule(0.0)
    grants = [issuer.grant(f"d{number}", 2.0, 1, 5.0) for number in range(300)]
    waits = [grant.retry_s for grant in grants if not grant.delays]
    assert len(waits) > 290
    assert min(waits) > 0.05
    assert max(waits) <= 2.0
    # They do not all wait for the maximum time, after which they would retry at once.
    assert len({round(wait, 3) for wait in waits}) > 200


def test_permits_issued_under_another_limit_are_void():
    issuer = schedule(0.0)
    issuer.grant("a", 0.2, 3, 10.0)
    issuer.restart(10.0, 11.0)
    assert starts(issuer.grant("a", 10.0, 1, 11.0), 11.0) == [11.1]


def limits_of(per_s=2.0):
    limits = TargetLimits()
    limits.advertised.receive("i-1", AdvertisedLimit(per_s, 0.0))
    return limits


def test_a_permit_admits_one_request_within_its_lifetime():
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


def test_an_unused_permit_is_counted_once_for_its_return():
    limits = limits_of()
    limits.add_permits("i-1", [5.0, 5.5])
    assert limits.pop_expired(6.2) == {"i-1": 1}
    assert limits.pop_expired(6.3) == {}
    assert limits.held("i-1") == 1


def test_without_a_limit_no_permits_or_requests_are_counted():
    limits = TargetLimits(LimitRegistry())
    assert not limits
    limits.spend("i-1", True, 1.0)
    assert limits.sent == {}
