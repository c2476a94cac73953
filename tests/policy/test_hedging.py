"""Hedging of requests at targets that hang."""

from cairnferry.policy import (
    AttemptKind,
    Call,
    CheckStatus,
    LoadReport,
    Send,
)

from ._status_checks import (
    call,
    decide,
    in_flight,
    near,
    policy_of,
    train_route,
)


def test_target_that_missed_a_check_is_not_checked_again_at_once():
    """Guards against status checks of an unresponsive target by every request.

    Each request would wait 30 ms for the answer.
    """
    policy = policy_of(*near(4))
    decide(policy, call(), n0=None)
    decision = policy.arrive(call(now=1.1), 1.1)
    assert "n0" not in [record.name for record in decision.targets]
    decision = policy.arrive(call(now=1.4), 1.4)
    assert "n0" in [record.name for record in decision.targets]


def test_request_at_an_unresponsive_target_is_hedged():
    """Guards against idempotent requests that wait for a crashed target.

    If the machine of a target fails while the request runs, the connection reports no
    error, and the request would wait up to its deadline although 19 other targets work.
    """
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert policy.hedge(attempt.call, 2.05) is None
    check = policy.hedge(attempt.call, 2.2)
    assert [record.name for record in check.targets] == [attempt.target_name]
    policy.note_check(attempt.target_name, None, False, 2.21)
    second = policy.hedge(attempt.call, 2.23)
    assert second.attempt.kind is AttemptKind.HEDGE
    assert second.attempt.target_name != attempt.target_name
    assert policy.hedge(attempt.call, 2.3) is None


def test_slow_request_at_a_responsive_target_is_not_hedged():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.2), CheckStatus)
    policy.note_check(attempt.target_name, LoadReport(1), True, 2.21)
    assert policy.hedge(attempt.call, 2.22) is None


def test_stuck_request_is_hedged_without_a_check():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.6), Send)


def test_slow_request_that_is_not_idempotent_is_never_hedged():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    req = Call(arrived=2.0, deadline=9.0, idempotent=False, route="r")
    decide(policy, req, now=2.0)
    assert policy.hedge(req, 8.0) is None


def test_hedges_stay_within_the_retry_budget():
    policy = policy_of(*near(30))
    train_route(policy, "r", 0.1)
    hedges = 0
    for index in range(60):
        now = 2.0 + index / 100
        attempt = in_flight(policy, now)
        hedges += isinstance(policy.hedge(attempt.call, now + 0.6), Send)
    assert 0 < hedges <= 0.2 * 90 + 6
