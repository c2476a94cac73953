"""Targets that announce in their responses that they leave get no more requests."""

import math

from cairnferry.policy import (
    AdvisoryRegistry,
    Answered,
    Cause,
    Refuse,
    Send,
    TargetAdvisory,
)
from policy._status_checks import (
    SERVICE,
    call,
    decide,
    near,
    policy_of,
    recreated_policy,
    target,
)

LEAVING_FOR_EVER = TargetAdvisory(leaving_s=math.inf)


def leave(policy, name, now=1.0, advisory=LEAVING_FOR_EVER):
    policy.note_advisory(name, advisory, now)


def chosen(policy, now, count=12):
    names = set()
    for _ in range(count):
        decision, _ = decide(policy, call(now=now), now=now)
        if isinstance(decision, Send):
            names.add(decision.attempt.target_name)
    return names


def test_a_leaving_target_gets_no_more_requests_even_if_it_responds():
    """Guards against a response, a check or a report that cancels the announcement."""
    policy = policy_of(*near(2))
    decision, _ = decide(policy, call())
    leave(policy, decision.attempt.target_name)
    policy.finished(decision.attempt, Answered(), 1.1)
    policy.note_probe(decision.attempt.target_name, True, 1.2)
    for now in (1.3, 60.0, 5000.0):
        assert decision.attempt.target_name not in chosen(policy, now)


def test_a_row_with_a_ready_target_does_not_cancel_the_announcement():
    """Guards against a cancellation by a changed row, a missing row or a reload."""
    policy = policy_of(*near(2))
    leave(policy, "n0")
    for now, targets in (
        (2.0, [target("n0", slots=9), target("n1")]),
        (3.0, [target("n1")]),
        (4.0, near(2)),
    ):
        policy.update(SERVICE, targets, now)
        assert "n0" not in chosen(policy, now)


def test_the_announcement_remains_valid_if_its_service_is_removed_and_added():
    advisories = AdvisoryRegistry()
    leave(recreated_policy(*near(2), advisories=advisories, now=1.0), "n0")
    policy = recreated_policy(*near(2), advisories=advisories, now=1.5)
    assert "n0" not in chosen(policy, 1.6)


def test_the_next_start_of_a_leaving_target_is_used():
    policy = policy_of(target("n0", started_ms=1000), target("n1", started_ms=1))
    leave(policy, "n0@1000")
    policy.update(
        SERVICE, [target("n0", started_ms=2000), target("n1", started_ms=1)], 1.1
    )
    assert "n0" in chosen(policy, 1.2)


def test_the_announcement_expires_if_starts_have_no_identity():
    """Guards against a target that is never used again under its name."""
    policy = policy_of(*near(2))
    leave(policy, "n0", advisory=TargetAdvisory(leaving_s=30.0))
    assert "n0" not in chosen(policy, 30.9)
    assert "n0" in chosen(policy, 31.1)


def test_requests_in_flight_at_a_leaving_target_are_answered():
    """Guards against a leaving target that counts as crashed."""
    policy = policy_of(*near(1))
    decision, _ = decide(policy, call())
    leave(policy, "n0")
    assert decision.attempt.target.is_draining(1.1)
    policy.finished(decision.attempt, Answered(), 1.2)
    assert policy.in_flight == 0


def test_requests_are_refused_at_once_if_all_targets_are_leaving():
    policy = policy_of(*near(2))
    leave(policy, "n0")
    leave(policy, "n1")
    decision = policy.arrive(call(now=2.0), 2.0)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.NO_TARGET


def test_a_leaving_target_is_reported_once():
    policy = policy_of(*near(2))
    policy.note_advisory("n0", LEAVING_FOR_EVER, 1.0, request_id="req-1")
    policy.note_advisory("n0", LEAVING_FOR_EVER, 2.0, request_id="req-2")
    (event,) = policy.take_events()
    assert (event.target, str(event.condition)) == ("n0", "is leaving")
    assert event.inputs == {"heard_by": "req-1"}
