"""Tests of a service's policy around the time without a working path."""

import random

from cairnferry.policy import (
    Call,
    CheckStatus,
    LoadReport,
    NotRun,
    Send,
    ServicePolicy,
    settings_for,
)
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8)
TARGETS = [
    Target(f"t{i}", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/", None)
    for i in range(8)
]


def new_policy():
    policy = ServicePolicy(SERVICE, "z", random.Random(1), settings_for("ask-first"))
    policy.update(SERVICE, TARGETS, 0.0)
    return policy


def miss_checks(policy, began):
    for target in TARGETS:
        for _ in range(4):
            policy.note_missed_check(target.identity, began)
        policy.paths.note_no_answer(target.identity, began)


def call_at(now):
    return Call(arrived=now, deadline=now + 1.0, idempotent=True, route="r")


def test_all_targets_are_checked_again_with_the_first_answer():
    """Guards against a daemon that uses one target for seconds after a partition."""
    policy = new_policy()
    miss_checks(policy, 10.0)
    assert policy.paths.are_broken(10.1)
    policy.note_check("t0", LoadReport(3.9), True, 11.0)
    policy.note_answer("t0", 11.0)
    assert not policy.paths.are_broken(11.0)
    assert not policy.paths.are_impaired()
    decision = policy.arrive(call_at(11.05), 11.05)
    assert isinstance(decision, CheckStatus)
    assert "t0" not in {target.name for target in decision.targets[1:]}
    assert len(decision.targets) > 1


def test_attempt_without_a_connection_is_evidence():
    policy = new_policy()
    policy.update(SERVICE, TARGETS[:1], 0.0)
    call = call_at(1.0)
    assert isinstance(policy.arrive(call, 1.0), CheckStatus)
    policy.note_check("t0", LoadReport(0), True, 1.0)
    policy.note_answer("t0", 1.0)
    decision = policy.resume(call, 1.0)
    assert isinstance(decision, Send)
    assert not policy.paths.are_broken(1.3)
    policy.finished(decision.attempt, NotRun(), 1.3)
    assert call.is_unreached
    assert policy.paths.are_broken(1.3)
