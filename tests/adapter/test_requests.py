"""Requests through a daemon of the adapter: routes, evidence, promises, limits."""

import json

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import wait_for
from cairnferry.wire import connect, encode_request

from ._standins import configuration, rule, target_row

POST = {"method": "POST", "body": b"order"}
UNSAFE = [rule(kind="unsafe", attempts=3)]


@pytest.fixture
def unsafe_daemon(store, start_daemon):
    store.put("op", "config", configuration(rules=UNSAFE))
    return start_daemon()


def outcome(reply):
    return json.loads(reply.body)["outcome"]


def test_a_request_is_passed_on_whole_and_its_answer_comes_back(
    daemon, start_target, knows
):
    target = start_target()
    knows(daemon, "i-1")
    reply = daemon.call("/a/x?q=%2F&r", headers=[("X-Other", "1")])
    assert (reply.status, reply.body) == (200, b"i-1 /a/x?q=%2F&r")
    assert reply.header("cairnferry-response-signature") == "by-i-1"
    ((method, path, headers, _),) = target.seen
    assert (method, path) == ("GET", "/a/x?q=%2F&r")
    assert headers["host"] == "shop.example"
    assert headers["x-other"] == "1"
    assert headers["cairnferry-request-id"] == "req-1"
    assert headers["cairnferry-target-instance"] == "i-1"
    assert 0 < int(headers["cairnferry-deadline-ms"]) <= 5000


def test_a_body_in_chunks_is_passed_on(daemon, start_target, knows):
    target = start_target()
    knows(daemon, "i-1")
    conn = connect((daemon.cfg.callers.host, daemon.cfg.callers.port), 5)
    conn.sock.sendall(
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nCairnferry-Request-Id: r\r\n"
        b"Cairnferry-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert conn.sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert target.seen[0][3] == b"abcde"


@pytest.mark.parametrize(
    ("host", "path"),
    [("shop.example", "/b/"), ("shop.example", "/ax/"), ("other.example", "/a/")],
)
def test_what_no_route_matches_is_404(daemon, start_target, host, path):
    start_target()
    assert daemon.call(path, host=host).status == 404


def test_the_longest_prefix_decides(store, start_daemon, start_target, knows):
    rules = [rule(), rule("r-2", "/a/deep/", service="two")]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    start_target()
    start_target("i-2", service="two")
    knows(daemon, "i-1", "i-2")
    assert daemon.call("/a/deepest").body.startswith(b"i-1")
    assert daemon.call("/a/deep/x").body.startswith(b"i-2")


def test_weights_are_kept(store, start_daemon, start_target, knows):
    parts = [{"service": "svc", "weight": 3}, {"service": "two", "weight": 1}]
    rules = [rule(backends=parts)]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    first, second = start_target(), start_target("i-2", service="two")
    knows(daemon, "i-1", "i-2")
    for _ in range(40):
        assert daemon.call().status == 200
    assert len(first.seen) in (29, 30, 31)
    assert len(first.seen) + len(second.seen) == 40


def test_without_rules_nothing_is_denied(store, start_daemon):
    """Symptom: 404 for what every configuration allows, right after a restart.

    Cause: a daemon that knows no rules yet takes that for having none.
    """
    daemon = start_daemon(wait=False)
    reply = daemon.call()
    assert reply.status == 503
    assert float(reply.header("retry-after")) > 0
    assert daemon.get(daemon.cfg.ready, "/api/ready").status == 503


# -- what targets do -----------------------------------------------------------------


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


# -- time and departure ----------------------------------------------------------------


def test_the_route_bounds_the_time(store, start_daemon, start_target, knows):
    store.put(
        "op", "config", configuration(rules=[rule(kind="unsafe", timeout="100ms")])
    )
    daemon = start_daemon()
    target = start_target(behave=lambda n: Event())
    knows(daemon, "i-1")
    reply = daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (504, "unknown")
    assert int(target.seen[0][2]["cairnferry-deadline-ms"]) <= 100


def test_a_caller_that_goes_away_ends_the_work(daemon, start_target, knows):
    target = start_target(behave=lambda n: Event())
    knows(daemon, "i-1")
    conn = connect((daemon.cfg.callers.host, daemon.cfg.callers.port), 5)
    headers = [("Cairnferry-Request-Id", "r"), ("Cairnferry-Deadline-Ms", "20000")]
    conn.sock.sendall(encode_request("GET", "/a/x", "shop.example", headers, b""))
    target.arrived.wait()
    conn.close()
    target.cut.wait()


def test_a_deadline_that_is_no_number_is_refused(daemon, start_target, knows):
    target = start_target()
    knows(daemon, "i-1")
    assert daemon.call(deadline_ms="soon").status == 400
    assert target.seen == []


def test_a_body_over_the_limit_is_refused(daemon, start_target, knows):
    start_target()
    knows(daemon, "i-1")
    assert daemon.call(method="POST", body=b"x" * 100_001).status == 413
    assert daemon.call(method="POST", body=b"x" * 100_000).status == 200


def test_no_target_is_a_promise_at_once(daemon):
    reply = daemon.call()
    assert (reply.status, outcome(reply)) == (503, "not-run")


# -- where to connect ----------------------------------------------------------------


def test_callers_are_told_where_to_connect(daemon, start_daemon):
    other = start_daemon("front-2")
    path = "/api/resolve?name=shop.example&region=there&zone=hall"

    def both_named():
        reply = daemon.get(daemon.cfg.directory, path)
        document = json.loads(reply.body)
        assert document["ttl"] == "1s"
        wanted = {str(daemon.cfg.callers), str(other.cfg.callers)}
        return set(document["addresses"]) == wanted

    wait_for(both_named)
    assert daemon.get(daemon.cfg.ready, "/api/ready").status == 200
    assert daemon.get(daemon.cfg.directory, "/api/other").status == 404


def test_a_daemon_that_leaves_is_not_ready_and_not_named(daemon, start_daemon):
    other = start_daemon("front-2")
    path = "/api/resolve?name=shop.example&zone=hall"
    wait_for(lambda: len(_addresses(daemon, path)) == 2)
    gevent.spawn(other.core.run_to_end)
    other.core.leave()
    wait_for(lambda: _addresses(daemon, path) == [str(daemon.cfg.callers)])
    assert other.get(other.cfg.ready, "/api/ready").status == 503
    assert other.call().status == 503


def _addresses(daemon, path):
    return json.loads(daemon.get(daemon.cfg.directory, path).body)["addresses"]
