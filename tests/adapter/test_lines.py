"""Lines that tell of requests and of members."""

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import wait_for

from .conftest import POST


@pytest.fixture
def line(caplog):
    """Give the first line of a sort, once it is written."""
    caplog.set_level("INFO")

    def find(message):
        def found():
            records = [each for each in caplog.records if each.message == message]
            return records and records[0]

        return wait_for(found)

    return find


def test_an_answered_request_tells_what_decided(daemon, start_target, knows, line):
    start_target()
    knows(daemon, "i-1")
    assert daemon.call(request_id="r-7").status == 200
    told = line("request answered")
    assert told.request_id == "r-7"
    assert (told.service, told.revision, told.status) == ("svc", 3, 200)
    assert told.asked == ["i-1"]
    assert told.attempts[0].startswith("first i-1 at ")
    # The caller gave 20 s, the route allows 5.
    assert told.time_given_ms == 5_000
    assert told.left_out == 0
    assert ("svc", "allowed", "relayed", "-") in daemon.core.metrics.requests


def test_a_refused_request_tells_its_cause(daemon, line):
    assert daemon.call(request_id="r-8", **POST).status == 503
    told = line("request given up")
    assert (told.request_id, told.outcome, told.cause) == (
        "r-8",
        "not-run",
        "no-target",
    )
    assert told.attempts == []
    assert told.retry_after_s > 0


def test_a_rejected_request_tells_its_cause(daemon, line):
    assert daemon.call("/nowhere/", request_id="r-9").status == 404
    told = line("request rejected")
    assert (told.request_id, told.cause, told.revision) == ("r-9", "no-route", 3)


def test_a_caller_that_leaves_is_told_of(daemon, start_target, knows, line):
    target = start_target(behave=lambda number: Event())
    knows(daemon, "i-1")
    caller = gevent.spawn(daemon.call, request_id="r-10")
    target.arrived.wait()
    caller.kill()
    told = line("caller gone")
    assert told.request_id == "r-10"
    assert told.attempts[0].startswith("first i-1")


def test_under_load_lines_have_a_limit_and_say_what_was_left_out(
    daemon, start_target, knows, caplog
):
    """Symptom: a daemon under load spends its time on writing lines."""
    caplog.set_level("INFO")
    start_target()
    knows(daemon, "i-1")
    for number in range(60):
        assert daemon.call(request_id=f"r-{number}").status == 200
    told = [each for each in caplog.records if each.message == "request answered"]
    assert len(told) < 60
    shown = sum(1 + each.left_out for each in told)
    limit = daemon.core.callers_app._request_log._limits["request answered"]
    assert shown + limit.take_left_out() == 60


def test_members_that_come_and_go_are_told_of(daemon, start_daemon, line):
    start_daemon("front-2")
    told = line("member")
    assert told.member in ("front-1", "front-2")
    assert (told.state, told.before) == ("alive", None)


def test_metrics_are_served_on_their_address(daemon, start_target, knows):
    start_target()
    knows(daemon, "i-1")
    daemon.call()
    page = daemon.core.state_view.metrics_page("/metrics").body.decode()
    assert 'cairnferry_requests_total{service="svc",repeats="allowed"' in page
    assert 'cairnferry_store_calls_total{kind="rules-list",result="rows"} 1' in page
    assert "cairnferry_revision 3" in page.splitlines()
