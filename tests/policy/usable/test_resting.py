"""Targets that request a back-off get no requests until it ends."""

import pytest

from cairnferry.policy import (
    NO_ADVISORY,
    AdvisoryRegistry,
    Answered,
    Cause,
    GiveUp,
    LoadReport,
    Lost,
    NotRun,
    Refuse,
    Send,
    TargetAdvisory,
    TargetRefused,
    Wait,
)
from cairnferry.records import Lifecycle
from policy._helpers import make_call, make_policy, make_target
from policy._status_checks import (
    SERVICE,
    call,
    decide,
    ejected,
    far,
    near,
    policy_of,
    recreated_policy,
    target,
    with_retry_tokens,
)

BACK_OFF = TargetAdvisory(back_off_s=3.0)


def back_off(policy, name, now=1.0, advisory=BACK_OFF):
    policy.note_advisory(name, advisory, now)


def chosen(policy, now, count=20, **more):
    """Return the targets that requests of one moment go to."""
    names = set()
    for _ in range(count):
        decision, _ = decide(policy, call(now=now, **more), now=now)
        if isinstance(decision, Send):
            names.add(decision.attempt.target_name)
    return names


def test_a_target_gets_no_requests_until_the_end_of_its_back_off():
    policy = policy_of(*near(3))
    back_off(policy, "n0", now=1.0)
    for now in (1.0, 1.5, 3.9):
        assert "n0" not in chosen(policy, now, count=6)
    assert "n0" in chosen(policy, 4.1)


def test_a_refusal_with_a_back_off_is_retried_elsewhere_and_is_no_failure():
    """Guards against a target that backs off and counts as failing or is ejected."""
    policy = with_retry_tokens(policy_of(*near(2)))
    for index in range(5):
        now = 1.0 + 4 * index
        decision, _ = decide(policy, call(now=now), now=now, n1=LoadReport(3))
        assert decision.attempt.target_name == "n0"
        back_off(policy, "n0", now)
        result = TargetRefused(report=LoadReport(9, 5.0))
        again = policy.finished(decision.attempt, result, now)
        assert {record.name for record in again.targets} == {"n1"}
    state = next(each for each in policy._targets if each.name == "n0")
    assert (state.failures, state.refusals, state.slowdown) == (0, 0, 1.0)
    assert not state.ejected_until
    assert state.is_healthy(30.0)


def test_a_drain_after_a_back_off_keeps_the_target_out_of_use():
    """Guards against a back-off that hides that the refusal reports a drain."""
    policy = with_retry_tokens(policy_of(*near(2)))
    decision, _ = decide(policy, call(), n1=LoadReport(3))
    back_off(policy, "n0", now=1.05)
    policy.finished(decision.attempt, TargetRefused(draining=True), 1.1)
    assert "n0" not in chosen(policy, 6.0)


def test_an_expired_deadline_is_reported_while_all_targets_back_off():
    policy = with_retry_tokens(policy_of(*near(1)))
    req = call()
    decision, _ = decide(policy, req)
    back_off(policy, "n0", now=1.5)
    after = policy.finished(decision.attempt, NotRun(deadline=True), req.deadline)
    assert after.cause is Cause.DEADLINE


def test_a_later_shorter_advisory_does_not_end_a_back_off():
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    back_off(policy, "n0", now=1.1, advisory=TargetAdvisory(back_off_s=0.2))
    back_off(policy, "n0", now=1.2, advisory=NO_ADVISORY)
    assert "n0" not in chosen(policy, 3.0)


def test_a_later_longer_advisory_extends_a_back_off():
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    back_off(policy, "n0", now=2.0)
    assert "n0" not in chosen(policy, 4.5)


def test_a_response_to_an_earlier_request_does_not_end_a_back_off():
    """Guards against a back-off that ends with a success, a check or a report."""
    policy = policy_of(*near(2))
    decision, _ = decide(policy, call(), n1=LoadReport(3))
    back_off(policy, "n0", now=1.1)
    policy.finished(decision.attempt, Answered(report=LoadReport(0)), 1.2)
    policy.note_check("n0", LoadReport(0), True, 1.3)
    policy.note_probe("n0", True, 1.3)
    assert "n0" not in chosen(policy, 1.4)


@pytest.mark.parametrize(
    "changed",
    [
        {"slots": 9},
        {"zone": "far"},
        {"warmup_s": 2.0},
    ],
)
def test_a_changed_row_does_not_end_a_back_off(changed):
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    policy.update(SERVICE, [target("n0", **changed), target("n1")], 1.1)
    assert "n0" not in chosen(policy, 1.2)


def test_a_row_that_disappears_for_a_moment_does_not_end_a_back_off():
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    policy.update(SERVICE, [target("n1")], 1.1)
    policy.update(SERVICE, near(2), 1.2)
    assert "n0" not in chosen(policy, 1.3)


def test_a_back_off_remains_in_effect_if_its_service_is_removed_and_added():
    """Guards against a back-off that ends with a reload or a new configuration."""
    advisories = AdvisoryRegistry()
    back_off(recreated_policy(*near(2), advisories=advisories, now=1.0), "n0", 1.0)
    policy = recreated_policy(*near(2), advisories=advisories, now=1.5)
    assert "n0" not in chosen(policy, 1.6)


def test_a_back_off_does_not_apply_to_the_next_start_of_a_target():
    policy = policy_of(target("n0", started_ms=1000), target("n1", started_ms=1))
    back_off(policy, "n0@1000", now=1.0)
    policy.update(
        SERVICE, [target("n0", started_ms=2000), target("n1", started_ms=1)], 1.1
    )
    assert "n0" in chosen(policy, 1.2)


def test_an_advisory_of_an_unlisted_target_applies_once_it_is_listed():
    policy = policy_of(*near(1))
    back_off(policy, "n1", now=1.0)
    policy.update(SERVICE, near(2), 1.1)
    assert "n1" not in chosen(policy, 1.2)


def test_an_ejected_target_gets_no_trial_during_its_back_off():
    """Guards against trials that ignore a back-off."""
    policy = ejected(policy_of(*near(3)))
    back_off(policy, "n0", now=1.5)
    assert "n0" not in chosen(policy, 4.4)
    assert "n0" in chosen(policy, 30.0)


def test_a_second_attempt_does_not_go_to_a_target_that_backs_off():
    """Guards against hedges to a target that requested a back-off."""
    policy = with_retry_tokens(policy_of(*near(2)))
    for index in range(30):
        now = index * 0.02
        decision, _ = decide(policy, call(now=now, route="r"), now=now)
        policy.finished(decision.attempt, Answered(), now + 0.01)
    req = call(now=1.0, route="r")
    decision, _ = decide(policy, req, now=1.0, n1=LoadReport(3))
    policy.note_missed_check("n0", 1.2)
    back_off(policy, "n1", now=1.1)
    assert policy.hedge(req, 1.5) is None


def test_while_all_targets_back_off_requests_are_refused_until_the_first_ends():
    """Guards against requests that wait, or cause status checks, in that case."""
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    back_off(policy, "n1", now=2.0)
    decision = policy.arrive(call(now=2.0), 2.0)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.BACKING_OFF
    assert 2.0 <= decision.retry_after


def test_retries_of_requests_refused_at_one_moment_are_spread():
    """Guards against a thundering herd at the end of a back-off."""
    policy = policy_of(*near(1))
    back_off(policy, "n0", now=1.0)
    retry_delays = {policy.arrive(call(now=2.0), 2.0).retry_after for _ in range(20)}
    assert len(retry_delays) > 10
    assert min(retry_delays) >= 2.0


def test_a_request_that_may_have_run_is_given_up_while_all_targets_back_off():
    policy = with_retry_tokens(policy_of(*near(1), *far(1)))
    decision, _ = decide(policy, call())
    back_off(policy, "n0", now=1.1)
    back_off(policy, "f0", now=1.1)
    after = policy.finished(decision.attempt, Lost(), 1.1)
    assert isinstance(after, GiveUp)


def test_a_back_off_is_the_cause_of_a_refusal_if_the_other_targets_are_leaving():
    policy = policy_of(*near(2))
    back_off(policy, "n0", now=1.0)
    leaving = target("n1")
    leaving = type(leaving)(
        "n1", "s", "near", "10.0.0.1", 80, 4, Lifecycle.DRAINING, "/h", None
    )
    policy.update(SERVICE, [target("n0"), leaving], 1.1)
    decision = policy.arrive(call(now=1.2), 1.2)
    assert decision.cause is Cause.BACKING_OFF


def test_a_request_does_not_wait_for_a_back_off_beyond_its_deadline():
    """Guards against a queue of requests that cannot meet their deadline."""
    policy = make_policy(targets=[make_target(0, slots=1)])
    back_off(policy, "t0", now=0.0, advisory=TargetAdvisory(back_off_s=60.0))
    decision = policy.arrive(make_call(), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.BACKING_OFF


def test_a_request_waits_for_a_back_off_that_ends_in_time():
    policy = make_policy(targets=[make_target(0, slots=1)])
    back_off(policy, "t0", now=0.0, advisory=TargetAdvisory(back_off_s=0.2))
    waiting = make_call()
    assert isinstance(policy.arrive(waiting, 0.0), Wait)
    ((released, decision),) = policy.release(0.25)
    assert released is waiting
    assert isinstance(decision, Send)


def test_a_back_off_is_reported_once_with_the_request_that_observed_it():
    policy = policy_of(*near(2))
    policy.note_advisory("n0", BACK_OFF, 1.0, request_id="req-7")
    policy.note_advisory("n0", BACK_OFF, 1.1, request_id="req-8")
    (event,) = policy.take_events()
    assert (event.target, str(event.condition)) == ("n0", "asks for rest")
    assert event.inputs == {"for_s": 3.0, "heard_by": "req-7"}
