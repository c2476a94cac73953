"""Requests through a daemon of the adapter: routes, weights, limits, deadlines."""

import pytest
from gevent.event import Event

from cairnferry.wire import connect, encode_request

from ._standins import configuration, rule
from .conftest import POST, outcome


def test_request_and_answer_are_relayed_whole(daemon, start_target, wait_for_targets):
    target = start_target()
    wait_for_targets(daemon, "i-1")
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


def test_chunked_body_is_relayed(daemon, start_target, wait_for_targets):
    target = start_target()
    wait_for_targets(daemon, "i-1")
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
def test_request_without_matching_route_gets_404(daemon, start_target, host, path):
    start_target()
    assert daemon.call(path, host=host).status == 404


def test_longest_prefix_matches(store, start_daemon, start_target, wait_for_targets):
    rules = [rule(), rule("r-2", "/a/deep/", service="two")]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    start_target()
    start_target("i-2", service="two")
    wait_for_targets(daemon, "i-1", "i-2")
    assert daemon.call("/a/deepest").body.startswith(b"i-1")
    assert daemon.call("/a/deep/x").body.startswith(b"i-2")


def lose_answer(number):
    """Close the connection in place of an answer."""
    raise ConnectionAbortedError


def test_order_on_path_of_deeper_safe_prefix_without_slash_runs_once(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against orders that run twice as a safe route handles them."""
    rules = [
        rule("order", "/passes/", kind="unsafe", attempts=3),
        rule("read", "/passes/renew/", kind="safe", attempts=3),
    ]
    store.put("op", "config", configuration(rules=rules))
    daemon = start_daemon()
    targets = [start_target(name, behave=lose_answer) for name in ("i-1", "i-2")]
    wait_for_targets(daemon, "i-1", "i-2")
    daemon.earn_retries()
    reply = daemon.call("/passes/renew", **POST)
    assert outcome(reply) == "unknown"
    assert sum(len(target.seen) for target in targets) == 1


def test_path_without_final_slash_of_a_prefix_goes_to_the_route_it_begins_with(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a service that runs requests which no rule sends there."""
    rules = [rule("r-1", "/passes/"), rule("r-2", "/passes/renew/", service="two")]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    start_target()
    start_target("i-2", service="two")
    wait_for_targets(daemon, "i-1", "i-2")
    assert daemon.call("/passes/renew").body == b"i-1 /passes/renew"
    assert daemon.call("/passes/renew/").body == b"i-2 /passes/renew/"
    assert daemon.call("/passes").status == 404


def test_requests_are_split_by_weight(
    store, start_daemon, start_target, wait_for_targets
):
    parts = [{"service": "svc", "weight": 3}, {"service": "two", "weight": 1}]
    rules = [rule(backends=parts)]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    first, second = start_target(), start_target("i-2", service="two")
    wait_for_targets(daemon, "i-1", "i-2")
    for _ in range(40):
        assert daemon.call().status == 200
    assert len(first.seen) in (29, 30, 31)
    assert len(first.seen) + len(second.seen) == 40


def test_daemon_without_rules_answers_503_not_404(store, start_daemon):
    """Guards against 404 right after a restart for a path that has a route.

    A daemon that has not received its rules yet must not act as if it had no routes.
    """
    daemon = start_daemon(wait=False)
    reply = daemon.call()
    assert reply.status == 503
    assert float(reply.header("retry-after")) > 0
    assert daemon.get(daemon.cfg.ready, "/api/ready").status == 503


def test_route_timeout_limits_request(
    store, start_daemon, start_target, wait_for_targets
):
    store.put(
        "op", "config", configuration(rules=[rule(kind="unsafe", timeout="100ms")])
    )
    daemon = start_daemon()
    target = start_target(behave=lambda n: Event())
    wait_for_targets(daemon, "i-1")
    reply = daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (504, "unknown")
    assert int(target.seen[0][2]["cairnferry-deadline-ms"]) <= 100


def test_caller_that_disconnects_cancels_its_request(
    daemon, start_target, wait_for_targets
):
    target = start_target(behave=lambda n: Event())
    wait_for_targets(daemon, "i-1")
    conn = connect((daemon.cfg.callers.host, daemon.cfg.callers.port), 5)
    headers = [("Cairnferry-Request-Id", "r"), ("Cairnferry-Deadline-Ms", "20000")]
    conn.sock.sendall(encode_request("GET", "/a/x", "shop.example", headers, b""))
    target.arrived.wait()
    conn.close()
    target.disconnected.wait()


def test_non_numeric_deadline_is_rejected(daemon, start_target, wait_for_targets):
    target = start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call(deadline_ms="soon").status == 400
    assert target.seen == []


def test_body_over_the_limit_is_rejected(daemon, start_target, wait_for_targets):
    start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call(method="POST", body=b"x" * 100_001).status == 413
    assert daemon.call(method="POST", body=b"x" * 100_000).status == 200


def test_request_without_targets_is_not_run(daemon):
    reply = daemon.call()
    assert (reply.status, outcome(reply)) == (503, "not-run")
