"""Choice by status checks: targets checked, end of the rounds, target chosen."""

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
    train_route,
    with_retry_tokens,
)


def test_idle_target_of_the_own_zone_ends_the_status_checks():
    decision, rounds = decide(policy_of(*near(8), *far(8)), call())
    assert isinstance(decision, Send)
    assert len(rounds) == 1
    assert len(rounds[0]) == 4
    assert all(name.startswith("n") for name in rounds[0])


def test_the_faster_of_two_machines_is_chosen():
    """Guards against requests that take four times as long as at another machine.

    A busy neighbouring workload slows down a target without using its slots.
    """
    reports = {"n0": LoadReport(0, slowdown=4.0), "n1": LoadReport(1, slowdown=1.0)}
    decision, _ = decide(policy_of(*near(2)), call(), **reports)
    assert decision.attempt.target_name == "n1"


def test_more_targets_are_checked_only_if_none_is_good_enough():
    busy = LoadReport(4, slowdown=4.0)
    targets = [*near(4), *far(8)]
    reports = {f"n{index}": busy for index in range(4)}
    decision, rounds = decide(policy_of(*targets), call(), **reports)
    assert [len(names) for names in rounds] == [4, 4]
    assert decision.attempt.target_name.startswith("f")


def test_other_zones_are_checked_by_the_last_round_if_a_large_zone_is_busy():
    """Guards against a zone that queues while targets of other zones are idle.

    All rounds together check 14 targets. In a zone of 14 targets or more, no round was
    left for the other zones.
    """
    busy = {f"n{index}": LoadReport(4) for index in range(20)}
    policy = policy_of(*near(20), *far(20), spill_round=True)
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.25, route="r")
    decision, rounds = decide(policy, req, now=2.0, **busy)
    assert [names[0][0] for names in rounds] == ["n", "n", "f"]
    assert decision.attempt.target_name.startswith("f")


def test_last_round_stays_in_the_own_zone_if_a_target_there_is_in_time():
    crowded = {f"n{index}": LoadReport(3) for index in range(20)}
    policy = policy_of(*near(20), *far(20), spill_round=True)
    train_route(policy, "r", 0.1)
    req = call(now=2.0, objective=2.35, route="r")
    decision, rounds = decide(policy, req, now=2.0, **crowded)
    assert all(name.startswith("n") for names in rounds for name in names)
    assert decision.attempt.target_name.startswith("n")


def test_no_target_is_checked_twice_for_one_attempt():
    busy = {f"n{index}": LoadReport(5) for index in range(20)}
    _, rounds = decide(policy_of(*near(20)), call(), **busy)
    checked = [name for names in rounds for name in names]
    assert len(checked) == len(set(checked)) == 14


def test_recent_report_replaces_a_status_check():
    policy = policy_of(*near(4))
    decide(policy, call(now=1.0), now=1.0)
    decision, rounds = decide(policy, call(now=1.002), now=1.002)
    assert isinstance(decision, Send)
    assert rounds == []


def test_requests_one_after_the_other_use_all_idle_targets():
    """Guards against idle targets that get no requests as they are last on the ring."""
    policy = policy_of(*near(4))
    chosen = []
    for second in range(1, 9):
        decision, _ = decide(policy, call(now=second), now=second)
        policy.finished(decision.attempt, Answered(), second + 0.1)
        chosen.append(decision.attempt.target_name)
    assert len(set(chosen[:4])) == 4
    assert chosen[4:] == chosen[:4]


def test_own_requests_since_the_report_are_added_to_it():
    """Guards against a group of concurrent requests that all go to one idle target.

    The report of the target is older than these requests, which have to be added.
    """
    policy = policy_of(*near(4))
    chosen = set()
    for index in range(4):
        now = 1.0 + index / 1000
        decision, _ = decide(policy, call(now=now), now=now)
        chosen.add(decision.attempt.target_name)
    assert len(chosen) == 4


def test_unresponsive_targets_are_the_last_choice():
    """Guards against requests that hang at a target whose machine has crashed.

    By its last report, the target looks idle.
    """
    silent = {"n0": None, "n1": None, "n2": None}
    policy = policy_of(*near(4))
    for index in range(20):
        now = 1.0 + index
        decision, _ = decide(policy, call(now=now), now=now, **silent)
        assert decision.attempt.target_name == "n3"
        policy.finished(decision.attempt, Answered(), now + 0.1)


def test_requests_are_sent_even_if_no_status_check_is_answered():
    policy = policy_of(*near(2))
    decision, rounds = decide(policy, call(), n0=None, n1=None)
    assert isinstance(decision, Send)
    assert len(rounds) == 1


def test_unhealthy_target_is_used_only_without_a_better_one():
    policy = policy_of(*near(2))
    req = call()
    check = policy.arrive(req, 1.0)
    assert isinstance(check, CheckStatus)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    policy.note_check("n1", LoadReport(0), True, 1.0)
    decision = policy.resume(req, 1.0)
    assert decision.attempt.target_name == "n1"
    policy = policy_of(target("n0"))
    req = call()
    policy.arrive(req, 1.0)
    policy.note_check("n0", LoadReport(0), False, 1.0)
    assert policy.resume(req, 1.0).attempt.target_name == "n0"


def test_cold_target_gets_fewer_requests():
    warm, cold = target("warm"), target("cold", warmup_s=3.0)
    policy = policy_of(warm, cold, now=0.5)
    decision, _ = decide(policy, call(), warm=LoadReport(1), cold=LoadReport(0))
    assert decision.attempt.target_name == "warm"
    decision, _ = decide(policy, call(5.0), 5.0, warm=LoadReport(3), cold=LoadReport(0))
    assert decision.attempt.target_name == "cold"


def test_request_is_refused_at_once_if_all_targets_are_full():
    full = {f"n{index}": LoadReport(8) for index in range(3)}
    decision, _ = decide(policy_of(*near(3)), call(), **full)
    assert decision == Refuse(Cause.OVERLOAD, decision.retry_after)
    assert decision.retry_after > 0


def test_retry_after_a_refusal_excludes_the_refusing_target():
    policy = with_retry_tokens(policy_of(*near(2)))
    decision, _ = decide(policy, call())
    first = decision.attempt
    retry = policy.finished(first, TargetRefused(), 1.01)
    while isinstance(retry, CheckStatus):
        assert first.target_name not in [record.name for record in retry.targets]
        answer(policy, retry, 1.01)
        retry = policy.resume(first.call, 1.01)
    assert retry.attempt.kind is AttemptKind.RETRY
    assert retry.attempt.target_name != first.target_name


def test_route_limits_the_number_of_attempts():
    policy = policy_of(*near(6))
    decision, _ = decide(policy, call(max_attempts=1))
    assert isinstance(policy.finished(decision.attempt, TargetRefused(), 1.1), Refuse)


def test_failed_answer_is_relayed_if_no_other_target_is_left():
    policy = with_retry_tokens(policy_of(target("n0")))
    decision, _ = decide(policy, call())
    tokens = policy.snapshot(1.0)["retry_tokens"]
    assert policy.finished(decision.attempt, Answered(failed=True), 1.1) == Relay()
    # Tokens that accrue over time are far fewer than 1.
    assert 0 <= policy.snapshot(1.1)["retry_tokens"] - tokens < 0.1


def test_failed_answer_is_relayed_if_all_other_targets_are_full():
    """Guards against a generated 502 although a target answered.

    The answer is a failure, the request may be retried, and all other targets report
    in status checks that they are full. The failed answer must be kept until then.
    """
    policy = with_retry_tokens(policy_of(*near(3)))
    decision, _ = decide(policy, call(), n1=LoadReport(9), n2=LoadReport(9))
    tokens = policy.snapshot(1.0)["retry_tokens"]
    retry = policy.finished(decision.attempt, Answered(failed=True), 1.1)
    assert isinstance(retry, CheckStatus)
    answer(policy, retry, 1.1, {"n1": LoadReport(9), "n2": LoadReport(9)})
    assert policy.resume(decision.attempt.call, 1.1) == Relay()
    # Tokens that accrue over time are far fewer than 1.
    assert 0 <= policy.snapshot(1.1)["retry_tokens"] - tokens < 0.1


def test_deadline_that_passes_during_status_checks_ends_the_request():
    policy = policy_of(*near(2))
    req = call()
    assert isinstance(policy.arrive(req, 1.0), CheckStatus)
    assert policy.resume(req, 3.0).cause is Cause.DEADLINE


@pytest.mark.parametrize("instances", [1, 6])
def test_instances_share_the_slack_of_the_retry_budget(instances):
    service = attrs.evolve(SERVICE, retry_ratio=0.0)
    policy = ServicePolicy(service, "near", random.Random(3), settings_for("ask-first"))
    policy.update(service, near(30), 0.0)
    policy.set_instances(instances)
    with_retry_tokens(policy, requests=1)
    retries = 0
    for index in range(20):
        # All within one window, after a time without retries.
        now = 100.0 + index / 2
        decision, _ = decide(policy, call(now=now), now=now)
        after = policy.finished(decision.attempt, TargetRefused(), now)
        retries += isinstance(after, CheckStatus | Send)
    # A tenth of the budget is never spent; see `budget_share`.
    assert retries == int(0.9 * 6 / instances)


def test_each_state_change_of_a_target_is_reported_once():
    policy = policy_of(*near(2))
    for now in (1.0, 2.0, 5.0):
        policy.note_check("n0", None, False, now)
    policy.note_check("n0", LoadReport(0), True, 6.0)
    reported = [(event.target, str(event.condition)) for event in policy.take_events()]
    assert reported == [("n0", "silent"), ("n0", "heard again")]
    assert policy.take_events() == []


def test_ejection_is_reported_with_its_reasons():
    policy = policy_of(*near(4))
    for index in range(3):
        now = 1.0 + index
        others = dict.fromkeys(["n1", "n2", "n3"], LoadReport(3))
        decision, _ = decide(policy, call(now=now), now=now, **others)
        policy.finished(decision.attempt, Answered(failed=True), now + 0.1)
    (event,) = policy.take_events()
    assert (event.target, str(event.condition)) == ("n0", "ejected")
    assert event.inputs == {"failures": 3, "for_s": 1.0}
