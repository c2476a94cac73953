"""Behaviour under overload: more requests than the targets can answer in time."""

import pytest

from cairnferry.policy import (
    Cause,
    LoadReport,
    Refuse,
    Send,
    TargetRefused,
)

from ._status_checks import (
    busy,
    call,
    decide,
    far,
    near,
    policy_of,
    train_route,
)


def test_request_is_sent_to_a_full_target_if_it_meets_its_objective():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.8, route="r")
    decision, _ = decide(policy, req, now=2.0, **busy(5))
    assert isinstance(decision, Send)


def test_free_slot_of_a_slow_target_precedes_a_refusal():
    """Guards against a refusal for the queue of a fast target.

    The queue of the fast target costs less than the slow target's free slot, but is too
    long to be worth sending.
    """
    policy = policy_of(*near(2, slots=2), search_before_refusal=True)
    train_route(policy, "r", 0.1)
    reports = {"n0": LoadReport(2), "n1": LoadReport(0, slowdown=4.0)}
    req = call(now=2.0, objective=2.5, route="r")
    decision, _ = decide(policy, req, now=2.0, **reports)
    assert decision.attempt.target_name == "n1"


def test_other_zones_are_checked_before_a_refusal():
    """Guards against a refusal while targets of other zones are idle.

    The queues of the own zone are within `near_share`, and too long to be sent to.
    """
    policy = policy_of(*near(3), *far(3), search_before_refusal=True)
    train_route(policy, "r", 0.1)
    train_route(policy, "urgent", 0.1, rank=0, start=1.0)
    req = call(now=2.0, objective=2.8, route="r", rank=1)
    decision, rounds = decide(policy, req, now=2.0, **busy(5))
    assert [names[0][0] for names in rounds] == ["n", "f"]
    assert decision.attempt.target_name.startswith("f")


def test_refusals_by_rank_and_attempts_by_zone_are_counted():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1, rank=4)
    req = call(now=2.0, objective=2.15, route="r", rank=4)
    decide(policy, req, now=2.0, **busy(6))
    state = policy.snapshot(2.0)
    assert state["overload_by_rank"] == {"4": 1}
    assert state["zones"] == {"near": 30}


@pytest.mark.parametrize("slots", [1, 2, 4])
def test_free_slot_is_used_at_targets_with_few_slots(slots):
    """Guards against refusals while slots are idle.

    All but one slot of each target are in use, and the objective is near. Reserving a
    share of the slots would leave half of a target with two slots unused.
    """
    policy = policy_of(*near(3, slots=slots))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.12, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(slots - 1))[0], Send)
    req = call(now=2.0, objective=2.12, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(slots))[0], Refuse)


def test_request_that_would_miss_its_objective_is_refused_at_once():
    """Guards against a burst in which nearly every answer is late.

    At 1.6 times the capacity of the targets, admitting every request fills the queues
    of the targets, and every request that leaves them has missed its objective. The
    expected wait of a request is known before it is sent.
    """
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.15, route="r")
    decision, _ = decide(policy, req, now=2.0, **busy(6))
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.OVERLOAD


def test_short_requests_are_admitted_where_long_ones_are_refused():
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


def test_free_slot_is_used_even_if_the_objective_is_missed():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.01, route="r")
    assert isinstance(decide(policy, req, now=2.0, **busy(2, slowdown=4.0))[0], Send)


def test_retry_after_of_refused_requests_is_spread_and_meets_the_objective():
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    retry_delays = []
    for _ in range(20):
        req = call(now=2.0, objective=2.3, route="r")
        decision, _ = decide(policy, req, now=2.0, **busy(9))
        retry_delays.append(decision.retry_after)
    assert len(set(retry_delays)) > 10
    assert all(0.05 <= after <= 0.15 for after in retry_delays)


def test_retry_after_of_a_shed_request_meets_the_objective():
    """Guards against retries that miss their objective.

    A request that targets shed needs a Retry-After that leaves time for its objective,
    like a request that the policy refuses.
    """
    policy = policy_of(*near(3))
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.3, route="r", max_attempts=1)
    decision, _ = decide(policy, req, now=2.0)
    refused = policy.finished(decision.attempt, TargetRefused(), 2.01)
    assert isinstance(refused, Refuse)
    assert refused.retry_after <= 0.15
