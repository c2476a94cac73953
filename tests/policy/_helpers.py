"""Helpers for policies without status checks; tests pass in the time."""

import random

from cairnferry.policy import (
    Answered,
    Call,
    Send,
    ServicePolicy,
)
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.1, True, 8)


def make_target(index, slots=4, zone="near", lifecycle=Lifecycle.ACTIVE):
    name = f"t{index}"
    return Target(name, "s", zone, "10.0.0.1", 80 + index, slots, lifecycle, "/h", None)


def make_policy(count=4, service=SERVICE, targets=None, **fields):
    policy = ServicePolicy(service, "near", random.Random(3))
    records = targets or [make_target(i, **fields) for i in range(count)]
    policy.update(service, records, 0.0)
    policy._capacity._window.limit = policy._capacity._window.maximum
    return policy


def state(policy, name="t0"):
    (found,) = [target for target in policy._targets if target.name == name]
    return found


def make_call(now=0.0, idempotent=True, seconds=1.0, **fields):
    return Call(now, now + seconds, idempotent, **fields)


def send(policy, now=0.0, **fields):
    decision = policy.arrive(make_call(now, **fields), now)
    assert isinstance(decision, Send)
    return decision.attempt


def warm_up(policy, latency=0.01, count=40):
    """Let requests finish until latencies are known; return the time after the last."""
    now = 0.0
    for _ in range(count):
        attempt = send(policy, now)
        now += latency
        policy.finished(attempt, Answered(), now)
    return now
