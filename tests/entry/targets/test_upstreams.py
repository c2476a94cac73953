"""Exchanges with targets that become unavailable before a request is sent."""

import math
import time

import pytest

from cairnferry.entry.targets import Upstreams
from cairnferry.entry.targets._upstreams import _pool_key
from cairnferry.policy import Attempt, AttemptKind, Call, DrainSource, NotRun
from cairnferry.policy.targets import TargetState
from cairnferry.records import Lifecycle, Target

TARGET = Target("t", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)


class SlowPool:
    """Opens a connection and runs a function meanwhile."""

    def __init__(self, meanwhile):
        self.meanwhile = meanwhile
        self.released = []

    def acquire(self, idempotent, timeout):
        self.meanwhile()
        return "connection"

    def release(self, conn):
        self.released.append(conn)


@pytest.mark.parametrize("advisory", ["rest", "leaving"])
def test_no_request_to_a_target_that_becomes_unavailable_while_connecting(advisory):
    """Guards against a target that becomes unavailable after it was chosen."""
    state = TargetState(TARGET, TARGET.identity, ready_since=0.0)

    def become_unavailable():
        if advisory == "rest":
            state.back_off_until = math.inf
        else:
            state.draining_until[DrainSource.PLATFORM] = math.inf

    upstreams = Upstreams(1.0, 1024)
    pool = upstreams._pools[_pool_key(TARGET)] = SlowPool(become_unavailable)
    now = time.monotonic()
    attempt = Attempt(Call(now, now + 9, True), state, AttemptKind.FIRST, now, False)
    outcome = upstreams.send(None, attempt)
    assert upstreams.classify(outcome, attempt) == NotRun(withdrawn=True)
    assert pool.released == ["connection"]
