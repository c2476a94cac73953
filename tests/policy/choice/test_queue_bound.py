"""Bound on the requests at targets that do not answer what they cannot queue."""

import pytest

from cairnferry.policy import (
    Answered,
    LoadReport,
    Lost,
    Refuse,
    Send,
    TargetRefused,
)
from policy._status_checks import call, decide, policy_of, target, train_route

SLOTS = 2


def policy_with_one_target(hangs=True):
    """Return a policy whose target has two slots, and may have hung once."""
    policy = policy_of(target("n0", slots=SLOTS))
    train_route(policy, "r", 0.01)
    if hangs:
        policy._targets.check_chooser.queues.note_hang()
    return policy


def is_sent(policy, now, in_use):
    """Return whether a request is sent to a target that reports its load."""
    req = call(now=now, route="r", objective=now + 0.9)
    decision, _ = decide(policy, req, now=now, n0=LoadReport(in_use))
    if isinstance(decision, Send):
        policy.finished(decision.attempt, Answered(), now + 0.01)
        return True
    assert isinstance(decision, Refuse)
    assert decision.cause == "overload"
    return False


def test_no_request_beyond_the_slots_while_no_queue_is_known():
    """Guards against requests that get no answer, and neither does their connection.

    The target has two slots and no queue. It does not answer a third request.
    """
    policy = policy_with_one_target()
    assert [is_sent(policy, 2.0 + n, n) for n in range(4)] == [True, True, False, False]


def test_requests_fill_a_queue_of_the_length_that_targets_reported():
    policy = policy_with_one_target()
    policy.note_check("n0", LoadReport(6), True, 2.0)
    sent = [is_sent(policy, 3.0 + n, n) for n in range(8)]
    assert sent == [True] * 6 + [False] * 2


def test_report_of_a_target_that_hangs_is_not_taken_for_its_queue():
    policy = policy_with_one_target()
    policy._targets._states["n0"].hanging_until = 10.0
    policy.note_check("n0", LoadReport(9), True, 2.0)
    assert not is_sent(policy, 3.0, SLOTS)


def test_a_queue_is_assumed_until_a_target_hangs():
    """Guards against full targets that get no requests although they would queue them.

    The length of a queue is learned only from requests that wait in it.
    """
    policy = policy_with_one_target(hangs=False)
    assert is_sent(policy, 2.0, 2 * SLOTS - 1)
    assert not is_sent(policy, 3.0, 2 * SLOTS)


def test_targets_that_refuse_what_they_cannot_queue_need_no_bound():
    policy = policy_with_one_target()
    req = call(now=2.0, route="r")
    decision, _ = decide(policy, req, now=2.0, n0=LoadReport(1))
    policy.finished(decision.attempt, TargetRefused(False, LoadReport(6)), 2.01)
    assert is_sent(policy, 3.0, 5)


def test_own_requests_count_where_the_load_is_unknown():
    """Guards against requests to a full target whose status checks are lost."""
    policy = policy_with_one_target()
    sent = []
    for _ in range(3):
        req = call(now=3.0, route="r")
        decision, _ = decide(policy, req, now=3.0, n0=None)
        sent.append(isinstance(decision, Send))
    assert sent == [True, True, False]


@pytest.mark.parametrize("in_use", [0, 1, 2, 3, 5])
def test_requests_sent_since_the_report_count(in_use):
    policy = policy_with_one_target()
    policy.note_check("n0", LoadReport(4), True, 2.0)
    sent = 0
    for _ in range(8):
        req = call(now=3.0, route="r", objective=3.9)
        decision, _ = decide(policy, req, now=3.0, n0=LoadReport(in_use))
        sent += isinstance(decision, Send)
    assert in_use + sent == max(in_use, 4)


def test_lost_requests_of_a_target_that_hangs_start_the_bound():
    policy = policy_with_one_target(hangs=False)
    req = call(now=2.0, route="r", objective=2.9)
    decision, _ = decide(policy, req, now=2.0, n0=LoadReport(3))
    policy.note_check("n0", LoadReport(2), True, 2.5)
    policy.finished(decision.attempt, Lost(timed_out=True), 3.0)
    assert policy.snapshot(3.0)["hung"] == 1
    assert not is_sent(policy, 30.0, 3)
