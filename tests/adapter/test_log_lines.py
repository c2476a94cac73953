"""Log lines on requests and members, and the metrics page."""

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import wait_for

from .conftest import POST


@pytest.fixture
def wait_for_line(caplog):
    """Return a function that waits for the first log record with a message."""
    caplog.set_level("INFO")

    def find(message):
        def found():
            records = [each for each in caplog.records if each.message == message]
            return records and records[0]

        return wait_for(found)

    return find


def test_answered_request_is_logged_with_its_decisions(
    daemon, start_target, wait_for_targets, wait_for_line
):
    start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call(request_id="r-7").status == 200
    line = wait_for_line("request answered")
    assert line.request_id == "r-7"
    assert (line.service, line.revision, line.status) == ("svc", 3, 200)
    assert line.asked == ["i-1"]
    assert line.attempts[0].startswith("first i-1 at ")
    # The caller's deadline is 20 s; the route allows 5 s.
    assert line.time_given_ms == 5_000
    assert line.left_out == 0
    assert ("svc", "allowed", "relayed", "-") in daemon.core.metrics.requests


def test_refused_request_is_logged_with_its_cause(daemon, wait_for_line):
    assert daemon.call(request_id="r-8", **POST).status == 503
    line = wait_for_line("request given up")
    assert (line.request_id, line.outcome, line.cause) == (
        "r-8",
        "not-run",
        "no-target",
    )
    assert line.attempts == []
    assert line.retry_after_s > 0


def test_rejected_request_is_logged_with_its_cause(daemon, wait_for_line):
    assert daemon.call("/nowhere/", request_id="r-9").status == 404
    line = wait_for_line("request rejected")
    assert (line.request_id, line.cause, line.revision) == ("r-9", "no-route", 3)


def test_caller_that_disconnects_is_logged(
    daemon, start_target, wait_for_targets, wait_for_line
):
    target = start_target(behave=lambda number: Event())
    wait_for_targets(daemon, "i-1")
    caller = gevent.spawn(daemon.call, request_id="r-10")
    target.arrived.wait()
    caller.kill()
    line = wait_for_line("caller gone")
    assert line.request_id == "r-10"
    assert line.attempts[0].startswith("first i-1")


def test_log_lines_are_limited_under_load_and_count_suppressed_ones(
    daemon, start_target, wait_for_targets, caplog
):
    """Guards against a daemon under load that spends its time on writing log lines."""
    caplog.set_level("INFO")
    start_target()
    wait_for_targets(daemon, "i-1")
    for number in range(60):
        assert daemon.call(request_id=f"r-{number}").status == 200
    lines = [each for each in caplog.records if each.message == "request answered"]
    assert len(lines) < 60
    shown = sum(1 + each.left_out for each in lines)
    limit = daemon.core.callers_app._request_log._limits["request answered"]
    assert shown + limit.take_suppressed() == 60


def test_member_changes_are_logged(daemon, start_daemon, wait_for_line):
    start_daemon("front-2")
    line = wait_for_line("member")
    assert line.member in ("front-1", "front-2")
    assert (line.state, line.before) == ("alive", None)


def test_metrics_page_contains_requests_and_store_calls(
    daemon, start_target, wait_for_targets
):
    start_target()
    wait_for_targets(daemon, "i-1")
    daemon.call()
    page = daemon.core.state_view.metrics_page("/metrics").body.decode()
    assert 'cairnferry_requests_total{service="svc",repeats="allowed"' in page
    assert 'cairnferry_store_calls_total{kind="rules-list",result="rows"} 1' in page
    assert "cairnferry_revision 3" in page.splitlines()
