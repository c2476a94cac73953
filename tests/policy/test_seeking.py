"""Choice by asking: whom, when it is enough, and what is chosen."""

import random

import attrs
import pytest

from cairnferry.policy import (
    Answered,
    Ask,
    AttemptKind,
    Call,
    Cause,
    LoadReport,
    Refuse,
    Relay,
    Send,
    ServicePolicy,
    TargetRefused,
    settings_for,
)
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8, retry_slack=6, retry_window_s=10.0)


def target(name, zone="near", slots=4, **more):
    return Target(
        name, "s", zone, "10.0.0.1", 80, slots, Lifecycle.ACTIVE, "/h", None, **more
    )


def policy_of(*targets, now=0.0):
    policy = ServicePolicy(SERVICE, "near", random.Random(3), settings_for("ask-first"))
    policy.update(SERVICE, list(targets), now)
    return policy


def call(now=1.0, **more):
    return Call(arrived=now, deadline=now + 1, idempotent=True, **more)


IDLE = LoadReport(0)


def answer(policy, ask, now, reports=None):
    for record in ask.targets:
        report = (reports or {}).get(record.name, IDLE)
        policy.note_check(record.name, report, report is not None, now)


def settle(policy, req, now=1.0, **reports):
    """Answer rounds of questions until something else is decided."""
    decision = policy.arrive(req, now)
    rounds = []
    while isinstance(decision, Ask):
        rounds.append([record.name for record in decision.targets])
        answer(policy, decision, now, reports)
        decision = policy.asked(req, now)
    return decision, rounds


def near(count):
    return [target(f"n{index}") for index in range(count)]


def far(count):
    return [target(f"f{index}", "far") for index in range(count)]


def test_an_idle_target_of_the_own_zone_ends_the_asking():
    decision, rounds = settle(policy_of(*near(8), *far(8)), call())
    assert isinstance(decision, Send)
    assert len(rounds) == 1
    assert len(rounds[0]) == 4
    assert all(name.startswith("n") for name in rounds[0])


def test_the_faster_of_two_machines_is_chosen():
    """Symptom: requests take four times as long although other machines are calm.

    Cause: a busy neighbour on the target's machine, which its slots do not show.
    """
    reports = {"n0": LoadReport(0, pace=4.0), "n1": LoadReport(1, pace=1.0)}
    decision, _ = settle(policy_of(*near(2)), call(), **reports)
    assert decision.attempt.target_name == "n1"


def test_more_are_asked_only_if_none_will_do():
    busy = LoadReport(4, pace=4.0)
    targets = [*near(4), *far(8)]
    reports = {f"n{index}": busy for index in range(4)}
    decision, rounds = settle(policy_of(*targets), call(), **reports)
    assert [len(names) for names in rounds] == [4, 4]
    assert decision.attempt.target_name.startswith("f")


def test_no_target_is_asked_twice_for_one_attempt():
    busy = {f"n{index}": LoadReport(5) for index in range(20)}
    _, rounds = settle(policy_of(*near(20)), call(), **busy)
    asked = [name for names in rounds for name in names]
    assert len(asked) == len(set(asked)) == 14


def test_what_was_heard_a_moment_ago_is_not_asked_again():
    policy = policy_of(*near(4))
    settle(policy, call(now=1.0), now=1.0)
    decision, rounds = settle(policy, call(now=1.002), now=1.002)
    assert isinstance(decision, Send)
    assert rounds == []


def test_own_requests_since_the_report_count():
    """Symptom: requests of one moment all go to the target that was idle.

    Cause: each was compared by a report made before any of them was sent.
    """
    policy = policy_of(*near(4))
    chosen = set()
    for index in range(4):
        now = 1.0 + index / 1000
        decision, _ = settle(policy, call(now=now), now=now)
        chosen.add(decision.attempt.target_name)
    assert len(chosen) == 4


def test_targets_that_give_no_answer_are_the_last_choice():
    """Symptom: requests hang at a target that has crashed without a word.

    Cause: its last report, made before, called it idle.
    """
    silent = {"n0": None, "n1": None, "n2": None}
    policy = policy_of(*near(4))
    for index in range(20):
        now = 1.0 + index
        decision, _ = settle(policy, call(now=now), now=now, **silent)
        assert decision.attempt.target_name == "n3"
        policy.finished(decision.attempt, Answered(), now + 0.1)


def test_if_no_check_is_answered_requests_still_go_out():
    policy = policy_of(*near(2))
    decision, rounds = settle(policy, call(), n0=None, n1=None)
    assert isinstance(decision, Send)
    assert len(rounds) == 1


def test_a_target_that_calls_itself_ill_is_used_if_all_others_are_worse():
    policy = policy_of(*near(2))
    req = call()
    ask = policy.arrive(req, 1.0)
    assert isinstance(ask, Ask)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    policy.note_check("n1", LoadReport(0), True, 1.0)
    decision = policy.asked(req, 1.0)
    assert decision.attempt.target_name == "n1"
    policy = policy_of(target("n0"))
    req = call()
    policy.arrive(req, 1.0)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    assert policy.asked(req, 1.0).attempt.target_name == "n0"


def test_a_target_that_has_just_started_gets_less():
    warm, cold = target("warm"), target("cold", warmup_s=3.0)
    policy = policy_of(warm, cold, now=0.5)
    decision, _ = settle(policy, call(), warm=LoadReport(1), cold=LoadReport(0))
    assert decision.attempt.target_name == "warm"
    decision, _ = settle(policy, call(5.0), 5.0, warm=LoadReport(3), cold=LoadReport(0))
    assert decision.attempt.target_name == "cold"


def test_a_request_that_no_target_has_room_for_is_told_at_once():
    full = {f"n{index}": LoadReport(8) for index in range(3)}
    decision, _ = settle(policy_of(*near(3)), call(), **full)
    assert decision == Refuse(Cause.OVERLOAD, decision.retry_after)
    assert decision.retry_after > 0


def test_a_refusal_is_followed_by_a_new_search_without_that_target():
    policy = policy_of(*near(2))
    decision, _ = settle(policy, call())
    first = decision.attempt
    again = policy.finished(first, TargetRefused(), 1.01)
    while isinstance(again, Ask):
        assert first.target_name not in [record.name for record in again.targets]
        answer(policy, again, 1.01)
        again = policy.asked(first.call, 1.01)
    assert again.attempt.kind is AttemptKind.RETRY
    assert again.attempt.target_name != first.target_name


def test_the_route_bounds_the_attempts():
    policy = policy_of(*near(6))
    decision, _ = settle(policy, call(max_attempts=1))
    assert isinstance(policy.finished(decision.attempt, TargetRefused(), 1.1), Refuse)


def test_a_failed_answer_is_relayed_if_no_other_target_is_left():
    policy = policy_of(target("n0"))
    decision, _ = settle(policy, call())
    tokens = policy.snapshot(1.0)["retry_tokens"]
    assert policy.finished(decision.attempt, Answered(failed=True), 1.1) == Relay()
    assert policy.snapshot(1.1)["retry_tokens"] == tokens


def test_a_deadline_that_passes_while_targets_are_asked_ends_the_request():
    policy = policy_of(*near(2))
    req = call()
    assert isinstance(policy.arrive(req, 1.0), Ask)
    assert policy.asked(req, 3.0).cause is Cause.DEADLINE


@pytest.mark.parametrize("instances", [1, 6])
def test_instances_share_what_may_be_repeated_beyond_the_ratio(instances):
    service = attrs.evolve(SERVICE, retry_ratio=0.0)
    policy = ServicePolicy(service, "near", random.Random(3), settings_for("ask-first"))
    policy.update(service, near(30), 0.0)
    policy.share_with(instances)
    repeats = 0
    for index in range(20):
        now = 1.0 + index / 100
        decision, _ = settle(policy, call(now=now), now=now)
        after = policy.finished(decision.attempt, TargetRefused(), now)
        repeats += isinstance(after, Ask | Send)
    # A tenth of what is allowed is never spent.
    assert repeats == int(0.9 * 6 / instances)


# -- more than the targets can do ---------------------------------------------------


def learned(policy, route, seconds, rank=1, start=0.0):
    """Let the policy see what a route's requests take."""
    for index in range(30):
        now = start + index * 0.02
        req = call(now=now, route=route, rank=rank)
        decision, _ = settle(policy, req, now=now)
        policy.finished(decision.attempt, Answered(), now + seconds)


def busy(in_use, pace=1.0, count=3):
    return {f"n{index}": LoadReport(in_use, pace) for index in range(count)}


def test_a_request_waits_at_a_target_if_it_is_in_time_there():
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    req = call(now=2.0, objective=2.8, route="r")
    decision, _ = settle(policy, req, now=2.0, **busy(5))
    assert isinstance(decision, Send)


def test_a_target_is_not_filled_beyond_the_share_at_which_it_slows_down():
    """Symptom: in a burst fewer requests are answered than in a calm hour.

    Cause: with all its slots in use a target takes 1.7 times as long for each, and
    does less in all than with one slot left free.
    """
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    req = call(now=2.0, objective=2.3, route="r")
    assert isinstance(settle(policy, req, now=2.0, **busy(3))[0], Refuse)
    req = call(now=2.0, objective=2.3, route="r")
    assert isinstance(settle(policy, req, now=2.0, **busy(2))[0], Send)


def test_a_request_that_would_come_late_is_refused_at_once():
    """Symptom: in a burst nearly every answer comes late, while targets are busy.

    Events: requests come at 1.6 times what the targets can do. All are let in, the
    targets' queues fill, and what leaves them has passed its objective. Cause: each
    request was sent although its own wait was known.
    """
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    req = call(now=2.0, objective=2.15, route="r")
    decision, _ = settle(policy, req, now=2.0, **busy(6))
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.OVERLOAD


def test_short_work_still_finds_room_where_long_work_does_not():
    policy = policy_of(*near(3))
    learned(policy, "long", 0.3)
    learned(policy, "short", 0.03, start=1.0)
    full = busy(5)
    long = call(now=2.0, objective=2.4, route="long")
    short = call(now=2.0, objective=2.4, route="short")
    assert isinstance(settle(policy, long, now=2.0, **full)[0], Refuse)
    assert isinstance(settle(policy, short, now=2.0, **full)[0], Send)


def test_less_urgent_requests_are_refused_first():
    policy = policy_of(*near(3))
    learned(policy, "urgent", 0.1, rank=1)
    learned(policy, "other", 0.1, rank=2, start=1.0)
    full = busy(5)
    urgent = call(now=2.0, objective=2.7, route="urgent", rank=1)
    other = call(now=2.0, objective=2.7, route="other", rank=2)
    assert isinstance(settle(policy, urgent, now=2.0, **full)[0], Send)
    assert isinstance(settle(policy, other, now=2.0, **full)[0], Refuse)


def test_a_free_slot_is_used_even_if_the_answer_will_be_late():
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    req = call(now=2.0, objective=2.01, route="r")
    assert isinstance(settle(policy, req, now=2.0, **busy(2, pace=4.0))[0], Send)


def test_those_refused_together_come_back_spread_and_in_time():
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    returns = []
    for _ in range(20):
        req = call(now=2.0, objective=2.3, route="r")
        decision, _ = settle(policy, req, now=2.0, **busy(9))
        returns.append(decision.retry_after)
    assert len(set(returns)) > 10
    assert all(0.05 <= after <= 0.15 for after in returns)


def test_a_request_that_targets_shed_is_told_to_come_back_in_time():
    """Symptom: targets shed half of all requests, and those that come back are late.

    Cause: only what the policy itself refused was told when to come back in time.
    """
    policy = policy_of(*near(3))
    learned(policy, "r", 0.1)
    req = call(now=2.0, objective=2.3, route="r", max_attempts=1)
    decision, _ = settle(policy, req, now=2.0)
    refused = policy.finished(decision.attempt, TargetRefused(), 2.01)
    assert isinstance(refused, Refuse)
    assert refused.retry_after <= 0.15


# -- targets that hang ----------------------------------------------------------------


def in_flight(policy, now, **more):
    """Let the policy send an idempotent request; give its attempt."""
    req = call(now=now, route="r", **more)
    decision, _ = settle(policy, req, now=now)
    return decision.attempt


def test_a_target_that_gave_no_answer_is_not_asked_again_at_once():
    """Symptom: while one target is dead all requests take 30 ms longer.

    Cause: each of them asked it, and waited for its answer.
    """
    policy = policy_of(*near(4))
    settle(policy, call(), n0=None)
    decision = policy.arrive(call(now=1.1), 1.1)
    assert "n0" not in [record.name for record in decision.targets]
    decision = policy.arrive(call(now=1.4), 1.4)
    assert "n0" in [record.name for record in decision.targets]


def test_a_request_at_a_target_that_is_silent_goes_to_another_one():
    """Symptom: lookups take their whole deadline although 19 targets are well.

    Events: a target's machine goes dark while it runs the lookup. Cause: nothing
    told that the answer would not come.
    """
    policy = policy_of(*near(4))
    learned(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert policy.hedge(attempt.call, 2.05) is None
    ask = policy.hedge(attempt.call, 2.2)
    assert [record.name for record in ask.targets] == [attempt.target_name]
    policy.note_check(attempt.target_name, None, False, 2.21)
    second = policy.hedge(attempt.call, 2.23)
    assert second.attempt.kind is AttemptKind.HEDGE
    assert second.attempt.target_name != attempt.target_name
    assert policy.hedge(attempt.call, 2.3) is None


def test_a_request_that_is_only_slow_is_left_alone():
    policy = policy_of(*near(4))
    learned(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.2), Ask)
    policy.note_check(attempt.target_name, LoadReport(1), True, 2.21)
    assert policy.hedge(attempt.call, 2.22) is None


def test_a_request_that_takes_far_too_long_is_sent_again_all_the_same():
    policy = policy_of(*near(4))
    learned(policy, "r", 0.1)
    attempt = in_flight(policy, 2.0)
    assert isinstance(policy.hedge(attempt.call, 2.6), Send)


def test_an_order_is_never_sent_again_because_it_is_slow():
    policy = policy_of(*near(4))
    learned(policy, "r", 0.1)
    req = Call(arrived=2.0, deadline=9.0, idempotent=False, route="r")
    settle(policy, req, now=2.0)
    assert policy.hedge(req, 8.0) is None


def test_hedges_keep_to_the_budget_of_retries():
    policy = policy_of(*near(30))
    learned(policy, "r", 0.1)
    hedges = 0
    for index in range(60):
        now = 2.0 + index / 100
        attempt = in_flight(policy, now)
        hedges += isinstance(policy.hedge(attempt.call, now + 0.6), Send)
    assert 0 < hedges <= 0.2 * 90 + 6


# -- what is told of targets ---------------------------------------------------------


def test_what_is_believed_of_a_target_is_told_once():
    policy = policy_of(*near(2))
    for now in (1.0, 2.0, 5.0):
        policy.note_check("n0", None, False, now)
    policy.note_check("n0", LoadReport(0), True, 6.0)
    told = [(event.target, str(event.belief)) for event in policy.take_events()]
    assert told == [("n0", "silent"), ("n0", "heard again")]
    assert policy.take_events() == []


def test_an_ejection_is_told_with_what_decided_it():
    policy = policy_of(*near(4))
    for index in range(3):
        now = 1.0 + index
        others = dict.fromkeys(["n1", "n2", "n3"], LoadReport(3))
        decision, _ = settle(policy, call(now=now), now=now, **others)
        policy.finished(decision.attempt, Answered(failed=True), now + 0.1)
    (event,) = policy.take_events()
    assert (event.target, str(event.belief)) == ("n0", "ejected")
    assert event.inputs == {"failures": 3, "for_s": 1.0}
