"""Choice by asking: whom, when it is enough, and what is chosen."""

import random

import attrs
import pytest

from cairnferry.policy import (
    Answered,
    AttemptKind,
    Cause,
    CheckStatus,
    LoadReport,
    Refuse,
    Relay,
    Send,
    ServicePolicy,
    TargetRefused,
    settings_for,
)
from policy._status_checks import (
    SERVICE,
    answer,
    call,
    decide,
    far,
    near,
    policy_of,
    target,
    with_retry_tokens,
)


def test_an_idle_target_of_the_own_zone_ends_the_asking():
    decision, rounds = decide(policy_of(*near(8), *far(8)), call())
    assert isinstance(decision, Send)
    assert len(rounds) == 1
    assert len(rounds[0]) == 4
    assert all(name.startswith("n") for name in rounds[0])


def test_the_faster_of_two_machines_is_chosen():
    """Symptom: requests take four times as long although other machines are calm.

    Cause: a busy neighbour on the target's machine, which its slots do not show.
    """
    reports = {"n0": LoadReport(0, slowdown=4.0), "n1": LoadReport(1, slowdown=1.0)}
    decision, _ = decide(policy_of(*near(2)), call(), **reports)
    assert decision.attempt.target_name == "n1"


def test_more_are_asked_only_if_none_will_do():
    busy = LoadReport(4, slowdown=4.0)
    targets = [*near(4), *far(8)]
    reports = {f"n{index}": busy for index in range(4)}
    decision, rounds = decide(policy_of(*targets), call(), **reports)
    assert [len(names) for names in rounds] == [4, 4]
    assert decision.attempt.target_name.startswith("f")


def test_no_target_is_asked_twice_for_one_attempt():
    busy = {f"n{index}": LoadReport(5) for index in range(20)}
    _, rounds = decide(policy_of(*near(20)), call(), **busy)
    asked = [name for names in rounds for name in names]
    assert len(asked) == len(set(asked)) == 14


def test_what_was_heard_a_moment_ago_is_not_asked_again():
    policy = policy_of(*near(4))
    decide(policy, call(now=1.0), now=1.0)
    decision, rounds = decide(policy, call(now=1.002), now=1.002)
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
        decision, _ = decide(policy, call(now=now), now=now)
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
        decision, _ = decide(policy, call(now=now), now=now, **silent)
        assert decision.attempt.target_name == "n3"
        policy.finished(decision.attempt, Answered(), now + 0.1)


def test_if_no_check_is_answered_requests_still_go_out():
    policy = policy_of(*near(2))
    decision, rounds = decide(policy, call(), n0=None, n1=None)
    assert isinstance(decision, Send)
    assert len(rounds) == 1


def test_a_target_that_calls_itself_ill_is_used_if_all_others_are_worse():
    policy = policy_of(*near(2))
    req = call()
    ask = policy.arrive(req, 1.0)
    assert isinstance(ask, CheckStatus)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    policy.note_check("n1", LoadReport(0), True, 1.0)
    decision = policy.resume(req, 1.0)
    assert decision.attempt.target_name == "n1"
    policy = policy_of(target("n0"))
    req = call()
    policy.arrive(req, 1.0)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    assert policy.resume(req, 1.0).attempt.target_name == "n0"


def test_a_target_that_has_just_started_gets_less():
    warm, cold = target("warm"), target("cold", warmup_s=3.0)
    policy = policy_of(warm, cold, now=0.5)
    decision, _ = decide(policy, call(), warm=LoadReport(1), cold=LoadReport(0))
    assert decision.attempt.target_name == "warm"
    decision, _ = decide(policy, call(5.0), 5.0, warm=LoadReport(3), cold=LoadReport(0))
    assert decision.attempt.target_name == "cold"


def test_a_request_that_no_target_has_room_for_is_told_at_once():
    full = {f"n{index}": LoadReport(8) for index in range(3)}
    decision, _ = decide(policy_of(*near(3)), call(), **full)
    assert decision == Refuse(Cause.OVERLOAD, decision.retry_after)
    assert decision.retry_after > 0


def test_a_refusal_is_followed_by_a_new_search_without_that_target():
    policy = with_retry_tokens(policy_of(*near(2)))
    decision, _ = decide(policy, call())
    first = decision.attempt
    again = policy.finished(first, TargetRefused(), 1.01)
    while isinstance(again, CheckStatus):
        assert first.target_name not in [record.name for record in again.targets]
        answer(policy, again, 1.01)
        again = policy.resume(first.call, 1.01)
    assert again.attempt.kind is AttemptKind.RETRY
    assert again.attempt.target_name != first.target_name


def test_the_route_bounds_the_attempts():
    policy = policy_of(*near(6))
    decision, _ = decide(policy, call(max_attempts=1))
    assert isinstance(policy.finished(decision.attempt, TargetRefused(), 1.1), Refuse)


def test_a_failed_answer_is_relayed_if_no_other_target_is_left():
    policy = with_retry_tokens(policy_of(target("n0")))
    decision, _ = decide(policy, call())
    tokens = policy.snapshot(1.0)["retry_tokens"]
    assert policy.finished(decision.attempt, Answered(failed=True), 1.1) == Relay()
    # What time alone brings is far less than one.
    assert 0 <= policy.snapshot(1.1)["retry_tokens"] - tokens < 0.1


def test_a_failed_answer_is_relayed_if_no_other_target_has_room():
    """Symptom: a caller gets a 502 of the system's own, although a target answered.

    Events: the target's answer is a failure, the request may be repeated, and all
    others say that they are full when they are asked. Cause: the answer was dropped as
    soon as others were asked.
    """
    policy = with_retry_tokens(policy_of(*near(3)))
    decision, _ = decide(policy, call(), n1=LoadReport(9), n2=LoadReport(9))
    tokens = policy.snapshot(1.0)["retry_tokens"]
    again = policy.finished(decision.attempt, Answered(failed=True), 1.1)
    assert isinstance(again, CheckStatus)
    answer(policy, again, 1.1, {"n1": LoadReport(9), "n2": LoadReport(9)})
    assert policy.resume(decision.attempt.call, 1.1) == Relay()
    # What time alone brings is far less than one.
    assert 0 <= policy.snapshot(1.1)["retry_tokens"] - tokens < 0.1


def test_a_deadline_that_passes_while_targets_are_asked_ends_the_request():
    policy = policy_of(*near(2))
    req = call()
    assert isinstance(policy.arrive(req, 1.0), CheckStatus)
    assert policy.resume(req, 3.0).cause is Cause.DEADLINE


@pytest.mark.parametrize("instances", [1, 6])
def test_instances_share_what_may_be_repeated_beyond_the_ratio(instances):
    service = attrs.evolve(SERVICE, retry_ratio=0.0)
    policy = ServicePolicy(service, "near", random.Random(3), settings_for("ask-first"))
    policy.update(service, near(30), 0.0)
    policy.set_instances(instances)
    with_retry_tokens(policy, requests=1)
    repeats = 0
    for index in range(20):
        # One window, after a time in which nothing was spent.
        now = 100.0 + index / 2
        decision, _ = decide(policy, call(now=now), now=now)
        after = policy.finished(decision.attempt, TargetRefused(), now)
        repeats += isinstance(after, CheckStatus | Send)
    # A tenth of what is allowed is never spent.
    assert repeats == int(0.9 * 6 / instances)


def test_what_is_believed_of_a_target_is_told_once():
    policy = policy_of(*near(2))
    for now in (1.0, 2.0, 5.0):
        policy.note_check("n0", None, False, now)
    policy.note_check("n0", LoadReport(0), True, 6.0)
    told = [(event.target, str(event.condition)) for event in policy.take_events()]
    assert told == [("n0", "silent"), ("n0", "heard again")]
    assert policy.take_events() == []


def test_an_ejection_is_told_with_what_decided_it():
    policy = policy_of(*near(4))
    for index in range(3):
        now = 1.0 + index
        others = dict.fromkeys(["n1", "n2", "n3"], LoadReport(3))
        decision, _ = decide(policy, call(now=now), now=now, **others)
        policy.finished(decision.attempt, Answered(failed=True), now + 0.1)
    (event,) = policy.take_events()
    assert (event.target, str(event.condition)) == ("n0", "ejected")
    assert event.inputs == {"failures": 3, "for_s": 1.0}
