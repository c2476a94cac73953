"""What targets do, what it proves, and what callers are told of it."""

import pytest

from ._standins import target_row
from .conftest import POST, outcome


def test_a_refusal_is_tried_elsewhere_whatever_the_kind(
    unsafe_daemon, start_target, knows
):
    def refuse(number):
        return first.answer(
            "{id}", status="503 Full", extra=["Cairnferry-Not-Executed: 1"]
        )

    first = start_target(behave=refuse, load="0,0,4,100")
    start_target("i-2", load="3,0,4,100")
    knows(unsafe_daemon, "i-1", "i-2")
    unsafe_daemon.earn_repeats()
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"i-2 /a/x")
    assert len(first.seen) == 1


def test_refused_by_all_is_a_promise_with_a_time_to_come_back(
    unsafe_daemon, start_target, knows
):
    def refuse(number):
        return target.answer(
            "{id}", status="429 Full", extra=["Cairnferry-Not-Executed: 1"]
        )

    target = start_target(behave=refuse)
    knows(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (503, "not-run")
    assert float(reply.header("retry-after")) > 0
    assert reply.header("cairnferry-request-id") == "req-1"


@pytest.mark.parametrize("status", ["503 Busy", "429 Slow", "408 Late", "421 No"])
def test_a_promise_that_the_target_did_not_make_is_not_passed_on(
    status, unsafe_daemon, start_target, knows
):
    """Symptom: an order that ran is told as not run, and is placed again.

    Events: a target fails while it runs a request and answers 503 without saying
    that it did not run it. Cause: the status was passed on, and by it callers go.
    """
    target = start_target(behave=lambda n: target.answer("{id}", status=status))
    knows(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    if status.startswith("421"):
        # Only another target at this address says so, and it runs nothing.
        assert reply.status == 503
    else:
        assert (reply.status, outcome(reply)) == (502, "unknown")
    assert len(target.seen) == 1


def test_a_failure_that_ran_is_passed_on_as_it_is(unsafe_daemon, start_target, knows):
    target = start_target(
        behave=lambda n: target.answer("{id}", b"oops", "500 Err", proof=True)
    )
    knows(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (500, b"oops")
    assert reply.header("cairnferry-response-signature") == "by-i-1"
    assert len(target.seen) == 1


def test_another_target_at_the_address_runs_nothing(
    unsafe_daemon, start_target, store, knows
):
    """Symptom: a request runs at a service to which no route sends it.

    Events: a target ends, and its address goes to one of another service. Cause:
    the request named no target.
    """
    other = start_target("i-new", service="other")
    store.put("servers", "i-old", target_row(other.port))
    knows(unsafe_daemon, "i-old")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (503, "not-run")
    assert other.seen == []


BROKEN = {
    "closed": b"",
    "cut": b"HTTP/1.1 200 OK\r\nCairnferry-Request-Id: {id}\r\n"
    b"Cairnferry-Response-Signature: x\r\nContent-Length: 50\r\n\r\nhalf",
    "no answer": b"garbage that is no answer\r\n\r\n",
    "unsigned": b"HTTP/1.1 200 OK\r\nCairnferry-Request-Id: {id}\r\n"
    b"Content-Length: 2\r\n\r\nno",
    "other's": b"HTTP/1.1 200 OK\r\nCairnferry-Request-Id: else\r\n"
    b"Cairnferry-Response-Signature: x\r\nContent-Length: 2\r\n\r\nno",
}


@pytest.mark.parametrize("fault", BROKEN)
def test_a_broken_answer_of_an_unsafe_request_is_unknown_and_not_repeated(
    fault, unsafe_daemon, start_target, knows
):
    """Symptom: an order is placed twice, or a page is another's or half of one.

    Events: the target runs the request, and what comes back is no whole answer to
    it. Cause: another try, or passing it on.
    """
    data = BROKEN[fault]

    def broken(number):
        if not data:
            raise ConnectionAbortedError
        return data.replace(b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nConnection: close")

    first = start_target(behave=broken)
    second = start_target("i-2", load="4,3,4,400")
    knows(unsafe_daemon, "i-1", "i-2")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (502, "unknown")
    assert (len(first.seen), len(second.seen)) == (1, 0)


@pytest.mark.parametrize("fault", BROKEN)
def test_a_broken_answer_of_a_safe_request_is_made_good(
    fault, daemon, start_target, knows
):
    def broken(number):
        if not BROKEN[fault]:
            raise ConnectionAbortedError
        return BROKEN[fault].replace(
            b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nConnection: close"
        )

    start_target(behave=broken)
    start_target("i-2", load="4,1,4,400")
    knows(daemon, "i-1", "i-2")
    daemon.earn_repeats()
    reply = daemon.call()
    assert (reply.status, reply.body) == (200, b"i-2 /a/x")


def test_an_answer_without_length_ends_with_its_connection(
    unsafe_daemon, start_target, knows
):
    data = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nCairnferry-Request-Id: {id}\r\n"
        b"Cairnferry-Response-Signature: x\r\n\r\nwhole"
    )
    start_target(behave=lambda n: data)
    knows(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"whole")
    assert reply.header("content-length") == "5"


def test_bytes_behind_an_answer_belong_to_nobody(unsafe_daemon, start_target, knows):
    def twice(number):
        whole = target.answer("{id}", b"one", proof=True)
        return whole + target.answer("{id}", b"two", proof=True)

    target = start_target(behave=twice)
    knows(unsafe_daemon, "i-1")
    for _ in range(3):
        assert unsafe_daemon.call(**POST).body == b"one"


def test_a_late_answer_to_another_request_is_passed_over(
    unsafe_daemon, start_target, knows
):
    """Symptom: an order is unknown although its answer came.

    Events: the extra answer to an earlier request arrives just when the next one has
    been sent on the same connection. Cause: the first answer is taken for the end.
    """

    def late(number):
        old = target.answer("earlier", b"old", proof=True)
        return old + target.answer("{id}", b"new", proof=True)

    target = start_target(behave=late)
    knows(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"new")
    assert len(target.seen) == 1
