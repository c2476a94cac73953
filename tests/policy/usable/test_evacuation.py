"""Targets of an evacuated zone get no requests of any kind of attempt."""

import pytest

from cairnferry.policy import (
    Answered,
    Cause,
    DrainSource,
    Lost,
    Refuse,
    Send,
)
from policy._helpers import make_call, make_policy, make_target, state
from policy._status_checks import (
    call,
    decide,
    ejected,
    far,
    near,
    policy_of,
    with_retry_tokens,
)

NEAR = frozenset(["near"])


def test_requests_go_to_other_zones_until_the_zone_is_restored():
    policy = policy_of(*near(3), *far(3))
    policy.evacuate(NEAR)
    for number in range(10):
        now = 1.0 + number
        decision, rounds = decide(policy, call(now=now), now=now)
        checked = {name for names in rounds for name in names}
        assert {name[0] for name in checked | {decision.attempt.target_name}} == {"f"}
        policy.finished(decision.attempt, Answered(), now + 0.05)
    policy.evacuate(frozenset())
    decision, _ = decide(policy, call(now=20.0), now=20.0)
    assert decision.attempt.target_name.startswith("n")


def test_with_all_zones_evacuated_requests_are_refused_at_once():
    policy = policy_of(*near(3), *far(3))
    policy.evacuate(frozenset(["near", "far"]))
    decision, rounds = decide(policy, call())
    assert decision == Refuse(Cause.EVACUATED, decision.retry_after)
    assert rounds == []


def test_an_ejected_target_gets_no_trial_while_its_zone_is_evacuated():
    """Guards against a trial request to an evacuated zone."""
    policy = make_policy(targets=[make_target(0), make_target(1, zone="far")])
    state(policy).ejected_until = 0.5
    policy.evacuate(NEAR)
    for number in range(5):
        decision = policy.arrive(make_call(1.0 + number), 1.0 + number)
        assert decision.attempt.target_name == "t1"


def test_a_retry_of_a_lost_request_does_not_go_to_an_evacuated_zone():
    """Guards against a second attempt in a zone that was evacuated meanwhile."""
    policy = with_retry_tokens(policy_of(*near(2), *far(1)))
    decision, _ = decide(policy, call())
    policy.evacuate(NEAR)
    after = policy.finished(decision.attempt, Lost(broken=True), 1.1)
    while not isinstance(after, Send | Refuse):
        for record in after.targets:
            assert record.zone == "far"
            policy.note_check(record.name, None, False, 1.1)
        after = policy.resume(decision.attempt.call, 1.1)
    assert after.attempt.target_name == "f0"


def test_a_request_that_waits_for_an_evacuated_target_goes_elsewhere():
    policy = make_policy(
        targets=[make_target(0, slots=1), make_target(1, slots=1, zone="far")]
    )
    running = [policy.arrive(make_call(), 0.0).attempt for _ in range(2)]
    waiting = make_call()
    policy.arrive(waiting, 0.0)
    policy.evacuate(NEAR)
    for attempt in running:
        policy.finished(attempt, Answered(), 0.1)
    ((released, decision),) = policy.release(0.1)
    assert released is waiting
    assert decision.attempt.target_name == "t1"


@pytest.mark.parametrize("zones", [frozenset(), frozenset(["elsewhere"])])
def test_a_zone_without_targets_changes_nothing(zones):
    policy = policy_of(*near(3))
    policy.evacuate(zones)
    assert decide(policy, call())[0].attempt.target_name in ("n0", "n1", "n2")


def test_the_state_dump_contains_the_reason():
    policy = policy_of(*near(1), *far(1))
    policy.evacuate(NEAR)
    shown = {
        each["name"]: each["out_of_use"] for each in policy.snapshot(1.0)["targets"]
    }
    assert shown == {"n0": "evacuated", "f0": None}


def test_an_ejected_target_that_is_leaving_gets_no_trial():
    """Guards against a trial of a target that is out of use for another reason too."""
    policy = ejected(policy_of(*near(3)))
    policy.note_draining("n0", DrainSource.PLATFORM, 60.0)
    decision, _ = decide(policy, call(now=9.0), now=9.0)
    assert decision.attempt.target_name != "n0"
