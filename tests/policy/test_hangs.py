"""Requests that a target does not answer although it responds to status checks."""

import pytest

from cairnferry.policy import (
    Answered,
    Call,
    Cause,
    GiveUp,
    LoadReport,
    Lost,
    NotRun,
    Relay,
    Send,
)

from ._status_checks import decide, in_flight, near, policy_of, train_route

EXPECTED_S = 0.1


@pytest.fixture
def policy():
    policy = policy_of(*near(4))
    train_route(policy, "r", EXPECTED_S)
    policy.take_events()
    return policy


def respond(policy, attempt, now, slowdown=1.0):
    policy.note_check(attempt.target_name, LoadReport(1, slowdown), True, now)


def hedged(policy, now=2.0):
    """Return a request at a target that hangs, and at a second one."""
    first = in_flight(policy, now)
    respond(policy, first, now + 0.1)
    second = policy.hedge(first.call, now + 0.5)
    assert isinstance(second, Send)
    return first, second.attempt


def test_attempt_that_hangs_is_retired_once_another_one_runs(policy):
    """Guards against a slot and a connection that a hanging request keeps."""
    first, second = hedged(policy)
    assert policy.hanging_attempts(first.call, 2.5) == []
    assert policy.hanging_attempts(first.call, 2.8) == [first]
    policy.retire(first, 2.8)
    assert first.target.in_flight == 0
    assert policy.finished(second, Answered(), 2.9) == Relay()


def test_request_goes_to_a_third_target_if_two_hang(policy):
    first, second = hedged(policy)
    policy.retire(first, 2.8)
    third = policy.hedge(first.call, 2.9)
    assert third.attempt.target_name not in (first.target_name, second.target_name)


def test_last_attempt_is_not_retired(policy):
    """Guards against a request that is given up although its answer may still come."""
    first = in_flight(policy, 2.0)
    respond(policy, first, 2.1)
    assert policy.hanging_attempts(first.call, 2.9) == []


def test_attempt_at_a_slowed_target_does_not_hang(policy):
    """Guards against slow targets that count as hanging.

    Other workloads on its machine may slow a target by a factor of four.
    """
    first, _ = hedged(policy)
    respond(policy, first, 2.6, slowdown=4.0)
    assert policy.hanging_attempts(first.call, 3.0) == []


def test_attempt_at_a_silent_target_does_not_count_as_hanging(policy):
    first, _ = hedged(policy)
    policy.note_missed_check(first.target_name, 2.6)
    assert policy.hanging_attempts(first.call, 3.0) == []


def test_retired_request_is_not_reported_as_not_run(policy):
    """Guards against a request that the caller sends again although it may have run."""
    first, second = hedged(policy)
    policy.retire(first, 2.8)
    for target in policy._targets:
        target.draining_until["record"] = 100.0
    policy._targets._usable.invalidate()
    decision = policy.finished(second, NotRun(), 2.9)
    assert isinstance(decision, GiveUp)


def test_request_that_is_not_idempotent_waits_and_is_reported_as_unknown(policy):
    req = Call(arrived=2.0, deadline=4.0, idempotent=False, route="r")
    decision, _ = decide(policy, req, now=2.0)
    attempt = decision.attempt
    respond(policy, attempt, 2.1)
    assert policy.hedge(req, 3.9) is None
    assert policy.hanging_attempts(req, 3.9) == []
    result = policy.finished(attempt, Lost(timed_out=True), 4.0)
    assert isinstance(result, GiveUp)
    assert result.cause is Cause.DEADLINE
    assert policy.snapshot(4.0)["hung"] == 1
    events = [(event.target, str(event.condition)) for event in policy.take_events()]
    assert (attempt.target_name, "hangs") in events


def test_targets_of_a_hedged_request_are_checked(policy):
    """Guards against a hedged request whose two targets hang.

    Both attempts stay open if it is unknown whether their targets respond, and none is
    sent to a third target.
    """
    first = in_flight(policy, 2.0)
    second = policy.hedge(first.call, 2.5).attempt
    check = policy.hedge(first.call, 2.55)
    assert [record.name for record in check.targets] == [first.target_name]
    respond(policy, first, 2.56)
    assert policy.hedge(first.call, 2.6) is None
    check = policy.hedge(first.call, 2.9)
    assert [record.name for record in check.targets] == [second.target_name]
