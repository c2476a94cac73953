"""Targets that restart under the same name: state of the earlier run is invalid."""

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


def restarted_policy(**more):
    """Return a policy whose only target restarts during a request, and its attempt."""
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


def test_state_of_the_earlier_run_is_discarded():
    """Guards against a restarted target that gets no requests for seconds.

    If state is kept by name, the ejection of the earlier run applies to the new one.
    """
    policy, attempt = restarted_policy()
    policy.finished(attempt, Answered(failed=True), 1.2)
    policy.note_draining(f"n0@{OLD}", DrainSource.PLATFORM, 99.0)
    policy.note_check(f"n0@{OLD}", LoadReport(4, 9.0), False, 1.2)
    policy.note_missed_check(f"n0@{OLD}", 1.2)
    fresh = state(policy)
    assert not fresh.ejected_until and not fresh.failures
    assert not fresh.is_draining(1.2)
    assert (fresh.slowdown, fresh.in_flight, fresh.missed_checks) == (1.0, 0, 0)


def test_answer_of_the_earlier_run_does_not_affect_the_new_run():
    """Guards against a wrong number of requests in flight at a restarted target.

    The answer to a request of the earlier run must not be subtracted from the count of
    the new one.
    """
    policy, attempt = restarted_policy()
    decision, _ = decide_identified(policy, call(now=1.2), now=1.2)
    assert isinstance(decision, Send)
    policy.finished(attempt, Answered(), 1.3)
    assert state(policy).in_flight == 1


def test_request_at_the_earlier_run_stays_possibly_run():
    policy, attempt = restarted_policy()
    attempt.call.idempotent = False
    decision = policy.finished(attempt, Lost(), 1.2)
    assert isinstance(decision, GiveUp)


def test_request_may_be_retried_at_the_new_run():
    policy, attempt = restarted_policy()
    assert not attempt.call.tried(state(policy))
    decision = policy.finished(attempt, Lost(), 1.2)
    assert isinstance(decision, CheckStatus)
    assert decision.targets[0].identity == f"n0@{NEW}"


def test_changed_record_of_the_same_run_keeps_its_state():
    policy = policy_of(target("n0", started_ms=OLD))
    decide_identified(policy, call())
    policy.update(policy.service, [target("n0", started_ms=OLD, slots=9)], 1.1)
    assert state(policy).in_flight == 1


def test_targets_without_a_start_time_are_identified_by_name():
    policy = policy_of(target("n0"))
    assert isinstance(decide(policy, call())[0], Send)
    assert state(policy).identity == "n0"
