"""Requests that arrive while a daemon stops, each daemon in a process of its own."""

import signal
import time

import attrs
import pytest
from gevent import socket
from gevent.event import Event

from cairnferry.entry.core._core import PAGES_FINISH_S
from cairnferry.standins import unique_loopback_host, wait_for
from cairnferry.wire import connect, encode_request

from ._processes import DaemonProcess
from ._standins import configuration, rule
from .conftest import POST, outcome, settings_text

# The daemon serves for 0.6 s after SIGTERM, and ends 0.8 s later.
STOP = [("bounds.grace=6s", "bounds.grace=2s"), ("ttl_max=5s", "ttl_max=200ms")]
RULES = [rule(), rule("r-2", "/b/", kind="unsafe")]


@pytest.fixture
def never():
    """Return an event that lets a target work on a request until it is cut."""
    return Event()


@pytest.fixture
def target(start_target, never):
    """Return a target that answers its first request only."""
    return start_target(behave=lambda number: None if number == 1 else never)


@pytest.fixture
def daemon(store, target, tmp_path):
    store.put("op", "config", configuration(rules=RULES))
    text = settings_text(store.port, host=unique_loopback_host(1))
    for line, changed in STOP:
        assert line in text
        text = text.replace(line, changed)
    process = DaemonProcess(tmp_path, process_host(text), text)
    wait_for(lambda: process.logged("targets"))
    yield process
    process.kill()


@pytest.fixture
def daemon_in_process(store, start_daemon):
    store.put("op", "config", configuration())
    return start_daemon()


def process_host(text):
    lines = dict(line.split("=", 1) for line in text.splitlines())
    return lines["listen.front"].partition(":")[0]


def request(path, method="GET", body=b""):
    headers = [("Cairnferry-Request-Id", path), ("Cairnferry-Deadline-Ms", "20000")]
    return encode_request(method, path, "shop.example", headers, body)


@pytest.fixture
def kept(daemon, target, read_until):
    """Return a connection on which a request was answered before the stop."""
    sock = connect((daemon.host, daemon.cfg.callers.port), 10).sock
    sock.sendall(request("/a/first"))
    read_until(sock, b"i-1 /a/first")
    return sock


def stop(daemon):
    daemon.process.send_signal(signal.SIGTERM)
    wait_for(lambda: daemon.logged("leaving"))


def refuses_connections(daemon):
    try:
        socket.create_connection((daemon.host, daemon.cfg.callers.port), 10).close()
    except ConnectionRefusedError:
        return True
    return False


def test_order_that_may_outlast_the_stop_is_refused(daemon, target, kept, read_to_end):
    """Guards against an order that a stopping daemon sends to a target and cuts."""
    stop(daemon)
    kept.sendall(request("/b/1", "POST", b"order"))
    received = read_to_end(kept)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in received
    assert len(target.seen) == 1


def test_late_request_on_a_kept_connection_is_not_cut(
    daemon, target, kept, read_to_end
):
    """Guards against requests that are taken at the end of a stop, and then cut.

    The daemon accepts no new connections any more, and closes idle ones soon.
    """
    stop(daemon)
    wait_for(lambda: refuses_connections(daemon))
    try:
        kept.sendall(request("/a/late"))
        received = read_to_end(kept)
    except OSError:
        # The connection was closed before.
        received = b""
    assert received == b"" or received.startswith(b"HTTP/1.1 503 ")
    assert len(target.seen) == 1


def test_late_order_is_refused_before_its_body_has_arrived(
    daemon, target, kept, read_until
):
    """Guards against callers that send a whole body to learn of a refusal."""
    stop(daemon)
    order = request("/b/1", "POST", b"order")
    kept.sendall(order[:-1])
    received = read_until(kept, b"leaving")
    assert received.startswith(b"HTTP/1.1 503 ")
    assert len(target.seen) == 1


def test_callers_of_a_stopping_daemon_may_return_at_once_to_another(
    start_daemon, store, start_target, wait_for_targets
):
    """Guards against callers that wait although another daemon is ready."""
    store.put("op", "config", configuration(rules=RULES))
    target = start_target()
    first, second = start_daemon("front-1"), start_daemon("front-2")
    for each in (first, second):
        wait_for_targets(each, "i-1")
    wait_for(lambda: first.core.cluster.has_usable_peer())
    first.core.departure.begin(time.monotonic() - first.cfg.stop_s)
    reply = first.call("/b/1", **POST)
    assert (reply.status, outcome(reply)) == (503, "not-run")
    assert float(reply.header("retry-after")) == 0.0
    assert not target.seen
    second.stop()
    wait_for(lambda: not first.core.cluster.has_usable_peer())
    assert float(first.call("/b/1", **POST).header("retry-after")) > 0.0


def test_listeners_of_pages_end_before_the_process_is_killed(daemon_in_process):
    """Guards against a daemon that is killed while it waits for a reader of a page."""
    departure = daemon_in_process.core.departure
    departure.begin(0.0)
    assert departure.ends_at + PAGES_FINISH_S < daemon_in_process.cfg.stop_s


def test_reload_changes_the_stop_that_has_not_begun(daemon_in_process):
    """Guards against a stop by the settings of the start."""
    core, built = daemon_in_process.core, daemon_in_process.built
    changed = attrs.evolve(daemon_in_process.cfg, stop_s=10.0)
    built.apply(changed)
    core.departure.begin(0.0)
    assert 9.0 < core.departure.ends_at < 10.0
    built.apply(attrs.evolve(changed, stop_s=20.0))
    assert core.departure.ends_at < 10.0
