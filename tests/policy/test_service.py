"""Evidence, budgets, limits and the queue, with a clock of the test's own."""

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


def test_a_whole_answer_is_relayed():
    policy = make_policy()
    assert policy.finished(send(policy), Answered(), 0.1) == Relay()


@pytest.mark.parametrize("result", [TargetRefused(), NotRun()])
def test_what_did_not_run_may_go_elsewhere_even_if_not_idempotent(result):
    policy = make_policy()
    first = send(policy, idempotent=False)
    again = policy.finished(first, result, 0.1)
    assert isinstance(again, Send)
    assert again.attempt.kind is AttemptKind.RETRY
    assert again.attempt.target_name != first.target_name


def test_what_may_have_run_is_not_sent_again_unless_idempotent():
    """Symptom: a licensing order is billed twice.

    Events: a target takes the order and its answer is lost. Cause: a lost
    answer says nothing of the order; only an idempotent request may go again.
    """
    policy = make_policy()
    decision = policy.finished(send(policy, idempotent=False), Lost(), 0.1)
    assert isinstance(decision, GiveUp)
    assert isinstance(policy.finished(send(policy), Lost(), 0.2), Send)


def test_not_run_is_said_only_if_no_attempt_may_have_run():
    """Symptom: a caller is told "not run" for a request that ran.

    Events: the first attempt's answer is lost, the second is refused. Cause:
    the last evidence alone was looked at.
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
def test_evidence_holds_for_any_course_of_events(results, idempotent):
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


def test_the_first_good_answer_of_a_race_wins():
    policy = make_policy()
    now = warm_up(policy)
    first = send(policy, now)
    hedge = policy.hedge(first.call, now).attempt
    assert hedge.kind is AttemptKind.HEDGE
    assert policy.finished(first, Lost(), now) == AwaitOthers()
    assert policy.finished(hedge, Answered(), now) == Relay()


def test_a_target_that_hangs_is_ejected_although_hedges_cut_its_attempts():
    """Symptom: each request to a lost zone waits for its hedge, again and again.

    Events: a target takes requests and never answers; each attempt is cut when
    its hedge wins. Cause: what is cut counted as no failure.
    """
    policy = make_policy(4)
    now = warm_up(policy)
    for _ in range(3):
        attempt = send(policy, now)
        stuck = state(policy)
        attempt.target.note_finished(attempt.started)
        attempt.target = stuck
        stuck.note_sent(attempt.started)
        policy.cancelled(attempt, now + 1)
    assert stuck.ejected_until


def test_only_idempotent_requests_are_hedged():
    policy = make_policy()
    assert policy.hedge(send(policy, idempotent=False).call, 0.1) is None


# -- budgets ----------------------------------------------------------------------


def test_attempts_stay_near_one_when_everything_fails():
    """Symptom: an outage of all targets turns into many times the load.

    Events: all targets fail. Cause: each failure is answered with a retry.
    """
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


def test_one_target_that_refuses_does_not_use_up_the_budget():
    """Symptom: requests are lost although most targets have room.

    Events: one target of four sheds all it is offered. Cause: its refusals used
    up the retry budget before its pauses grew long enough.
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
def test_attempts_stay_near_one_when_every_target_refuses(result):
    policy = make_policy(16)
    attempts = 0
    for step in range(2000):
        decision = policy.arrive(make_call(step), step)
        while isinstance(decision, Send):
            attempts += 1
            decision = policy.finished(decision.attempt, result, step)
    assert attempts <= 1.1 * 2000


def test_a_request_that_is_itself_a_retry_is_not_repeated():
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


def test_no_more_is_in_flight_than_all_targets_have_slots():
    policy = make_policy(2, slots=3)
    assert len(fill(policy)) == 6


def test_what_waits_gets_the_room_that_comes_up():
    policy = make_policy(1, slots=1)
    attempt = send(policy)
    call = make_call()
    assert isinstance(policy.arrive(call, 0.0), Wait)
    assert policy.release(0.0) == []
    policy.finished(attempt, Answered(), 0.01)
    ((released, decision),) = policy.release(0.01)
    assert released is call
    assert isinstance(decision, Send)


def test_interactive_requests_go_first_and_then_the_nearest_deadline():
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


def test_waiting_background_work_does_not_hold_up_interactive_requests():
    """Symptom: the catalogue's answers are late while the archive is crawled.

    Events: background requests wait, since they get no more room; an interactive
    one arrives. Cause: it queued behind them although there was room for it.
    """
    policy = make_policy(4)
    while isinstance(policy.arrive(make_call(priority=Priority.BACKGROUND), 0.0), Send):
        pass
    assert policy.waiting
    assert isinstance(policy.arrive(make_call(), 0.0), Send)


def test_a_full_queue_refuses_at_once_and_background_gives_way():
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


def test_what_cannot_make_its_deadline_is_refused_while_it_waits():
    policy = make_policy(1, slots=1)
    now = warm_up(policy, latency=0.1)
    send(policy, now)
    call = make_call(now, seconds=0.2)
    decision = policy.arrive(call, now)
    assert isinstance(decision, Wait)
    ((released, refused),) = policy.release(decision.until + 0.001)
    assert released is call
    assert refused.cause is Cause.DEADLINE


def test_what_cannot_make_its_deadline_is_refused_at_once():
    policy = make_policy(1, slots=1)
    now = warm_up(policy, latency=0.1)
    send(policy, now)
    assert policy.arrive(make_call(now, seconds=0.05), now).cause is Cause.DEADLINE
    assert policy.arrive(make_call(now, seconds=0.0), now).cause is Cause.DEADLINE


def test_the_window_is_cut_when_targets_queue_and_grows_when_they_do_not():
    policy = make_policy(4)
    before = policy._room._window.limit
    now = 0.0
    for _ in range(100):
        now += 1
        attempt = send(policy, now)
        policy._targets._chooser.mean_others_load = 0.0
        policy.finished(attempt, Answered(report=LoadReport(9)), now + 0.005)
    assert policy._room._window.limit == policy._room._window.minimum
    cut = policy._room._window.limit
    assert cut < before / 2
    for _ in range(400):
        now += 0.01
        attempts = fill(policy, now)
        for attempt in attempts:
            policy.finished(attempt, Answered(report=LoadReport(0)), now)
        policy.release(now)
    assert policy._room._window.limit > cut
