"""Runtime of a policy with concurrent callers."""

import random
import time

import gevent

from cairnferry.entry import _restarting_task
from cairnferry.entry.http._pipeline import CallerGone
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.policy import Answered, Call, Cause, Refuse, Send, ServicePolicy, Wait
from cairnferry.records import Lifecycle, Service, Target


def runtime_with_one_slot():
    policy = ServicePolicy(Service("s", 9000, 0.1, True, 8), "z", random.Random(1))
    target = Target("t", "s", "z", "10.0.0.1", 80, 1, Lifecycle.ACTIVE, "/h", None)
    policy.update(policy.service, [target], time.monotonic())
    return ServiceRuntime(policy)


def test_a_slot_granted_to_a_caller_that_disconnects_is_released():
    """Guards against a slot that stays in use permanently and slows the daemon down.

    A waiting request is granted a slot, and its caller disconnects before its task runs
    again. The failure occurs if the task drops the decision unread.
    """
    runtime = runtime_with_one_slot()
    policy = runtime.policy
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


def test_waiting_requests_are_released_although_the_task_for_it_has_ended(monkeypatch):
    """Guards against requests that wait until their deadline while a slot is free."""
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.01)
    runtime = runtime_with_one_slot()
    now = time.monotonic()
    calls = [Call(now, now + 0.2 * number, True) for number in (50, 1)]
    runtime.arrive(calls[0])
    assert isinstance(runtime.arrive(calls[1]), Wait)
    waiting = gevent.spawn(runtime.wait, calls[1])
    gevent.sleep(0)
    runtime._release_task._greenlet.kill(ValueError("x"))
    assert isinstance(waiting.get(timeout=5), Refuse)


def test_requests_that_still_wait_at_the_end_of_a_daemon_are_refused():
    """Guards against requests that wait for a target and end without an answer."""
    runtime = runtime_with_one_slot()
    calls = [Call(time.monotonic(), time.monotonic() + 9, True) for _ in range(3)]
    assert isinstance(runtime.arrive(calls[0]), Send)
    for call in calls[1:]:
        assert isinstance(runtime.arrive(call), Wait)
    waiting = [gevent.spawn(runtime.wait, call) for call in calls[1:]]
    gevent.sleep(0)
    runtime.give_up_waiting(Cause.LEAVING)
    decisions = [task.get() for task in waiting]
    assert [type(each) for each in decisions] == [Refuse, Refuse]
    assert {each.cause for each in decisions} == {Cause.LEAVING}
    assert runtime.policy.in_flight == 1
