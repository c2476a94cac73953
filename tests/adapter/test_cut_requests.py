"""Log lines of requests that the end of a daemon cuts."""

import socket

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.callers import _cut_log
from cairnferry.entry.http import Progress
from cairnferry.standins import wait_for

LINE = "request cut by a stop"
# More than both socket buffers of a connection hold.
LONG_ANSWER_BYTES = 4_000_000
SMALL_BUFFER_BYTES = 4096


@pytest.fixture
def held_target(start_target, daemon, wait_for_targets):
    """Return a target that does not answer."""
    target = start_target(behave=lambda number: Event())
    wait_for_targets(daemon, "i-1")
    return target


@pytest.fixture
def caller(daemon):
    """Return a connection to the daemon whose caller reads little ahead."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.connect(daemon.cfg.callers.as_tuple())
        yield sock


@pytest.fixture
def cut_lines(caplog):
    """Return a function that lists the log records of requests that were cut."""
    caplog.set_level("INFO")
    return lambda: [each for each in caplog.records if each.message == LINE]


def head(request_id, method="GET", *fields):
    lines = [
        f"{method} /a/x HTTP/1.1",
        "Host: shop.example",
        f"Cairnferry-Request-Id: {request_id}",
        "Cairnferry-Deadline-Ms: 20000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def wait_until(daemon, progress, path="/a/x"):
    """Wait until a request of the daemon is as far as this."""

    def is_so_far():
        handlers = daemon.core.callers_server._handlers
        found = [each for handler in handlers for each in handler.unanswered()]
        return any(step is progress and req.path == path for req, step in found)

    wait_for(is_so_far)


def test_request_at_a_target_is_logged_once_with_its_target(
    daemon, held_target, cut_lines
):
    """Guards against a stop that leaves nothing to tell which request it cut."""
    caller = gevent.spawn(daemon.call, request_id="r-1")
    held_target.arrived.wait()
    daemon.core.cut_log.note_stop()
    daemon.core.stop()
    daemon.core.stop()
    caller.get()
    (line,) = cut_lines()
    assert line.levelname == "WARNING"
    assert (line.request_id, line.service) == ("r-1", "svc")
    assert (line.stage, line.route) == ("at-target", "r-1")
    assert line.attempts[0].startswith("first i-1 at ")
    (at_work,) = line.at_work
    assert at_work.startswith("i-1 for ")
    assert 0 <= float(at_work.split()[2]) <= line.after_ms
    assert line.since_stop_s >= 0
    assert line.why
    assert daemon.core.metrics.cut == {"at-target": 1}


def test_request_that_is_being_read_is_logged(daemon, caller, cut_lines):
    caller.sendall(head("r-2", "POST", "Content-Length: 10") + b"abc")
    wait_until(daemon, Progress.READING)
    daemon.core.stop()
    (line,) = cut_lines()
    assert (line.request_id, line.stage) == ("r-2", "reading")
    assert (line.route, line.service) == ("r-1", "svc")
    assert line.at_work == []


def test_request_without_a_whole_head_is_logged(daemon, caller, cut_lines):
    """Guards against a daemon whose end fails at a request that it cannot describe."""
    caller.sendall(head("r-2")[:40])
    wait_for(lambda: daemon.core.callers_server.busy)
    daemon.core.stop()
    (line,) = cut_lines()
    assert (line.request_id, line.stage, line.route) == (None, "reading", None)


def test_request_behind_another_one_is_logged(
    unsafe_daemon, start_target, wait_for_targets, cut_lines
):
    """Guards against pipelined requests that a stop drops without a trace."""
    target = start_target(behave=lambda number: Event())
    wait_for_targets(unsafe_daemon, "i-1")
    with socket.create_connection(unsafe_daemon.cfg.callers.as_tuple()) as caller:
        caller.sendall(head("r-3") + head("r-4"))
        target.arrived.wait()
        wait_until(unsafe_daemon, Progress.WAITING)
        (handler,) = unsafe_daemon.core.callers_server._handlers
        wait_for(lambda: len(list(handler.unanswered())) == 2)
        unsafe_daemon.core.stop()
    first, second = cut_lines()
    assert (first.request_id, first.stage) == ("r-3", "at-target")
    assert (second.request_id, second.stage) == ("r-4", "waiting")
    assert "earlier request" in second.why


def test_request_whose_answer_is_not_taken_is_logged(
    daemon, start_target, wait_for_targets, caller, cut_lines
):
    target = start_target()
    target.behave = lambda number: target.answer(
        "{id}", bytes(LONG_ANSWER_BYTES), proof=True
    )
    wait_for_targets(daemon, "i-1")
    caller.sendall(head("r-5"))
    wait_until(daemon, Progress.ANSWERING)
    daemon.core.stop()
    (line,) = cut_lines()
    assert (line.request_id, line.stage) == ("r-5", "answering")
    assert (line.service, line.at_work) == ("svc", [])


def test_lines_are_bounded_and_the_end_counts_all(
    daemon, held_target, cut_lines, monkeypatch, caplog
):
    """Guards against a stop that is spent on writing log lines."""
    monkeypatch.setattr(_cut_log, "MAX_LINES", 2)
    callers = [gevent.spawn(daemon.call, request_id=f"r-{n}") for n in range(5)]
    wait_for(lambda: len(held_target.seen) == 5)
    daemon.core.stop()
    gevent.joinall(callers)
    assert len(cut_lines()) == 2
    daemon.core.cut_log.log_end(False)
    end = caplog.records[-1]
    assert (end.message, end.levelname) == ("left", "WARNING")
    assert end.cut == {"at-target": 5}
    assert end.left_out == 3
    page = daemon.core.state_view.metrics_page("/metrics").body.decode()
    assert 'cairnferry_requests_cut_total{stage="at-target"} 5' in page


def test_stop_that_cuts_nothing_leaves_no_warning(
    daemon, start_target, wait_for_targets, cut_lines, caplog
):
    start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call().status == 200
    daemon.core.stop()
    daemon.core.cut_log.log_end(True)
    assert not cut_lines()
    assert caplog.records[-1].levelname == "INFO"
    assert caplog.records[-1].cut == {}


def test_queued_connection_of_a_caller_that_sent_nothing_is_not_logged(
    daemon, caller, cut_lines
):
    wait_for(lambda: daemon.core.callers_server.connections)
    daemon.core.stop()
    assert not cut_lines()
