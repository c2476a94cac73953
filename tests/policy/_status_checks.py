"""Helpers for policies with status checks: policies, requests and answers."""

import random

import attrs

from cairnferry.policy import (
    Answered,
    Call,
    CheckStatus,
    LoadReport,
    ServicePolicy,
    settings_for,
)
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8, retry_slack=6, retry_window_s=10.0)


def target(name, zone="near", slots=4, **more):
    return Target(
        name, "s", zone, "10.0.0.1", 80, slots, Lifecycle.ACTIVE, "/h", None, **more
    )


def policy_of(*targets, now=0.0, **checks):
    """Return a policy; keywords change the settings of its status checks."""
    settings = settings_for("ask-first")
    checks = attrs.evolve(settings.status_checks, **checks)
    settings = attrs.evolve(settings, status_checks=checks)
    policy = ServicePolicy(SERVICE, "near", random.Random(3), settings)
    policy.update(SERVICE, list(targets), now)
    return policy


def with_retry_tokens(policy, now=0.0, requests=10):
    """Let requests arrive that earn retry tokens; a new policy has none."""
    for _ in range(requests):
        policy.arrive(call(now=now, route="other"), now)
    return policy


def ejected(policy):
    """Let the first of three targets fail until it is ejected; return the policy."""
    for index in range(4):
        now = 1.0 + index / 10
        others = dict.fromkeys(["n1", "n2"], LoadReport(3))
        decision, _ = decide(policy, call(now=now), now=now, **others)
        policy.finished(decision.attempt, Answered(failed=True), now + 0.01)
    assert policy._targets._usable.ejected
    return policy


def recreated_policy(*targets, advisories, now):
    """Return the new policy of a service that was removed and restored."""
    settings = settings_for("ask-first")
    policy = ServicePolicy(
        SERVICE, "near", random.Random(3), settings, advisories=advisories
    )
    policy.update(SERVICE, list(targets), now)
    return policy


def call(now=1.0, **more):
    return Call(arrived=now, deadline=now + 1, idempotent=True, **more)


IDLE = LoadReport(0)


def answer(policy, check, now, reports=None):
    for record in check.targets:
        report = (reports or {}).get(record.name, IDLE)
        policy.note_check(record.name, report, report is not None, now)


def decide(policy, req, now=1.0, **reports):
    """Answer status checks; return the first other decision, and the rounds."""
    decision = policy.arrive(req, now)
    rounds = []
    while isinstance(decision, CheckStatus):
        rounds.append([record.name for record in decision.targets])
        answer(policy, decision, now, reports)
        decision = policy.resume(req, now)
    return decision, rounds


def near(count, **more):
    return [target(f"n{index}", **more) for index in range(count)]


def far(count):
    return [target(f"f{index}", "far") for index in range(count)]


def train_route(policy, route, seconds, rank=1, start=0.0):
    """Let requests of a route finish, each after the given time in seconds."""
    for index in range(30):
        now = start + index * 0.02
        req = call(now=now, route=route, rank=rank)
        decision, _ = decide(policy, req, now=now)
        policy.finished(decision.attempt, Answered(), now + seconds)


def busy(in_use, slowdown=1.0, count=3):
    return {f"n{index}": LoadReport(in_use, slowdown) for index in range(count)}


def in_flight(policy, now, **more):
    """Let the policy send an idempotent request, and return its attempt."""
    req = call(now=now, route="r", **more)
    decision, _ = decide(policy, req, now=now)
    return decision.attempt
