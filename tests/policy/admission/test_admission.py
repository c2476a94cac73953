"""Requests that wait for capacity or are given up before they are sent."""

from cairnferry.policy import Answered, Send, Wait
from policy._helpers import make_call, make_policy, send, warm_up


def test_waiting_requests_survive_a_stall_at_the_start():
    """Guards against refusals because this process delayed the first answers."""
    policy = make_policy(count=1, slots=3)
    running = [send(policy) for _ in range(3)]
    waiting = [make_call() for _ in range(7)]
    assert all(isinstance(policy.arrive(call, 0.0), Wait) for call in waiting)
    decided = []
    for attempt in running:
        policy.finished(attempt, Answered(), 0.5)
        decided += policy.release(0.5)
    assert len(decided) == 3
    assert all(isinstance(decision, Send) for _, decision in decided)


def test_late_request_is_given_up_once_enough_answers_were_measured():
    policy = make_policy(count=1, slots=1)
    warm_up(policy, latency=0.4)
    late = make_call(now=20.0, seconds=0.3)
    send(policy, now=20.0)
    assert not isinstance(policy.arrive(late, 20.0), Wait | Send)
