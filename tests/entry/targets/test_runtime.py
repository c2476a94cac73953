"""Runtime of a policy with concurrent callers."""

import random
import time

import gevent

from cairnferry.entry.http._pipeline import CallerGone
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.policy import Answered, Call, Send, ServicePolicy, Wait
from cairnferry.records import Lifecycle, Service, Target


def test_a_slot_granted_to_a_caller_that_disconnects_is_released():
    """Guards against a slot that stays in use permanently and slows the daemon down.

    A waiting request is granted a slot, and its caller disconnects before its task runs
    again. The failure occurs if the task drops the decision unread.
    """
    policy = ServicePolicy(Service("s", 9000, 0.1, True, 8), "z", random.Random(1))
    target = Target("t", "s", "z", "10.0.0.1", 80, 1, Lifecycle.ACTIVE, "/h", None)
    policy.update(policy.service, [target], time.monotonic())
    runtime = ServiceRuntime(policy)
    calls = [Call(time.monotonic(), time.monotonic() + 9, True) for _ in range(2)]
    first = runtime.arrive(calls[0])
    assert isinstance(first, Send)
    assert isinstance(runtime.arrive(calls[1]), Wait)

    def wait():
        try:
            runtime.wait(calls[1])
        except CallerGone:
            runtime.abandon(calls[1])

    waiting = gevent.spawn(wait)
    gevent.sleep(0)
    gevent.get_hub().loop.run_callback(waiting.throw, CallerGone)
    runtime.finished(first.attempt, Answered())
    waiting.join()
    assert policy.in_flight == 0
