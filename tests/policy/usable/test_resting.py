"""Targets that ask for rest: nothing is sent to them until it is over."""

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

REST = TargetAdvisory(back_off_s=3.0)


def rest(policy, name, now=1.0, words=REST):
    policy.note_advisory(name, words, now)


def chosen(policy, now, count=20, **more):
    """Give the targets to which requests of one moment go."""
    names = set()
    for _ in range(count):
        decision, _ = decide(policy, call(now=now, **more), now=now)
        if isinstance(decision, Send):
            names.add(decision.attempt.target_name)
    return names


def test_it_gets_nothing_to_the_end_of_its_rest():
    policy = policy_of(*near(3))
    rest(policy, "n0", now=1.0)
    for now in (1.0, 1.5, 3.9):
        assert "n0" not in chosen(policy, now, count=6)
    assert "n0" in chosen(policy, 4.1)


def test_a_refusal_that_asks_for_rest_goes_on_elsewhere_and_counts_for_nothing():
    """Guards against a resting target that is ranked or ejected as a failing one."""
    policy = with_retry_tokens(policy_of(*near(2)))
    for index in range(5):
        now = 1.0 + 4 * index
        decision, _ = decide(policy, call(now=now), now=now, n1=LoadReport(3))
        assert decision.attempt.target_name == "n0"
        rest(policy, "n0", now)
        result = TargetRefused(report=LoadReport(9, 5.0))
        again = policy.finished(decision.attempt, result, now)
        assert {record.name for record in again.targets} == {"n1"}
    state = next(each for each in policy._targets if each.name == "n0")
    assert (state.failures, state.refusals, state.slowdown) == (0, 0, 1.0)
    assert not state.ejected_until
    assert state.is_healthy(30.0)


def test_a_resting_target_whose_address_another_one_has_is_out_for_longer():
    """Guards against a refusal that says more than that the target rests."""
    policy = with_retry_tokens(policy_of(*near(2)))
    decision, _ = decide(policy, call(), n1=LoadReport(3))
    rest(policy, "n0", now=1.05)
    policy.finished(decision.attempt, TargetRefused(draining=True), 1.1)
    assert "n0" not in chosen(policy, 6.0)


def test_a_request_whose_time_is_over_is_told_so_while_all_rest():
    policy = with_retry_tokens(policy_of(*near(1)))
    req = call()
    decision, _ = decide(policy, req)
    rest(policy, "n0", now=1.5)
    after = policy.finished(decision.attempt, NotRun(deadline=True), req.deadline)
    assert after.cause is Cause.DEADLINE


def test_a_shorter_word_later_does_not_end_a_rest():
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    rest(policy, "n0", now=1.1, words=TargetAdvisory(back_off_s=0.2))
    rest(policy, "n0", now=1.2, words=NO_ADVISORY)
    assert "n0" not in chosen(policy, 3.0)


def test_a_longer_word_later_extends_it():
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    rest(policy, "n0", now=2.0)
    assert "n0" not in chosen(policy, 4.5)


def test_an_answer_to_an_earlier_request_does_not_end_a_rest():
    """Guards against a rest that a success, a check or a report puts an end to."""
    policy = policy_of(*near(2))
    decision, _ = decide(policy, call(), n1=LoadReport(3))
    rest(policy, "n0", now=1.1)
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
def test_a_changed_row_does_not_end_a_rest(changed):
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    policy.update(SERVICE, [target("n0", **changed), target("n1")], 1.1)
    assert "n0" not in chosen(policy, 1.2)


def test_a_row_that_is_gone_for_a_moment_does_not_end_a_rest():
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    policy.update(SERVICE, [target("n1")], 1.1)
    policy.update(SERVICE, near(2), 1.2)
    assert "n0" not in chosen(policy, 1.3)


def test_a_service_that_is_dropped_and_back_remembers_a_rest():
    """Guards against a reload or a new configuration that puts an end to a rest."""
    advisories = AdvisoryRegistry()
    rest(recreated_policy(*near(2), advisories=advisories, now=1.0), "n0", 1.0)
    policy = recreated_policy(*near(2), advisories=advisories, now=1.5)
    assert "n0" not in chosen(policy, 1.6)


def test_a_new_start_under_the_old_name_has_asked_for_nothing():
    policy = policy_of(target("n0", started_ms=1000), target("n1", started_ms=1))
    rest(policy, "n0@1000", now=1.0)
    policy.update(
        SERVICE, [target("n0", started_ms=2000), target("n1", started_ms=1)], 1.1
    )
    assert "n0" in chosen(policy, 1.2)


def test_a_word_of_a_target_whose_row_is_gone_counts_when_it_is_back():
    policy = policy_of(*near(1))
    rest(policy, "n1", now=1.0)
    policy.update(SERVICE, near(2), 1.1)
    assert "n1" not in chosen(policy, 1.2)


def test_an_ejected_target_is_not_tried_while_it_rests():
    """Guards against trials, which pass over what targets ask for."""
    policy = ejected(policy_of(*near(3)))
    rest(policy, "n0", now=1.5)
    assert "n0" not in chosen(policy, 4.4)
    assert "n0" in chosen(policy, 30.0)


def test_a_second_attempt_does_not_go_to_one_that_rests():
    """Guards against hedges at a target that has asked for rest."""
    policy = with_retry_tokens(policy_of(*near(2)))
    for index in range(30):
        now = index * 0.02
        decision, _ = decide(policy, call(now=now, route="r"), now=now)
        policy.finished(decision.attempt, Answered(), now + 0.01)
    req = call(now=1.0, route="r")
    decision, _ = decide(policy, req, now=1.0, n1=LoadReport(3))
    policy.note_missed_check("n0", 1.2)
    rest(policy, "n1", now=1.1)
    assert policy.hedge(req, 1.5) is None


def test_while_all_rest_requests_are_refused_with_the_time_of_the_first():
    """Guards against requests that are held, or asked about, for what is known."""
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    rest(policy, "n1", now=2.0)
    decision = policy.arrive(call(now=2.0), 2.0)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.BACKING_OFF
    assert 2.0 <= decision.retry_after


def test_those_refused_at_one_moment_do_not_come_back_at_one():
    """Guards against a herd at the end of a rest."""
    policy = policy_of(*near(1))
    rest(policy, "n0", now=1.0)
    told = {policy.arrive(call(now=2.0), 2.0).retry_after for _ in range(20)}
    assert len(told) > 10
    assert min(told) >= 2.0


def test_one_that_may_have_run_is_not_called_not_run_while_all_rest():
    policy = with_retry_tokens(policy_of(*near(1), *far(1)))
    decision, _ = decide(policy, call())
    rest(policy, "n0", now=1.1)
    rest(policy, "f0", now=1.1)
    after = policy.finished(decision.attempt, Lost(), 1.1)
    assert isinstance(after, GiveUp)


def test_a_resting_target_does_not_hide_that_the_others_leave():
    policy = policy_of(*near(2))
    rest(policy, "n0", now=1.0)
    leaving = target("n1")
    leaving = type(leaving)(
        "n1", "s", "near", "10.0.0.1", 80, 4, Lifecycle.DRAINING, "/h", None
    )
    policy.update(SERVICE, [target("n0"), leaving], 1.1)
    decision = policy.arrive(call(now=1.2), 1.2)
    assert decision.cause is Cause.BACKING_OFF


def test_a_request_does_not_wait_for_a_rest_that_outlasts_it():
    """Guards against a queue of requests that are known to be too late."""
    policy = make_policy(targets=[make_target(0, slots=1)])
    rest(policy, "t0", now=0.0, words=TargetAdvisory(back_off_s=60.0))
    decision = policy.arrive(make_call(), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.BACKING_OFF


def test_a_request_waits_for_a_rest_that_ends_in_time():
    policy = make_policy(targets=[make_target(0, slots=1)])
    rest(policy, "t0", now=0.0, words=TargetAdvisory(back_off_s=0.2))
    waiting = make_call()
    assert isinstance(policy.arrive(waiting, 0.0), Wait)
    ((released, decision),) = policy.release(0.25)
    assert released is waiting
    assert isinstance(decision, Send)


def test_a_rest_is_told_once_with_the_request_that_heard_of_it():
    policy = policy_of(*near(2))
    policy.note_advisory("n0", REST, 1.0, heard_by="req-7")
    policy.note_advisory("n0", REST, 1.1, heard_by="req-8")
    (event,) = policy.take_events()
    assert (event.target, str(event.condition)) == ("n0", "asks for rest")
    assert event.inputs == {"for_s": 3.0, "heard_by": "req-7"}
