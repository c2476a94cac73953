"""What else may cut, keep or lose a request while a daemon stops."""

import re
import signal
import time

import attrs
import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.adapter import HANDOVER_PATH
from cairnferry.entry.detours import DetourClient
from cairnferry.policy import LeavingTimes
from cairnferry.standins import unique_loopback_host, wait_for
from cairnferry.wire import connect

from ._processes import DaemonProcess
from ._standins import HOST, configuration, rule, target_row
from ._workspaces import tenant
from .conftest import POST, UNSAFE, outcome, settings_text
from .partitions.conftest import LostPaths
from .test_stop import process_host, request, stop

LONG = LeavingTimes(60.0, 60.0)
BACKENDS = [
    {"service": "svc", "weight": 50},
    {"service": "other", "weight": 50},
]


def leave(daemon, times=LONG):
    """Let a daemon of this process stop; return the task, which gives its exit code."""
    daemon.core.set_leaving_times(times)
    daemon.core.leave()
    stopping = gevent.spawn(daemon.core.run_to_end)
    wait_for(lambda: daemon.core.callers_server.closing)
    return stopping


# -- rules and targets that change in a stop ---------------------------------------


@pytest.mark.parametrize(
    "changed",
    [
        configuration(4, rules=[rule("r-9", "/other/")]),
        configuration(4, rules=[rule(service="other")], clusters=("svc", "other")),
        configuration(4, rules=[rule(timeout="100ms")]),
        configuration(4, tenants=[tenant("w", 0, 0)]),
    ],
    ids=["dropped", "moved", "shortened", "key taken away"],
)
def test_rules_that_change_in_a_stop_cut_no_request(
    daemon, store, start_target, wait_for_targets, changed
):
    """Guards against requests that a manifest cuts while their daemon stops."""
    answer = Event()
    target = start_target(behave=lambda number: answer)
    wait_for_targets(daemon, "i-1")
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    leave(daemon)
    store.put("op", "config", changed)
    wait_for(lambda: daemon.core.services.revision == 4)
    answer.set()
    assert caller.get().status == 200


@pytest.mark.parametrize("state", [None, "draining"])
def test_target_that_leaves_in_a_stop_loses_no_request(
    daemon, store, start_target, state
):
    """Guards against requests that are cut as the row of their target changes."""
    answer = Event()
    target = start_target(behave=lambda number: answer)
    wait_for(lambda: daemon.core.services.targets())
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    leave(daemon)
    if state is None:
        store.drop("servers", "i-1")
        wait_for(lambda: not daemon.core.services.targets())
    else:
        store.put("servers", "i-1", target_row(target.port, state=state, sequence=2))
        wait_for(lambda: daemon.core.services.targets()[0].lifecycle != "active")
    answer.set()
    assert caller.get().status == 200


def test_zone_evacuated_in_a_stop_loses_no_request(daemon, start_target):
    """Guards against requests that are cut as the zone of their target is evacuated."""
    answer = Event()
    target = start_target(behave=lambda number: answer)
    wait_for(lambda: daemon.core.services.targets())
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    leave(daemon)
    daemon.core.evacuate(frozenset(["hall"]), 5)
    answer.set()
    assert caller.get().status == 200


def test_order_that_a_target_refuses_is_not_repeated_at_the_end(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a second attempt that is begun, and cut with its daemon."""
    store.put("op", "config", configuration(rules=UNSAFE))
    daemon = start_daemon()

    def refuse_at_the_end(number):
        daemon.core.departure.begin(time.monotonic() - daemon.cfg.stop_s)
        return target.answer(None, status="421 Misdirected", instance=True)

    target = start_target(behave=refuse_at_the_end)
    others = [start_target(f"i-{number}") for number in (2, 3)]
    for other in others:
        other.behave = target.behave
    wait_for_targets(daemon, "i-1", "i-2", "i-3")
    daemon.earn_retries()
    reply = daemon.call(**POST)
    assert (reply.status, outcome(reply)) == (503, "not-run")
    assert b"leaving" in reply.body
    assert sum(len(each.seen) for each in (target, *others)) == 1


def test_lookup_whose_target_crashes_in_a_stop_is_served_by_another(
    daemon, start_target, wait_for_targets
):
    targets = [start_target(f"i-{number}") for number in range(3)]
    answer = Event()
    for each in targets:
        each.behave = lambda number: answer
    wait_for_targets(daemon, "i-0", "i-1", "i-2")
    daemon.earn_retries()
    caller = gevent.spawn(daemon.call)
    wait_for(lambda: any(each.seen for each in targets))
    leave(daemon)
    (first,) = [each for each in targets if each.seen]
    answer.set()
    first.crash()
    assert caller.get().status == 200


# -- decisions ----------------------------------------------------------------------


def test_orders_of_a_stopping_daemon_keep_the_shares_of_a_route(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a service that gets all orders of a route while a daemon stops.

    The failure occurs if the check of a head selects a service by weight, and the
    request then selects another one.
    """
    rules = [rule(kind="unsafe", backends=BACKENDS)]
    clusters = ("svc", "other")
    store.put("op", "config", configuration(rules=rules, clusters=clusters))
    targets = [start_target("i-1"), start_target("i-2", service="other")]
    daemon = start_daemon()
    wait_for_targets(daemon, "i-1", "i-2")
    leave(daemon)
    for _ in range(10):
        assert daemon.call(**POST).status == 200
    assert [len(target.seen) for target in targets] == [5, 5]


def test_large_bodies_keep_the_shares_of_a_route(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against a service that gets all large orders of a route."""
    rules = [rule(kind="unsafe", backends=BACKENDS)]
    clusters = ("svc", "other")
    store.put("op", "config", configuration(rules=rules, clusters=clusters))
    targets = [start_target("i-1"), start_target("i-2", service="other")]
    daemon = start_daemon()
    wait_for_targets(daemon, "i-1", "i-2")
    for _ in range(10):
        assert daemon.call(method="POST", body=bytes(80_000)).status == 200
    assert [len(target.seen) for target in targets] == [5, 5]


def test_reload_changes_the_answers_for_which_a_stop_serves(daemon):
    """Guards against a listener that closes while callers use its steering answers."""
    built, core = daemon.built, daemon.core
    first_ttl_s = core.steering.ttl
    built.apply(attrs.evolve(daemon.cfg, max_ttl_s=0.2))
    assert core.steering.ttl == 0.2
    # Callers may still use answers of before the reload.
    assert core.departure.times.serve_s >= 3 * first_ttl_s


# -- the end ---------------------------------------------------------------------------


def test_pages_are_served_until_the_last_request_is_finished(
    daemon, start_target, wait_for_targets
):
    """Guards against platforms and daemons that see an end before it has come."""
    answer = Event()
    target = start_target(behave=lambda number: answer)
    wait_for_targets(daemon, "i-1")
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    stopping = leave(daemon, LeavingTimes(0.0, 60.0))
    wait_for(lambda: daemon.core.callers_server.closed)
    pages = [
        (daemon.cfg.ready, "/api/ready", 503),
        (daemon.cfg.directory, "/api/resolve?name=shop.example&zone=hall", 200),
        (daemon.cfg.handover, HANDOVER_PATH, 200),
    ]
    statuses = [daemon.get(address, path).status for address, path, _ in pages]
    assert statuses == [status for *_, status in pages]
    answer.set()
    assert caller.get().status == 200
    assert stopping.get() == 0


def test_stall_in_a_stop_does_not_move_its_end(daemon, monkeypatch):
    """Guards against a daemon that is killed by the platform before its requests end.

    The failure occurs if the time to finish counts from the moment at which the daemon
    notices that it has served for long enough.
    """
    server = daemon.core.callers_server
    seconds = []

    def finish(limit_s, keep_idle_s):
        seconds.append(limit_s)
        return True

    monkeypatch.setattr(server, "finish", finish)
    daemon.core.set_leaving_times(LeavingTimes(60.0, 60.0))
    daemon.core.departure.begin(time.monotonic() - 90.0)
    daemon.core.leave()
    assert daemon.core.run_to_end() == 0
    assert 0 < seconds[0] <= 30.0


@pytest.fixture
def refusing_address():
    """Return an address that refuses connections."""
    with gevent.socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()


@pytest.fixture
def two(store, start_daemon, start_target):
    """Return two daemons that know each other and a target."""
    store.put("op", "config", configuration(rules=UNSAFE))
    start_target()
    daemons = [start_daemon(name) for name in ("front-1", "front-2")]
    for each in daemons:
        wait_for(lambda d=each: len(d.core.cluster.membership.live()) == 2)
        wait_for(lambda d=each: d.core.services.targets())
    return daemons


def test_order_of_a_peer_is_declined_once_the_last_request_is_finished(
    two, refusing_address, monkeypatch
):
    """Guards against an order that a daemon takes and cuts, as it ends before its time.

    A daemon without requests does not wait for the end of its time. A peer that has not
    heard of its stop may still pass a request on.
    """
    sender, stopping = two
    peer = sender.core.detours.next_peer("svc", set())
    monkeypatch.setattr(
        DetourClient, "next_peer", lambda self, name, tried: None if tried else peer
    )
    monkeypatch.setattr(DetourClient, "has_peers", lambda self: True)
    finishing, may_end = Event(), Event()

    def finish_pages(seconds):
        finishing.set()
        may_end.wait()

    pages = stopping.core._listeners[-1]
    monkeypatch.setattr(pages, "finish", finish_pages)
    stopping.core.set_leaving_times(LeavingTimes(0.0, 60.0))
    stopping.core.leave()
    leaving = gevent.spawn(stopping.core.run_to_end)
    finishing.wait()
    sender.core.upstreams._pools = LostPaths(refusing_address)
    reply = sender.call(**POST, deadline_ms=3_000)
    may_end.set()
    assert leaving.get() == 0
    assert outcome(reply) == "not-run"
    assert stopping.core.metrics.detours["received", "declined"] == 1


@pytest.mark.parametrize("first", [1, 2])
def test_requests_behind_one_that_the_end_cuts_are_answered(
    store, start_daemon, start_target, wait_for_targets, read_to_end, first
):
    """Guards against orders that a daemon has read, and drops as it ends.

    They wait for a request before them, which is at a target up to the end. So does the
    answer to a second lookup, although its target is done.
    """
    rules = [rule(timeout="60s"), rule("r-2", "/b/", kind="unsafe", timeout="60s")]
    store.put("op", "config", configuration(rules=rules))
    daemon = start_daemon()
    target = start_target(behave=lambda number: Event() if number == first else None)
    wait_for_targets(daemon, "i-1")
    sock = connect((HOST, daemon.cfg.callers.port), 10).sock
    sock.sendall(request("/a/1") + request("/a/2") + request("/b/3", "POST", b"x"))
    wait_for(lambda: daemon.core.callers_server.lookahead.total == 2)
    wait_for(lambda: len(target.seen) == 2)
    stopping = leave(daemon, LeavingTimes(0.0, 1.0))
    received = read_to_end(sock)
    stopping.get()
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert sorted(statuses[:2]) == [b"200", b"502"]
    assert statuses[2:] == [b"503"]
    assert len(target.seen) == 2


# -- processes -------------------------------------------------------------------------


@pytest.fixture
def start_process(store, tmp_path):
    """Return a function that starts a daemon with 6 s to stop in a process."""
    store.put("op", "config", configuration(rules=[rule(timeout="30s")]))
    started = []

    def start():
        text = settings_text(store.port, host=unique_loopback_host(1))
        process = DaemonProcess(tmp_path, process_host(text), text)
        started.append(process)
        return process

    yield start
    for process in started:
        process.kill()


@pytest.fixture
def process(start_process):
    """Return a daemon in a process that has its target."""
    process = start_process()
    wait_for(lambda: process.logged("targets"))
    return process


def connected(process):
    return connect((process.host, process.cfg.callers.port), 10).sock


def end_of(process):
    """Return the exit code of a process, and what its last line says."""
    code = process.process.wait()
    (left,) = process.logged("left")
    return code, left["every_request_answered"]


@pytest.fixture
def in_progress(start_target):
    """Return an event that ends the work of a target, which takes one request."""
    answer = Event()
    start_target(behave=lambda number: answer)
    return answer


def test_further_signals_in_a_stop_cut_no_request(
    in_progress, process, read_to_end, start_target
):
    """Guards against a second signal that ends the process or begins the stop again."""
    sock = connected(process)
    sock.sendall(request("/a/1"))
    stop(process)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        process.process.send_signal(number)
    wait_for(lambda: process.logged("reload"))
    in_progress.set()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")
    assert end_of(process) == (0, True)
    assert len(process.logged("leaving")) == 1


def test_stop_in_an_outage_of_the_store_ends_in_time(
    store, in_progress, process, read_to_end
):
    """Guards against a daemon that waits for the store as it removes its row."""
    sock = connected(process)
    sock.sendall(request("/a/1"))
    store.down = "slow"
    stop(process)
    in_progress.set()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")
    assert end_of(process) == (0, True)


def test_daemon_that_stops_before_its_rules_answers_requests(
    store, start_process, read_to_end
):
    """Guards against requests that wait for rules that their daemon never gets."""
    store.held["op"] = Event()
    process = start_process()
    wait_for(lambda: process.logged("serving"))
    sock = connected(process)
    sock.sendall(request("/a/1"))
    stop(process)
    assert read_to_end(sock).startswith(b"HTTP/1.1 503 ")
    assert end_of(process) == (0, True)


@pytest.mark.parametrize("left_out", [0, 1], ids=["at work", "body not arrived"])
def test_exit_code_tells_of_requests_without_an_answer(in_progress, process, left_out):
    """Guards against an operator who learns nothing of requests that a stop cut."""
    sock = connected(process)
    whole = request("/a/1", "POST", b"order")
    sock.sendall(whole[: len(whole) - left_out])
    stop(process)
    assert end_of(process) == (1, False)
