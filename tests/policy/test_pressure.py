"""More requests than the targets can answer in time."""

import pytest

from cairnferry.policy import (
    Cause,
    Refuse,
    Send,
    TargetRefused,
)

from ._status_checks import (
    busy,
    call,
    decide,
    near,
    policy_of,
    train_route,
)


def test_a_request_waits_at_a_target_if_it_is_in_time_there():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.8, route="r")
    decision, _ = decide(policy, req, now=2.0, **busy(5))
    assert isinstance(decision, Send)


@pytest.mark.parametrize("slots", [1, 2, 4])
def test_a_free_slot_is_used_however_few_there_are(slots):
    """Symptom: requests are refused while slots stand idle.

    Events: all but one slot of each target is in use, and the objective is near.
    Cause: a share of the slots was left free, which is half of a target with two.
    """
    policy = policy_of(*near(3, slots=slots))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.12, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(slots - 1))[0], Send)
    req = call(now=2.0, objective=2.12, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(slots))[0], Refuse)


def test_a_request_that_would_come_late_is_refused_at_once():
    """Symptom: in a burst nearly every answer comes late, while targets are busy.

    Events: requests come at 1.6 times what the targets can do. All are let in, the
    targets' queues fill, and what leaves them has passed its objective. Cause: each
    request was sent although its own wait was known.
    """
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.15, route="r")
    decision, _ = decide(policy, req, now=2.0, **busy(6))
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.OVERLOAD


def test_short_work_still_finds_room_where_long_work_does_not():
    policy = policy_of(*near(3))
    train_route(policy, "long", 0.3)
    train_route(policy, "short", 0.03, start=1.0)
    full = busy(5)
    long = call(now=2.0, objective=2.4, route="long")
    short = call(now=2.0, objective=2.4, route="short")
    assert isinstance(decide(policy, long, now=2.0, **full)[0], Refuse)
    assert isinstance(decide(policy, short, now=2.0, **full)[0], Send)


def test_less_urgent_requests_are_refused_first():
    policy = policy_of(*near(3))
    train_route(policy, "urgent", 0.1, rank=1)
    train_route(policy, "other", 0.1, rank=2, start=1.0)
    full = busy(5)
    urgent = call(now=2.0, objective=2.7, route="urgent", rank=1)
    other = call(now=2.0, objective=2.7, route="other", rank=2)
    assert isinstance(decide(policy, urgent, now=2.0, **full)[0], Send)
    assert isinstance(decide(policy, other, now=2.0, **full)[0], Refuse)


def test_a_free_slot_is_used_even_if_the_answer_will_be_late():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.01, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(2, slowdown=4.0))[0], Send)


def test_those_refused_together_come_back_spread_and_in_time():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    returns = []
    for _ in range(20):
        req = call(now=2.0, objective=2.3, route="r")
        decision, _ = decide(policy, req, now=2.0, **busy(9))
        returns.append(decision.retry_after)
    assert len(set(returns)) > 10
    assert all(0.05 <= after <= 0.15 for after in returns)


def test_a_request_that_targets_shed_is_told_to_come_back_in_time():
    """Symptom: targets shed half of all requests, and those that come back are late.

    Cause: only what the policy itself refused was told when to come back in time.
    """
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.3, route="r", max_attempts=1)
    decision, _ = decide(policy, req, now=2.0)
    refused = policy.finished(decision.attempt, TargetRefused(), 2.01)
    assert isinstance(refused, Refuse)
    assert refused.retry_after <= 0.15
