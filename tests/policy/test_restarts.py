"""Targets that start again under their name: nothing learnt of before holds."""

from cairnferry.policy import (
    Answered,
    CheckStatus,
    DrainSource,
    GiveUp,
    LoadReport,
    Lost,
    Send,
)

from ._status_checks import IDLE, call, decide, policy_of, target, with_retry_tokens

OLD, NEW = 1000, 2000


def restarted(**more):
    """Give a policy whose only target starts again while a request is there."""
    policy = with_retry_tokens(policy_of(target("n0", started_ms=OLD)))
    req = call(**more)
    decision, _ = decide_identified(policy, req)
    policy.update(policy.service, [target("n0", started_ms=NEW)], 1.1)
    return policy, decision.attempt


def decide_identified(policy, req, now=1.0):
    decision = policy.arrive(req, now)
    while isinstance(decision, CheckStatus):
        for record in decision.targets:
            policy.note_check(record.identity, IDLE, True, now)
        decision = policy.resume(req, now)
    return decision, req


def state(policy):
    (found,) = policy._targets
    return found


def test_what_was_learnt_of_the_earlier_start_is_void():
    """Symptom: a target that has just restarted gets no requests for seconds.

    Events: it fails, is ejected, and starts again. Cause: beliefs were kept by name.
    """
    policy, attempt = restarted()
    policy.finished(attempt, Answered(failed=True), 1.2)
    policy.note_draining(f"n0@{OLD}", DrainSource.PLATFORM, 99.0)
    policy.note_check(f"n0@{OLD}", LoadReport(4, 9.0), False, 1.2)
    policy.note_missed_check(f"n0@{OLD}", 1.2)
    fresh = state(policy)
    assert not fresh.ejected_until and not fresh.failures
    assert not fresh.is_draining(1.2)
    assert (fresh.slowdown, fresh.in_flight, fresh.missed_checks) == (1.0, 0, 0)


def test_an_answer_of_the_earlier_start_changes_nothing_of_the_later_one():
    """Symptom: a target counts one request less than it has. Cause: the answer to a
    request of the earlier start was counted off the later one."""
    policy, attempt = restarted()
    decision, _ = decide_identified(policy, call(now=1.2), now=1.2)
    assert isinstance(decision, Send)
    policy.finished(attempt, Answered(), 1.3)
    assert state(policy).in_flight == 1


def test_a_request_at_the_earlier_start_stays_possibly_run():
    policy, attempt = restarted()
    attempt.call.idempotent = False
    decision = policy.finished(attempt, Lost(), 1.2)
    assert isinstance(decision, GiveUp)


def test_a_request_may_be_repeated_at_the_later_start():
    policy, attempt = restarted()
    assert not attempt.call.tried(state(policy))
    decision = policy.finished(attempt, Lost(), 1.2)
    assert isinstance(decision, CheckStatus)
    assert decision.targets[0].identity == f"n0@{NEW}"


def test_a_changed_row_of_the_same_start_keeps_what_was_learnt():
    policy = policy_of(target("n0", started_ms=OLD))
    decide_identified(policy, call())
    policy.update(policy.service, [target("n0", started_ms=OLD, slots=9)], 1.1)
    assert state(policy).in_flight == 1


def test_targets_without_a_start_are_known_by_name():
    policy = policy_of(target("n0"))
    assert isinstance(decide(policy, call())[0], Send)
    assert state(policy).identity == "n0"
