"""Exchanges with targets: what is not sent after all."""

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
    """Opens a connection; meanwhile something happens."""

    def __init__(self, meanwhile):
        self.meanwhile = meanwhile
        self.given = []

    def acquire(self, idempotent, timeout):
        self.meanwhile()
        return "connection"

    def release(self, conn):
        self.given.append(conn)


@pytest.mark.parametrize("word", ["rest", "leaving"])
def test_nothing_is_sent_to_one_that_asked_while_a_connection_was_opened(word):
    """Guards against a request between its choice and its sending."""
    state = TargetState(TARGET, TARGET.identity, ready_since=0.0)

    def ask():
        if word == "rest":
            state.back_off_until = math.inf
        else:
            state.draining_until[DrainSource.PLATFORM] = math.inf

    upstreams = Upstreams(1.0, 1024)
    pool = upstreams._pools[_pool_key(TARGET)] = SlowPool(ask)
    now = time.monotonic()
    attempt = Attempt(Call(now, now + 9, True), state, AttemptKind.FIRST, now, False)
    outcome = upstreams.send(None, attempt)
    assert upstreams.classify(outcome, attempt) == NotRun(withdrawn=True)
    assert pool.given == ["connection"]
