"""Choice of a target by load, without status checks."""

import attrs
import pytest

from cairnferry.policy import (
    Answered,
    Cause,
    DrainSource,
    Refuse,
    Relay,
    Send,
    TargetRefused,
    Wait,
)
from cairnferry.records import Lifecycle, Priority
from policy._helpers import (
    SERVICE,
    make_call,
    make_policy,
    make_target,
    send,
    state,
    warm_up,
)


def count_requests(policy, now, count=400, latency=0.01):
    """Count the requests that each target gets if requests finish at once."""
    counts = {target.name: 0 for target in policy._targets}
    for _ in range(count):
        now += latency
        attempt = send(policy, now)
        counts[attempt.target_name] += 1
        policy.finished(attempt, Answered(), now + latency / 2)
    return counts


def test_own_zone_is_preferred_until_its_load_is_high():
    targets = [make_target(0, zone="near"), make_target(1, zone="far")]
    policy = make_policy(targets=targets)
    first = [send(policy).target_name for _ in range(3)]
    assert first == ["t0", "t0", "t1"]


def test_slow_target_gets_no_more_requests():
    policy = make_policy(4)
    now = warm_up(policy, count=100)
    slow = state(policy)
    open_attempts = [send(policy, now) for _ in range(4)]
    assert any(attempt.target is slow for attempt in open_attempts)
    later = now + 0.2
    for attempt in open_attempts:
        if attempt.target is not slow:
            policy.finished(attempt, Answered(), now + 0.01)
    assert count_requests(policy, later)["t0"] == 0


def test_fast_failures_do_not_count_as_low_load():
    """Guards against a broken target that attracts most of the traffic.

    A target that answers each request with an immediate error looks idle and fast.
    """
    policy = make_policy(4)
    now = warm_up(policy, count=100)
    sent = 0
    for _ in range(1000):
        now += 0.001
        decision = policy.arrive(make_call(now, idempotent=False), now)
        attempt = decision.attempt
        failed = attempt.target_name == "t0"
        sent += failed
        policy.finished(attempt, Answered(failed=failed), now + 0.0005)
    assert sent <= 10


def test_ejected_target_returns_by_one_trial_at_a_time():
    policy = make_policy(4)
    now = warm_up(policy, count=100)
    target = state(policy)
    for _ in range(3):
        policy._targets._ejector.note_failure(target, policy._targets, now)
    policy._targets._usable.invalidate()
    assert count_requests(policy, now, count=50)["t0"] == 0
    later = target.ejected_until + 1
    attempts = [send(policy, later) for _ in range(6)]
    trials = [attempt for attempt in attempts if attempt.target is target]
    assert [attempt.trial for attempt in trials] == [True]
    policy.finished(trials[0], Answered(), later + 0.01)
    assert not target.ejected_until


def test_not_all_targets_are_ejected():
    policy = make_policy(4)
    for target in list(policy._targets) * 3:
        policy._targets._ejector.note_failure(target, policy._targets, 1.0)
    assert sum(bool(t.ejected_until) for t in policy._targets) == 2


@pytest.mark.parametrize("source", DrainSource)
def test_any_source_suffices_for_draining(source):
    policy = make_policy(2)
    if source is DrainSource.RECORD:
        draining = make_target(0, lifecycle=Lifecycle.DRAINING)
        policy.update(SERVICE, [draining, make_target(1)], 0.0)
    elif source is DrainSource.REFUSAL:
        attempts = [send(policy) for _ in range(2)]
        first = attempts[0]
        policy.finished(first, TargetRefused(draining=True), 0.0)
        assert count_requests(policy, 1.0)[first.target_name] == 0
        return
    else:
        policy.note_draining("t0", source, 100.0)
    assert count_requests(policy, 1.0, count=40)["t0"] == 0


def test_queued_requests_are_not_sent_to_a_draining_target():
    policy = make_policy(1, slots=1)
    attempt = send(policy)
    call = make_call()
    policy.arrive(call, 0.0)
    policy.note_draining("t0", DrainSource.HEALTH, 100.0)
    policy.finished(attempt, Answered(), 0.01)
    ((_, decision),) = policy.release(0.01)
    assert isinstance(decision, Refuse)
    assert decision.cause is Cause.NO_TARGET


def test_with_no_target_left_requests_are_refused_at_once():
    policy = make_policy(1)
    policy.note_draining("t0", DrainSource.PLATFORM, 100.0)
    assert policy.arrive(make_call(), 0.0).cause is Cause.NO_TARGET


def test_new_target_ramps_up_slowly():
    policy = make_policy(3)
    now = warm_up(policy)
    policy.update(SERVICE, [make_target(i) for i in range(4)], now)
    early = sum(send(policy, now).target_name == "t3" for _ in range(6))
    assert early <= 1


def test_requests_in_flight_are_counted_correctly_after_a_target_is_replaced():
    """Guards against internal errors after the address of a target changes.

    Answers to requests at the earlier address must not be subtracted from the count of
    the new target.
    """
    policy = make_policy(1)
    attempt = send(policy)
    policy.update(SERVICE, [make_target(0), make_target(1)], 0.0)
    moved = attrs.evolve(make_target(0), port=9999)
    policy.update(SERVICE, [moved], 0.0)
    assert policy.finished(attempt, Answered(), 0.1) == Relay()
    assert state(policy).in_flight == 0


def test_background_requests_use_only_their_share_of_the_capacity():
    policy = make_policy(4)
    background = 0
    while isinstance(policy.arrive(make_call(priority=Priority.BACKGROUND), 0.0), Send):
        background += 1
    assert 0 < background <= policy.settings.background_share * 16
    assert isinstance(policy.arrive(make_call(), 0.0), Wait | Send)
