"""Requests that a daemon without paths to the targets passes on to a peer."""

import contextlib
import socket
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.callers import DetourApp
from cairnferry.entry.detours import DetourClient
from cairnferry.entry.workspaces import WorkspaceLimiter
from cairnferry.peers import PeerRequestPool
from cairnferry.standins import wait_for
from cairnferry.wire import Client, ConnectFailed, ConnectionPool, Reply, connect
from tests.adapter._standins import HOST, configuration, rule

from .conftest import RULES
from .test_partitioned_instances import call_often, served

ORDER = {"path": "/o/x", "method": "POST", "body": b"order"}
KEY = "s3cret-key"


def passed_on(daemon):
    """Return how often the daemon passed requests on, by outcome."""
    counts = daemon.core.metrics.detours
    return {name: n for (way, name), n in counts.items() if way == "passed-on"}


def runs(targets, request_id):
    seen = [each for target in targets for each in target.seen]
    return [each for each in seen if each[2]["cairnferry-request-id"] == request_id]


@pytest.fixture
def cut_off(daemons, cut, silent_address):
    """Return a daemon that is cut off, and knows it."""
    cut(daemons[0], silent_address)
    wait_for(lambda: daemons[0].call(deadline_ms=1_000).status == 200)
    wait_for(lambda: passed_on(daemons[0]))
    return daemons[0]


def hold(targets):
    """Let targets hold their answers to requests; return the event that ends it."""
    event = Event()
    for target in targets:
        target.arrived.clear()
        target.behave = lambda number: event
    return event


def at_work(daemons):
    """Return the daemon that serves a request of a peer."""
    (found,) = [each for each in daemons if each.core.detour_server.busy]
    return found


def test_request_that_no_prefix_begins_is_not_passed_on(cut_off):
    """Guards against a peer that handles a request by another route."""
    before = passed_on(cut_off)
    for path in ("/a", "/o", "/o?x=/o/"):
        assert cut_off.call(path).status == 404
    assert passed_on(cut_off) == before


def test_order_whose_peer_is_lost_runs_once(daemons, cut_off, targets):
    """Guards against an order that a second peer runs, or that counts as not run."""
    hold(targets)
    caller = gevent.spawn(cut_off.call, request_id="order-1", **ORDER)
    wait_for(lambda: runs(targets, "order-1"))
    at_work(daemons).core.peer_server.stop()
    reply = caller.get()
    assert reply.status == 502
    assert reply.header("cairnferry-outcome") == "unknown"
    assert len(runs(targets, "order-1")) == 1


def test_request_that_two_stopping_daemons_cut_is_logged_at_both(
    daemons, cut_off, targets, caplog
):
    """Guards against requests of peers' callers that a stop cuts without a trace."""
    hold(targets)
    caller = gevent.spawn(cut_off.call, request_id="order-1", **ORDER)
    wait_for(lambda: runs(targets, "order-1"))
    peer = at_work(daemons)
    cut_off.core.stop()
    peer.core.stop()
    caller.get()
    lines = [each for each in caplog.records if each.message == "request cut by a stop"]
    at_first = [each for each in lines if each.stage == "at-peer"]
    assert [each.request_id for each in at_first] == ["order-1"]
    assert cut_off.core.metrics.cut == {"at-peer": 1}


def test_request_of_a_peer_that_a_stop_cuts_is_logged_with_its_target(
    daemons, cut_off, targets, caplog
):
    """Guards against requests of peers' callers that a stop cuts without a trace."""
    hold(targets)
    caller = gevent.spawn(cut_off.call, request_id="order-1", **ORDER)
    wait_for(lambda: runs(targets, "order-1"))
    peer = at_work(daemons)
    peer.core.stop()
    assert caller.get().status == 502
    lines = [each for each in caplog.records if each.message == "request cut by a stop"]
    assert [(each.request_id, each.stage) for each in lines] == [
        ("order-1", "at-target")
    ]
    assert lines[0].received_from == cut_off.cfg.name
    assert len(lines[0].at_work) == 1
    assert peer.core.metrics.cut == {"at-target": 1}


def test_lookup_whose_peer_is_lost_is_served_by_another(daemons, cut_off, targets):
    cut_off.earn_retries()
    held = hold(targets)
    caller = gevent.spawn(cut_off.call, request_id="lookup-1")
    wait_for(lambda: runs(targets, "lookup-1"))
    at_work(daemons).core.peer_server.stop()
    held.set()
    assert caller.get().status == 200


def test_order_at_a_frozen_peer_has_an_unknown_outcome(daemons, cut_off, targets):
    """Guards against an order that is refused as not run while a peer may run it."""
    for peer in daemons[1:]:
        peer.core.peer_server.on_requests = lambda sock, address: gevent.sleep(60)
    for pool in cut_off.core.detours._pools.values():
        # Connections that the peer serves already would still be answered.
        pool.close()
    cut_off.core.detours._pools.clear()
    reply = cut_off.call(deadline_ms=700, request_id="order-1", **ORDER)
    assert reply.status == 504
    assert reply.header("cairnferry-outcome") == "unknown"
    assert not runs(targets, "order-1")


def test_a_peer_that_is_cut_off_too_declines(daemons, cut, cut_off, silent_address):
    """Guards against requests that end at a peer without paths of its own."""
    cut(daemons[1], silent_address)
    wait_for(lambda: daemons[1].call(deadline_ms=1_000).status == 200)
    assert served(call_often(cut_off, deadline_ms=1_000, **ORDER)) == 20
    received = daemons[2].core.metrics.detours["received", "relayed"]
    assert received >= 20


def test_a_peer_that_stops_declines_what_it_cannot_finish(daemons, cut_off, targets):
    """Guards against orders that a peer takes over shortly before it ends."""
    stopping = daemons[1]
    stopping.core.departure.begin(time.monotonic() - stopping.cfg.stop_s)
    assert served(call_often(cut_off, **ORDER)) == 20
    assert stopping.core.metrics.detours["received", "relayed"] == 0


def test_requests_are_refused_at_once_if_nobody_reaches_a_target(
    daemons, cut, silent_address, targets
):
    """Guards against callers that wait for their deadlines in vain, and against loops.

    A request that is passed on from daemon to daemon would count at all of them.
    """
    for daemon in daemons:
        cut(daemon, silent_address)
    for daemon in daemons:
        wait_for(lambda d=daemon: d.call(deadline_ms=300).status == 503)
    with gevent.Timeout(5.0):
        replies = call_often(daemons[0], **ORDER)
    assert {reply.status for reply in replies} == {503}
    assert all(float(reply.header("retry-after")) > 0 for reply in replies)
    assert set(passed_on(daemons[0])) == {"Declined"}
    assert not any("order" in str(each) for each in targets[0].seen)


def test_daemon_serves_by_itself_after_the_cut(daemons, cut, silent_address):
    """Guards against detours that outlast the cut."""
    mend = cut(daemons[0], silent_address)
    wait_for(lambda: daemons[0].call(deadline_ms=1_000).status == 200)
    mend()
    paths = daemons[0].core.services.runtime("svc").policy.paths
    wait_for(lambda: paths.broken_since is None)
    before = passed_on(daemons[0])
    assert served(call_often(daemons[0], **ORDER)) == 20
    assert passed_on(daemons[0]) == before


def test_daemon_that_starts_inside_a_cut_serves(
    daemons, start_daemon, cut, silent_address
):
    """Guards against a newcomer that has never reached a target and waits for one."""
    newcomer = start_daemon("front-9")
    cut(newcomer, silent_address)
    wait_for(lambda: len(newcomer.core.services.targets()) == 6)
    wait_for(lambda: newcomer.core.detours.has_peers())
    replies = call_often(newcomer, 5, deadline_ms=1_000, **ORDER)
    assert served(replies) >= 4


def test_living_connections_do_not_hide_that_new_ones_are_refused(
    daemons, refusing_address, targets
):
    """Guards against callers refused for the few connections that still live."""
    daemon = daemons[0]
    pools = daemon.core.upstreams._pools
    for pool in pools.values():
        pool.address = refusing_address
    held = hold(targets)
    callers = [
        gevent.spawn(daemon.call, request_id=f"order-{number}", **ORDER)
        for number in range(20)
    ]
    wait_for(lambda: sum(len(runs(targets, f"order-{n}")) for n in range(20)) == 20)
    held.set()
    assert served([caller.get() for caller in callers]) == 20


def test_a_caller_that_leaves_ends_its_request_at_the_target(cut_off, targets):
    """Guards against targets that work for callers that a peer does not see leave."""
    hold(targets)
    caller = gevent.spawn(cut_off.call, request_id="lookup-1")
    wait_for(lambda: runs(targets, "lookup-1"))
    caller.kill()
    wait_for(lambda: any(target.disconnected.is_set() for target in targets))


def test_target_learns_the_time_left_and_the_callers_headers(cut_off, targets):
    """Guards against a longer time, or headers between daemons, at a target."""
    reply = cut_off.call(
        request_id="lookup-1",
        deadline_ms=900,
        headers=[("Cairnferry-Detour-Attempts", "9"), ("X-Own", "1")],
    )
    assert reply.status == 200
    assert not [name for name, _ in reply.headers if "detour" in name.lower()]
    (run,) = runs(targets, "lookup-1")
    assert int(run[2]["cairnferry-deadline-ms"]) <= 900
    assert run[2]["x-own"] == "1"
    assert not [name for name in run[2] if "detour" in name]


def test_long_and_chunked_bodies_arrive_whole(cut_off, targets):
    body = bytes(range(256)) * 300
    reply = cut_off.call("/o/x", "POST", request_id="order-1", body=body)
    assert reply.status == 200
    (run,) = runs(targets, "order-1")
    assert run[3] == body
    conn = connect(cut_off.cfg.callers.as_tuple(), 5.0)
    conn.sock.sendall(
        b"POST /o/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Cairnferry-Request-Id: order-2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\n it\r\n0\r\n\r\n"
    )
    assert conn.sock.recv(12) == b"HTTP/1.1 200"
    conn.close()
    (run,) = runs(targets, "order-2")
    assert run[3] == b"hello it"


def test_nobody_but_a_daemon_may_pass_requests_on(daemons, targets):
    """Guards against callers that claim to be another caller's daemon."""
    address = daemons[0].core.cfg.peers.listen
    head = [("Cairnferry-Detour-From", "front-1"), ("Cairnferry-Request-Id", "r-9")]
    client = Client(HOST, address.port, host_name="shop.example")
    assert not isinstance(client.call("GET", "/a/x", timeout=5, headers=head), Reply)
    assert not runs(targets, "r-9")


def test_peer_with_older_rules_declines(daemons, cut_off, targets, monkeypatch):
    """Guards against requests that are handled by rules that are no longer in force."""
    for peer in daemons[1:]:
        monkeypatch.setattr(peer.core.services, "revision", 1)
    reply = cut_off.call(request_id="lookup-1", deadline_ms=1_000)
    assert reply.status == 503
    assert not runs(targets, "lookup-1")


def test_limits_and_keys_hold_over_a_detour(
    start_daemons, cut, silent_address, monkeypatch
):
    """Guards against requests that count twice, and against keys sent to a peer."""
    tenants = [{"name": "red", "api_keys": [KEY], "rate_per_s": 900, "burst": 900}]
    key = {"headers": [("Authorization", f"Bearer {KEY}")]}
    # A late request would leave most tokens of a bucket that has just begun to fill.
    rules = [each | {"target_latency": "20s"} for each in RULES]
    first, *others = start_daemons(configuration(rules=rules, tenants=tenants), **key)
    cut(first, silent_address)
    wait_for(lambda: first.call(deadline_ms=1_000, **key).status == 200)
    admitted = []
    admit = WorkspaceLimiter.admit

    def record(limiter, workspace, call):
        admitted.append((limiter, workspace.name))
        return admit(limiter, workspace, call)

    monkeypatch.setattr(WorkspaceLimiter, "admit", record)
    sent = []
    send = DetourClient.send

    def record_request(client, peer, request, service):
        sent.append(str((request.headers, request.head.headers())))
        return send(client, peer, request, service)

    monkeypatch.setattr(DetourClient, "send", record_request)
    assert first.call(deadline_ms=1_000).status == 401
    replies = call_often(first, deadline_ms=1_000, **key)
    assert [reply.body for reply in replies if reply.status != 200] == []
    counted = [each.core.workspace_limits.limiter for each in others]
    assert len(admitted) == 20
    assert all(limiter in counted for limiter, _ in admitted)
    assert {name for _, name in admitted} == {"red"}
    assert sent
    assert not [text for text in sent if KEY in text]


def test_request_that_finds_no_room_here_is_served_by_a_peer(
    daemons, silent_address, targets
):
    """Guards against refusals by a daemon that reaches full targets only."""
    daemon = daemons[0]
    full, *_ = targets
    full.load = "4,9,4,100"
    pools = daemon.core.upstreams._pools
    for (name, address), pool in list(pools.items()):
        if address[1] != full.port:
            pool.close()
            pools[name, address] = ConnectionPool(silent_address)
    call_often(daemon, 10, deadline_ms=1_000)
    replies = call_often(daemon, 20, deadline_ms=1_000, **ORDER)
    assert served(replies) >= 18


def test_connection_without_the_key_is_not_taken_for_a_peer(daemons):
    """Guards against a daemon that answers a stranger at the peers' port."""
    conn = connect((HOST, daemons[0].core.cfg.peers.listen.port), 5.0)
    assert not isinstance(conn, ConnectFailed)
    conn.sock.sendall(b"CFQ1" + bytes(200))
    conn.sock.settimeout(5.0)
    answer = b""
    with contextlib.suppress(ConnectionResetError):
        answer = conn.sock.recv(100)
    assert answer == b""
    conn.close()


def test_reset_connections_and_refused_ones_are_no_crashes(
    daemons, cut, refusing_address, targets
):
    """Guards against requests that all daemons block after a partition of one."""
    daemon = daemons[0]
    hold(targets)
    callers = [
        gevent.spawn(daemon.call, request_id=f"order-{number}", **ORDER)
        for number in range(4)
    ]
    wait_for(lambda: sum(len(runs(targets, f"order-{n}")) for n in range(4)) == 4)
    cut(daemon, refusing_address)
    for target in targets:
        for sock in list(target._socks):
            sock.shutdown(socket.SHUT_RDWR)
    gevent.joinall(callers)
    detector = daemon.core.crash_detector
    wait_for(lambda: not detector._presence_checks)
    assert daemon.core.metrics.target_crashes["svc"] == 0
    assert not daemon.core.guard.snapshot()


def test_peer_that_reaches_full_targets_only_declines(
    daemons, cut, cut_off, silent_address, targets
):
    """Guards against a refusal by a peer that is partly cut off itself."""
    partly = daemons[1]
    full, *_ = targets
    cut(partly, silent_address)
    pools = partly.core.upstreams._pools
    for target in targets:
        pools.get((target.name, (HOST, target.port)))
    pools[full.name, (HOST, full.port)] = ConnectionPool((HOST, full.port))
    full.load = "4,9,4,100"
    call_often(partly, 10, deadline_ms=1_000)
    assert served(call_often(cut_off, deadline_ms=1_000, **ORDER)) == 20


def test_callers_do_not_wait_for_peers_that_are_out_of_reach(
    daemons, cut_off, silent_address, monkeypatch
):
    """Guards against a daemon that tries one lost peer after the other."""
    keys = cut_off.core.keys
    pool = PeerRequestPool(silent_address, keys=keys)
    monkeypatch.setattr(DetourClient, "_pool", lambda client, address: pool)
    with gevent.Timeout(1.0):
        reply = cut_off.call(deadline_ms=5_000, **ORDER)
    assert reply.status == 503
    assert reply.header("cairnferry-outcome") == "not-run"
    assert passed_on(cut_off)["NoConnection"] == 2


def test_order_at_a_peer_that_fails_is_not_sent_to_another(
    daemons, cut_off, targets, monkeypatch
):
    """Guards against an order that runs again as a peer failed after its attempt."""

    def fail(app, forwarded, head, runtime):
        raise RuntimeError("a fault of the peer")

    monkeypatch.setattr(DetourApp, "finish_answer", fail)
    reply = cut_off.call(request_id="order-1", **ORDER)
    assert reply.status == 502
    assert reply.header("cairnferry-outcome") == "unknown"
    assert len(runs(targets, "order-1")) == 1


def test_weights_of_services_hold_over_a_detour(
    store, start_daemons, start_target, cut, silent_address
):
    """Guards against a second selection by weights, which changes the shares."""
    others = [start_target(f"other-{number}", service="other") for number in range(6)]
    weights = [{"service": "svc", "weight": 1}, {"service": "other", "weight": 1}]
    rules = [rule("r-1", "/a/", backends=weights)]
    document = configuration(rules=rules, clusters=("svc", "other"))
    first, *_ = start_daemons(document, targets=12)
    pools = first.core.upstreams._pools
    cut(first, silent_address)
    for target in others:
        address = (target.name, (HOST, target.port))
        first.core.upstreams._pools[address] = pools.get(address) or ConnectionPool(
            (HOST, target.port)
        )
    call_often(first, 6, deadline_ms=1_000)
    before = sum(len(target.seen) for target in others)
    assert served(call_often(first, 20, deadline_ms=1_000)) == 20
    assert sum(len(target.seen) for target in others) - before == 10
