"""Distribution of requests over limited and unlimited targets."""

from collections import deque

import pytest

from cairnferry.policy import (
    AdvertisedLimit,
    Answered,
    AttemptKind,
    Cause,
    CheckStatus,
    LoadReport,
    Pause,
    Permit,
    Refuse,
    Send,
    TargetRefused,
    Wait,
)
from policy._helpers import make_call, make_policy
from policy._status_checks import call, decide, far, near, policy_of, train_route


def limit(policy, *names, per_s=2.0):
    for name in names:
        policy.limits.advertised.receive(name, AdvertisedLimit(per_s, 0.0))


def permit(policy, name, start=0.0, end=100.0, count=1):
    held = policy.limits._permits.setdefault(name, deque())
    held.extend([Permit(start, end)] * count)


def test_a_limited_target_without_a_permit_gets_no_checks_and_no_requests():
    policy = policy_of(*near(3))
    limit(policy, "n0", "n1")
    for number in range(20):
        now = 1.0 + number
        decision, rounds = decide(policy, call(now=now), now=now)
        assert decision.attempt.target_name == "n2"
        assert rounds in ([["n2"]], [])
        policy.finished(decision.attempt, Answered(), now + 0.05)


def test_a_permit_is_used_once_and_before_targets_without_a_limit():
    """Guards against an unused limit while other targets have capacity."""
    policy = policy_of(*near(12))
    limit(policy, "n7")
    permit(policy, "n7")
    decision, rounds = decide(policy, call())
    assert rounds[0][0] == "n7"
    assert decision.attempt.target_name == "n7"
    decision, _ = decide(policy, call(now=1.5), now=1.5)
    assert decision.attempt.target_name != "n7"


def test_a_permit_for_a_much_slower_target_is_not_used():
    policy = policy_of(*near(3))
    limit(policy, "n0")
    permit(policy, "n0")
    decision, _ = decide(policy, call(), n0=LoadReport(0, 4.0))
    assert decision.attempt.target_name != "n0"
    assert policy.limits.held("n0") == 1


def test_if_all_targets_are_limited_a_request_is_refused_with_a_retry_time():
    policy = policy_of(*near(2), *far(1))
    limit(policy, "n0", "n1", "f0")
    permit(policy, "n1", start=1.4)
    decision, rounds = decide(policy, call(objective=1.9))
    assert rounds == []
    assert decision.cause is Cause.TARGET_LIMIT
    assert decision.retry_after == pytest.approx(0.4)
    decision, _ = decide(policy, call(now=1.4, objective=1.9), now=1.4)
    assert isinstance(decision, Send)


def test_a_request_waits_for_a_permit_that_is_valid_soon():
    """Guards against the refusal of a third of the requests at a limit near the load.

    Permits are evenly spaced, and a request that arrives 30 ms before the next one must
    not be refused with a retry over another connection.
    """
    policy = policy_of(*near(1))
    limit(policy, "n0")
    permit(policy, "n0", start=1.03)
    req = call(objective=1.4)
    decision, _ = decide(policy, req)
    assert decision == Pause(pytest.approx(0.03))
    again = policy.resume(req, 1.03)
    assert isinstance(again, CheckStatus)
    policy.note_check("n0", LoadReport(0), True, 1.031)
    assert isinstance(policy.resume(req, 1.031), Send)


def test_a_request_is_refused_if_another_one_takes_the_permit_it_waits_for():
    policy = policy_of(*near(1))
    limit(policy, "n0")
    permit(policy, "n0", start=1.03)
    first, second = call(), call()
    decide(policy, first)
    decide(policy, second)
    assert isinstance(policy.resume(first, 1.03), CheckStatus)
    policy.note_check("n0", LoadReport(0), True, 1.031)
    assert isinstance(policy.resume(first, 1.031), Send)
    decision = policy.resume(second, 1.031)
    assert decision.cause is Cause.TARGET_LIMIT


def test_a_request_does_not_wait_beyond_its_objective():
    policy = policy_of(*near(1))
    limit(policy, "n0")
    permit(policy, "n0", start=1.08)
    decision, _ = decide(policy, call(objective=1.05))
    assert decision.cause is Cause.TARGET_LIMIT


def test_a_retry_needs_its_own_permit():
    policy = policy_of(*near(2))
    limit(policy, "n0", "n1")
    permit(policy, "n0")
    decision, _ = decide(policy, call())
    decision = policy.finished(decision.attempt, TargetRefused(), 1.1)
    assert decision == Refuse(Cause.OVERLOAD, decision.retry_after)
    assert policy.limits.sent == {"n0": 1}


def test_a_hedge_needs_its_own_permit():
    policy = policy_of(*near(2))
    train_route(policy, "r", 0.1)
    limit(policy, "n0", "n1")
    permit(policy, "n0")
    decision, _ = decide(policy, call(now=2.0, route="r"), now=2.0)
    attempt = decision.attempt
    assert isinstance(policy.hedge(attempt.call, 2.2), CheckStatus)
    policy.note_check(attempt.target_name, None, False, 2.21)
    assert policy.hedge(attempt.call, 2.23) is None
    permit(policy, "n1")
    second = policy.hedge(attempt.call, 2.26)
    assert second.attempt.kind is AttemptKind.HEDGE
    assert policy.limits.held("n1") == 0


def test_a_limited_target_keeps_its_state_while_it_gets_no_requests():
    """The target is neither ejected nor silent, and then gets its share at once."""
    policy = policy_of(*near(2))
    limit(policy, "n0")
    for number in range(50):
        now = 1.0 + number * 0.1
        decision, _ = decide(policy, call(now=now), now=now)
        policy.finished(decision.attempt, Answered(), now + 0.05)
    policy.limits.advertised.receive("n0", AdvertisedLimit(float("inf"), 7.0))
    chosen = set()
    for number in range(10):
        now = 10.0 + number
        decision, _ = decide(policy, call(now=now), now=now)
        chosen.add(decision.attempt.target_name)
    assert "n0" in chosen
    assert policy.take_events() == []


def arrive(policy, count, now=1.0):
    for _ in range(count):
        policy.arrive(call(now=now), now)


def requested_permits(policy, now=1.0, excluded=()):
    found = policy.permits_to_request(excluded, now)
    return {each.target.name: each.count for each in found}


def test_permits_are_requested_for_the_expected_requests_and_spread():
    policy = policy_of(*near(4))
    limit(policy, "n0", "n1", "n2")
    assert requested_permits(policy) == {}
    arrive(policy, 6)
    assert requested_permits(policy) == {"n0": 2, "n1": 2, "n2": 2}
    permit(policy, "n1")
    assert requested_permits(policy)["n1"] == 1
    # Requests from more than a second ago do not count for the expected ones.
    assert requested_permits(policy, now=2.5) == {}


def test_a_permit_for_the_next_target_is_requested_if_one_is_excluded():
    policy = policy_of(*near(4))
    limit(policy, "n0", "n1", "n2")
    arrive(policy, 1)
    first = requested_permits(policy)
    assert sum(first.values()) == 1
    second = requested_permits(policy, excluded=set(first))
    assert sum(second.values()) == 1
    assert first.keys() != second.keys()


def test_permits_for_other_zones_are_requested_only_if_near_targets_are_limited():
    policy = policy_of(*near(2), *far(2))
    limit(policy, "f0", "f1")
    arrive(policy, 3)
    assert requested_permits(policy) == {}
    limit(policy, "n0", "n1")
    decision, _ = decide(policy, call())
    assert decision.cause is Cause.TARGET_LIMIT
    assert {"f0", "f1"} <= requested_permits(policy).keys()


def test_without_status_checks_a_request_waits_for_a_permit():
    policy = make_policy(2)
    limit(policy, "t0", "t1")
    req = make_call()
    assert isinstance(policy.arrive(req, 0.0), Wait)
    assert policy.release(0.1) == []
    permit(policy, "t1", start=0.2)
    ((_, decision),) = policy.release(0.25)
    assert decision.attempt.target_name == "t1"
    assert policy.limits.held("t1") == 0


def test_without_status_checks_a_permit_is_used_first():
    policy = make_policy(6)
    limit(policy, "t4")
    permit(policy, "t4")
    decision = policy.arrive(make_call(), 0.0)
    assert decision.attempt.target_name == "t4"


def record_arrivals(policy):
    """Record arrivals of requests of two ranks."""
    policy._work.note_arrival("orders", 1)
    policy._work.note_arrival("lookups", 2)


def test_if_all_targets_are_limited_urgent_requests_get_permits_first():
    """Guards against orders that are refused while earlier lookups are served."""
    policy = policy_of(*near(1))
    record_arrivals(policy)
    limit(policy, "n0")
    policy.limits.add_permits("n0", [1.0])
    lookup, _ = decide(policy, call(now=1.02, route="lookups", rank=2), now=1.02)
    assert isinstance(lookup, Pause)
    order, _ = decide(policy, call(now=1.05, route="orders", rank=1), now=1.05)
    assert isinstance(order, Send)


def test_a_permit_that_no_urgent_request_uses_is_open_to_any():
    policy = policy_of(*near(1))
    record_arrivals(policy)
    limit(policy, "n0")
    policy.limits.add_permits("n0", [1.0])
    lookup, _ = decide(policy, call(now=1.2, route="lookups", rank=2), now=1.2)
    assert isinstance(lookup, Send)


def test_less_urgent_requests_get_a_share_if_urgent_ones_could_use_all_permits():
    policy = policy_of(*near(1))
    record_arrivals(policy)
    limit(policy, "n0", per_s=10.0)
    served = 0
    for number in range(30):
        now = 1.0 + 0.1 * number
        policy.limits.add_permits("n0", [now])
        lookup, _ = decide(policy, call(now=now, route="lookups", rank=2), now=now)
        order, _ = decide(policy, call(now=now, route="orders", rank=1), now=now)
        served += isinstance(lookup, Send)
        for decision in (lookup, order):
            if isinstance(decision, Send):
                policy.finished(decision.attempt, Answered(), now + 0.05)
    assert served == 10


def test_no_permits_are_reserved_if_some_targets_have_no_limit():
    policy = policy_of(*near(2))
    record_arrivals(policy)
    limit(policy, "n0")
    policy.limits.add_permits("n0", [1.0])
    lookup, _ = decide(policy, call(now=1.0, route="lookups", rank=2), now=1.0)
    assert lookup.attempt.target_name == "n0"


def test_an_ejected_limited_target_returns():
    """Guards against a limited target that is never used again after a few failures.

    A trial needs a permit, so permits are requested for ejected targets too, although
    they are no candidates.
    """
    policy = policy_of(*near(4))
    failing = None
    for number in range(40):
        now = 1.0 + 0.1 * number
        decision, _ = decide(policy, call(now=now), now=now)
        failing = failing or decision.attempt.target_name
        failed = decision.attempt.target_name == failing
        policy.finished(decision.attempt, Answered(failed=failed), now + 0.01)
    assert [event.target for event in policy.take_events()][:1] == [failing]
    limit(policy, failing)
    arrive(policy, 3, now=20.0)
    assert requested_permits(policy, now=20.0) == {failing: 1}
    policy.limits.add_permits(failing, [20.0])
    decision, _ = decide(policy, call(now=20.1), now=20.1)
    assert decision.attempt.target_name == failing
    assert decision.attempt.trial
    policy.finished(decision.attempt, Answered(), 20.2)
    policy.limits.add_permits(failing, [20.2])
    attempts = []
    for number in range(4):
        now = 20.3 + 0.1 * number
        decision, _ = decide(policy, call(now=now), now=now)
        policy.finished(decision.attempt, Answered(), now + 0.01)
        attempts.append(decision.attempt)
    # Each of four idle targets gets one of four requests.
    assert failing in {attempt.target_name for attempt in attempts}
    assert not any(attempt.trial for attempt in attempts)


def test_urgent_requests_use_reserved_permits_before_open_ones():
    policy = policy_of(*near(1))
    record_arrivals(policy)
    limit(policy, "n0")
    policy.limits.add_permits("n0", [1.0, 1.0, 1.0])
    for _ in range(2):
        order, _ = decide(policy, call(route="orders", rank=1))
        assert isinstance(order, Send)
    lookup, _ = decide(policy, call(route="lookups", rank=2))
    assert isinstance(lookup, Send)
