"""Targets that hang, and requests that are sent a second time for it."""

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


def test_a_target_that_gave_no_answer_is_not_asked_again_at_once():
    """Symptom: while one target is dead all requests take 30 ms longer.

    Cause: each of them asked it, and waited for its answer.
    """
    policy = policy_of(*near(4))
    decide(policy, call(), n0=None)
    decision = policy.arrive(call(now=1.1), 1.1)
    assert "n0" not in [record.name for record in decision.targets]
    decision = policy.arrive(call(now=1.4), 1.4)
    assert "n0" in [record.name for record in decision.targets]


def test_a_request_at_a_target_that_is_silent_goes_to_another_one():
    """Symptom: lookups take their whole deadline although 19 targets are well.

    Events: a target's machine goes dark while it runs the lookup. Cause: nothing
    told that the answer would not come.
    """
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert policy.hedge(attempt.call, 2.05) is None
    ask = policy.hedge(attempt.call, 2.2)
    assert [record.name for record in ask.targets] == [attempt.target_name]
    policy.note_check(attempt.target_name, None, False, 2.21)
    second = policy.hedge(attempt.call, 2.23)
    assert second.attempt.kind is AttemptKind.HEDGE
    assert second.attempt.target_name != attempt.target_name
    assert policy.hedge(attempt.call, 2.3) is None


def test_a_request_that_is_only_slow_is_left_alone():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.2), CheckStatus)
    policy.note_check(attempt.target_name, LoadReport(1), True, 2.21)
    assert policy.hedge(attempt.call, 2.22) is None


def test_a_request_that_takes_far_too_long_is_sent_again_all_the_same():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.6), Send)


def test_an_order_is_never_sent_again_because_it_is_slow():
    policy = policy_of(*near(4))
    train_route(policy, "r", 0.1)
    req = Call(arrived=2.0, deadline=9.0, idempotent=False, route="r")
    decide(policy, req, now=2.0)
    assert policy.hedge(req, 8.0) is None


def test_hedges_keep_to_the_budget_of_retries():
    policy = policy_of(*near(30))
    train_route(policy, "r", 0.1)
    hedges = 0
    for index in range(60):
        now = 2.0 + index / 100
        attempt = in_flight(policy, now)
        hedges += isinstance(policy.hedge(attempt.call, now + 0.6), Send)
    assert 0 < hedges <= 0.2 * 90 + 6
