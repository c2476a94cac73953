"""Evidence, retry budgets, concurrency limits and the queue of `ServicePolicy`."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.policy import (
    Answered,
    AttemptKind,
    AwaitOthers,
    Cause,
    GiveUp,
    LoadReport,
    Lost,
    NotRun,
    Refuse,
    Relay,
    Send,
    TargetRefused,
    Wait,
)
from cairnferry.records import Priority

from ._helpers import (
    SERVICE,
    make_call,
    make_policy,
    send,
    state,
    warm_up,
)

# -- evidence ---------------------------------------------------------------------


def test_complete_answer_is_relayed():
    policy = make_policy()
    assert policy.finished(send(policy), Answered(), 0.1) == Relay()


@pytest.mark.parametrize("result", [TargetRefused(), NotRun()])
def test_request_that_did_not_run_is_retried_even_if_not_idempotent(result):
    policy = make_policy()
    first = send(policy, idempotent=False)
    retry = policy.finished(first, result, 0.1)
    assert isinstance(retry, Send)
    assert retry.attempt.kind is AttemptKind.RETRY
    assert retry.attempt.target_name != first.target_name


def test_request_that_may_have_run_is_retried_only_if_idempotent():
    """Guards against an order that is executed twice.

    If the answer is lost, the order may have run, and only an idempotent request may
    be retried.
    """
    policy = make_policy()
    decision = policy.finished(send(policy, idempotent=False), Lost(), 0.1)
    assert isinstance(decision, GiveUp)
    assert isinstance(policy.finished(send(policy), Lost(), 0.2), Send)


def test_not_run_is_reported_only_if_no_attempt_may_have_run():
    """Guards against reporting "not run" for a request that ran.

    The answer to the first attempt is lost and the second attempt is refused. The
    evidence of all attempts counts, not only that of the last one.
    """
    policy = make_policy()
    second = policy.finished(send(policy), Lost(), 0.1)
    third = policy.finished(second.attempt, TargetRefused(), 0.2)
    last = policy.finished(third.attempt, TargetRefused(), 0.3)
    assert isinstance(last, GiveUp)


RESULTS = st.sampled_from(
    [Answered(), Answered(True), TargetRefused(), NotRun(), Lost(), Lost(True)]
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(RESULTS, min_size=8, max_size=8), st.booleans())
def test_evidence_is_respected_for_any_sequence_of_results(results, idempotent):
    policy = make_policy(8)
    decision = policy.arrive(make_call(idempotent=idempotent), 0.0)
    possible_runs = 0
    for step, result in enumerate(results):
        if not isinstance(decision, Send):
            break
        decision = policy.finished(decision.attempt, result, 0.01 * step)
        possible_runs += isinstance(result, Lost | Answered)
    assert isinstance(decision, Relay | Refuse | GiveUp)
    assert not (isinstance(decision, Refuse) and possible_runs)
    assert idempotent or possible_runs <= 1
    assert step <= policy.settings.max_attempts


def test_first_successful_answer_of_a_hedged_request_is_relayed():
    policy = make_policy()
    now = warm_up(policy)
    first = send(policy, now)
    hedge = policy.hedge(first.call, now).attempt
    assert hedge.kind is AttemptKind.HEDGE
    assert policy.finished(first, Lost(), now) == AwaitOthers()
    assert policy.finished(hedge, Answered(), now) == Relay()


def test_hanging_target_is_ejected_although_hedges_cancel_its_attempts():
    """Guards against targets of a failed zone that are never ejected.

    A target accepts requests and never answers; each attempt is cancelled when its
    hedge succeeds. A cancelled slow attempt has to count as a failure.
    """
    policy = make_policy(4)
    now = warm_up(policy)
    for _ in range(3):
        attempt = send(policy, now)
        hanging = state(policy)
        attempt.target.note_finished(attempt.started)
        attempt.target = hanging
        hanging.note_sent(attempt.started)
        policy.cancelled(attempt, now + 1)
    assert hanging.ejected_until


def test_only_idempotent_requests_are_hedged():
    policy = make_policy()
    assert policy.hedge(send(policy, idempotent=False).call, 0.1) is None


# -- budgets ----------------------------------------------------------------------


def test_few_attempts_per_request_when_all_targets_fail():
    """Guards against retries that multiply the load while all targets fail."""
    policy = make_policy(16)
    requests = 2000
    attempts = 0
    now = 0.0
    for _ in range(requests):
        now += 0.01
        decision = policy.arrive(make_call(now), now)
        while isinstance(decision, Send):
            attempts += 1
            decision = policy.finished(decision.attempt, Lost(), now)
    assert attempts <= 1.1 * requests


def test_single_refusing_target_does_not_use_up_the_budget():
    """Guards against failed requests although most targets have capacity.

    One target of four sheds every request. Its refusals must not use up the retry
    budget before its pauses have grown long enough.
    """
    policy = make_policy(4)
    now = 0.0
    for _ in range(400):
        now += 0.05
        decision = policy.arrive(make_call(now), now)
        while isinstance(decision, Send):
            shedding = decision.attempt.target_name == "t0"
            result = TargetRefused() if shedding else Answered()
            decision = policy.finished(decision.attempt, result, now)
        assert decision == Relay()


@pytest.mark.parametrize("result", [TargetRefused(), NotRun()])
def test_few_attempts_per_request_when_all_targets_refuse(result):
    policy = make_policy(16)
    attempts = 0
    for step in range(2000):
        decision = policy.arrive(make_call(step), step)
        while isinstance(decision, Send):
            attempts += 1
            decision = policy.finished(decision.attempt, result, step)
    assert attempts <= 1.1 * 2000


def test_request_that_a_layer_above_retries_is_not_retried():
    policy = make_policy()
    attempt = send(policy, may_retry=False)
    assert isinstance(policy.finished(attempt, NotRun(), 0.1), Refuse)
    assert policy.hedge(send(policy, may_retry=False).call, 0.1) is None


# -- limits and the queue -----------------------------------------------------------


def fill(policy, now=0.0):
    attempts = []
    while True:
        call = make_call(now)
        decision = policy.arrive(call, now)
        if not isinstance(decision, Send):
            policy.abandon(call)
            return attempts
        attempts.append(decision.attempt)


def test_requests_in_flight_do_not_exceed_the_slots_of_all_targets():
    policy = make_policy(2, slots=3)
    assert len(fill(policy)) == 6


def test_waiting_request_is_sent_when_capacity_becomes_free():
    policy = make_policy(1, slots=1)
    attempt = send(policy)
    call = make_call()
    assert isinstance(policy.arrive(call, 0.0), Wait)
    assert policy.release(0.0) == []
    policy.finished(attempt, Answered(), 0.01)
    ((released, decision),) = policy.release(0.01)
    assert released is call
    assert isinstance(decision, Send)


def test_queue_orders_by_priority_and_then_by_deadline():
    policy = make_policy(1, slots=1)
    attempt = send(policy)
    late = make_call(seconds=0.9)
    soon = make_call(seconds=0.5)
    background = make_call(seconds=0.4, priority=Priority.BACKGROUND)
    for call in (background, late, soon):
        assert isinstance(policy.arrive(call, 0.0), Wait)
    order = []
    for step in range(3):
        policy.finished(attempt, Answered(), 0.001 * step)
        ((call, decision),) = policy.release(0.001 * step)
        order.append(call)
        attempt = decision.attempt
    assert order == [soon, late, background]


def test_waiting_background_requests_do_not_delay_interactive_ones():
    """Guards against interactive requests that queue behind background requests.

    Background requests wait because their share of the capacity is used up, while
    there is capacity for an interactive request.
    """
    policy = make_policy(4)
    while isinstance(policy.arrive(make_call(priority=Priority.BACKGROUND), 0.0), Send):
        pass
    assert policy.waiting
    assert isinstance(policy.arrive(make_call(), 0.0), Send)


def test_full_queue_refuses_at_once_and_displaces_background_requests():
    policy = make_policy(1, slots=1)
    send(policy)
    background = make_call(priority=Priority.BACKGROUND)
    assert isinstance(policy.arrive(background, 0.0), Wait)
    for _ in range(SERVICE.queue_limit - 1):
        assert isinstance(policy.arrive(make_call(), 0.0), Wait)
    refused = policy.arrive(make_call(priority=Priority.BACKGROUND), 0.0)
    assert isinstance(refused, Refuse)
    assert refused.retry_after > 0
    assert isinstance(policy.arrive(make_call(), 0.0), Wait)
    assert isinstance(policy.arrive(make_call(), 0.0), Refuse)
    ((victim, decision),) = policy.release(0.0)
    assert victim is background
    assert decision.cause is Cause.OVERLOAD


def test_waiting_request_that_cannot_meet_its_deadline_is_refused():
    policy = make_policy(1, slots=1)
    now = warm_up(policy, latency=0.1)
    send(policy, now)
    call = make_call(now, seconds=0.2)
    decision = policy.arrive(call, now)
    assert isinstance(decision, Wait)
    ((released, refused),) = policy.release(decision.until + 0.001)
    assert released is call
    assert refused.cause is Cause.DEADLINE


def test_new_request_that_cannot_meet_its_deadline_is_refused_at_once():
    policy = make_policy(1, slots=1)
    now = warm_up(policy, latency=0.1)
    send(policy, now)
    assert policy.arrive(make_call(now, seconds=0.05), now).cause is Cause.DEADLINE
    assert policy.arrive(make_call(now, seconds=0.0), now).cause is Cause.DEADLINE


def test_window_shrinks_when_targets_queue_and_grows_when_they_do_not():
    policy = make_policy(4)
    before = policy._capacity._window.limit
    now = 0.0
    for _ in range(100):
        now += 1
        attempt = send(policy, now)
        policy._targets._chooser.mean_others_load = 0.0
        policy.finished(attempt, Answered(report=LoadReport(9)), now + 0.005)
    assert policy._capacity._window.limit == policy._capacity._window.minimum
    cut = policy._capacity._window.limit
    assert cut < before / 2
    for _ in range(400):
        now += 0.01
        attempts = fill(policy, now)
        for attempt in attempts:
            policy.finished(attempt, Answered(report=LoadReport(0)), now)
        policy.release(now)
    assert policy._capacity._window.limit > cut
