"""Classification of targets' answers, and the answers that callers get."""

import pytest

from ._standins import target_row
from .conftest import POST, outcome


def test_refused_unsafe_request_is_retried_at_another_target(
    unsafe_daemon, start_target, wait_for_targets
):
    def refuse(number):
        return first.answer(
            "{id}", status="503 Full", extra=["Cairnferry-Not-Executed: 1"]
        )

    first = start_target(behave=refuse, load="0,0,4,100")
    start_target("i-2", load="3,0,4,100")
    wait_for_targets(unsafe_daemon, "i-1", "i-2")
    unsafe_daemon.earn_retries()
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"i-2 /a/x")
    assert len(first.seen) == 1


def test_request_refused_by_all_is_not_run_with_retry_after(
    unsafe_daemon, start_target, wait_for_targets
):
    def refuse(number):
        return target.answer(
            "{id}", status="429 Full", extra=["Cairnferry-Not-Executed: 1"]
        )

    target = start_target(behave=refuse)
    wait_for_targets(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (503, "not-run")
    assert float(reply.header("retry-after")) > 0
    assert reply.header("cairnferry-request-id") == "req-1"


@pytest.mark.parametrize("status", ["503 Busy", "429 Slow", "408 Late", "421 No"])
def test_not_run_status_without_not_executed_header_is_not_relayed(
    status, unsafe_daemon, start_target, wait_for_targets
):
    """Guards against an order that ran but is reported to its caller as not run.

    A target fails while it runs a request, and answers 503 without the header for a
    request that did not run. Callers rely on the status, so it must not be relayed.
    """
    target = start_target(behave=lambda n: target.answer("{id}", status=status))
    wait_for_targets(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    if status.startswith("421"):
        # Only another target at this address answers 421, and it runs nothing.
        assert reply.status == 503
    else:
        assert (reply.status, outcome(reply)) == (502, "unknown")
    assert len(target.seen) == 1


def test_signed_server_error_is_relayed_unchanged(
    unsafe_daemon, start_target, wait_for_targets
):
    target = start_target(
        behave=lambda n: target.answer("{id}", b"oops", "500 Err", proof=True)
    )
    wait_for_targets(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (500, b"oops")
    assert reply.header("cairnferry-response-signature") == "by-i-1"
    assert len(target.seen) == 1


def test_target_that_took_over_an_address_runs_no_requests_for_old_one(
    unsafe_daemon, start_target, store, wait_for_targets
):
    """Guards against a request that runs at a service that its route does not name.

    A target terminates, and a target of another service gets its address. The request
    must name the target that may run it.
    """
    other = start_target("i-new", service="other")
    store.put("servers", "i-old", target_row(other.port))
    wait_for_targets(unsafe_daemon, "i-old")
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
def test_unsafe_request_with_invalid_answer_is_unknown_and_not_retried(
    fault, unsafe_daemon, start_target, wait_for_targets
):
    """Guards against an order that runs twice, and against foreign or partial answers.

    The target runs the request, but its answer is incomplete, unsigned or that of
    another request. Such an unsafe request must not be retried nor the answer relayed.
    """
    data = BROKEN[fault]

    def broken(number):
        if not data:
            raise ConnectionAbortedError
        return data.replace(b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nConnection: close")

    first = start_target(behave=broken)
    second = start_target("i-2", load="4,3,4,400")
    wait_for_targets(unsafe_daemon, "i-1", "i-2")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (502, "unknown")
    assert (len(first.seen), len(second.seen)) == (1, 0)


@pytest.mark.parametrize("fault", BROKEN)
def test_safe_request_with_invalid_answer_is_retried(
    fault, daemon, start_target, wait_for_targets
):
    def broken(number):
        if not BROKEN[fault]:
            raise ConnectionAbortedError
        return BROKEN[fault].replace(
            b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nConnection: close"
        )

    start_target(behave=broken)
    start_target("i-2", load="4,1,4,400")
    wait_for_targets(daemon, "i-1", "i-2")
    daemon.earn_retries()
    reply = daemon.call()
    assert (reply.status, reply.body) == (200, b"i-2 /a/x")


def test_answer_without_length_ends_at_connection_close(
    unsafe_daemon, start_target, wait_for_targets
):
    data = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nCairnferry-Request-Id: {id}\r\n"
        b"Cairnferry-Response-Signature: x\r\n\r\nwhole"
    )
    start_target(behave=lambda n: data)
    wait_for_targets(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"whole")
    assert reply.header("content-length") == "5"


def test_bytes_after_an_answer_are_discarded(
    unsafe_daemon, start_target, wait_for_targets
):
    def twice(number):
        whole = target.answer("{id}", b"one", proof=True)
        return whole + target.answer("{id}", b"two", proof=True)

    target = start_target(behave=twice)
    wait_for_targets(unsafe_daemon, "i-1")
    for _ in range(3):
        assert unsafe_daemon.call(**POST).body == b"one"


def test_late_answer_to_earlier_request_is_skipped(
    unsafe_daemon, start_target, wait_for_targets
):
    """Guards against an unknown outcome of an order although its answer arrived.

    A surplus answer to an earlier request arrives just after the next request was sent
    on the same connection, and must not be relayed as the answer to this request.
    """

    def late(number):
        old = target.answer("earlier", b"old", proof=True)
        return old + target.answer("{id}", b"new", proof=True)

    target = start_target(behave=late)
    wait_for_targets(unsafe_daemon, "i-1")
    reply = unsafe_daemon.call(**POST)
    assert (reply.status, reply.body) == (200, b"new")
    assert len(target.seen) == 1
