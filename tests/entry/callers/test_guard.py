"""Requests that crash targets, through the callers' listener of one daemon."""

import json
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.callers import quarantine_note_registry
from cairnferry.entry.callers._quarantine_notes import (
    BlockMessage,
    quarantine_note,
)
from cairnferry.policy import (
    ALL_CALLERS,
    Block,
    BlockRef,
    RequestIdentity,
    TargetCrash,
)
from cairnferry.standins import wait_for

POISON = "/s/poison"
# Seconds that a presence check takes on a busy daemon; a call takes about 2 ms.
SLOW_CHECK_S = 0.05


def cause(reply):
    return json.loads(reply.body)["cause"]


@pytest.fixture
def daemon_and_targets(start_entry, start_target, records_for):
    """Return a daemon's callers' listener and targets that crash on a marked path."""
    targets = [start_target(service_ms=0, ends_on="poison") for _ in range(6)]
    return start_entry(*records_for(*targets)), targets


def crashes(targets):
    return sum(target.crashes for target in targets)


def test_a_request_that_crashes_targets_is_blocked_and_others_are_served(
    daemon_and_targets,
):
    """Guards against one idempotent request that crashes all targets of a service.

    The daemon sends the request up to three times, and its caller retries it.
    """
    entry, targets = daemon_and_targets
    replies = [entry.call(path=POISON) for _ in range(6)]
    assert crashes(targets) <= 3
    assert cause(replies[-1]) == "ends-targets"
    assert replies[-1].status == 503
    assert int(replies[-1].header("retry-after")) >= 15
    assert replies[-1].header("cairnferry-outcome") == "not-run"
    # The first request ran, so its outcome is unknown.
    assert replies[0].header("cairnferry-outcome") == "unknown"
    assert entry.call().status == 200


def test_a_non_idempotent_request_is_blocked_after_its_caller_retries(
    daemon_and_targets,
):
    entry, targets = daemon_and_targets
    replies = [entry.call("POST", POISON, body=b"order") for _ in range(5)]
    assert crashes(targets) == 3
    outcomes = [reply.header("cairnferry-outcome") for reply in replies]
    assert outcomes == ["unknown"] * 3 + ["not-run"] * 2


def test_a_retry_waits_for_the_presence_check_of_the_last_target(
    daemon_and_targets, monkeypatch
):
    """Guards against a fourth crash on a busy daemon.

    The caller retries while the presence check of the last target still runs. The
    failure occurs if the request is sent as if there had been no crash.
    """
    entry, targets = daemon_and_targets
    check_presence = type(entry.upstreams).check_presence

    def check_slowly(self, *args):
        gevent.sleep(SLOW_CHECK_S)
        return check_presence(self, *args)

    monkeypatch.setattr(type(entry.upstreams), "check_presence", check_slowly)
    replies = [entry.call("POST", POISON, body=b"order") for _ in range(6)]
    assert crashes(targets) == 3
    assert [cause(reply) for reply in replies[-2:]] == ["ends-targets"] * 2


def test_a_target_that_drops_requests_but_serves_has_not_crashed(
    start_entry, start_target, records_for
):
    """Guards against blocked requests although no target has crashed.

    Answers are lost on the network for some seconds. The failure occurs if each broken
    connection counts as a crash.
    """
    targets = [start_target(fault="cut-after-run") for _ in range(3)]
    entry = start_entry(*records_for(*targets))
    for _ in range(10):
        assert cause(entry.call("POST", body=b"x")) == "target-lost"
    assert len(entry.guard.quarantine) == 0


def test_a_leaving_target_does_not_make_requests_suspect(
    start_entry, start_target, records_for
):
    targets = [start_target(service_ms=0, ends_on="poison") for _ in range(3)]
    records = records_for(*targets)
    for record in records:
        if record["kind"] == "target":
            record["spec"]["lifecycle"] = "draining"
    entry = start_entry(*records)
    for target in entry.policy()._targets:
        attempt = _Attempt(target)
        crash_detector = entry.server.application.forwarder.crash_detector
        assert crash_detector.note_broken_connection(attempt, None, "1", "s") is None
    assert len(entry.guard.quarantine) == 0


class _Attempt:
    def __init__(self, target):
        self.target = target
        self.started = 0.0


def test_a_successful_trial_unblocks_a_request(daemon_and_targets):
    """A new release has fixed the targets, so that the first trial lifts the block."""
    entry, targets = daemon_and_targets
    while cause(entry.call("POST", POISON, body=b"x")) != "ends-targets":
        pass
    for target in targets:
        target.behaviour.ends_on = ""
    wait_for(lambda: all(target.server._server.started for target in targets))
    age_blocks(entry.guard, 21.0)
    assert entry.call("POST", POISON, body=b"x").status == 200
    assert entry.call("POST", POISON, body=b"x").status == 200
    assert entry.guard.snapshot() == []
    assert entry.metrics.quarantine["tried"] == 1


def test_a_failed_trial_crashes_one_target_and_delays_the_next_trial(
    daemon_and_targets,
):
    entry, targets = daemon_and_targets
    while cause(entry.call("POST", POISON, body=b"x")) != "ends-targets":
        pass
    age_blocks(entry.guard, 21.0)
    before = crashes(targets)
    for _ in range(4):
        entry.call("POST", POISON, body=b"x")
    assert crashes(targets) == before + 1
    assert entry.guard.snapshot()[0]["next_trial_s"] > 70


def age_blocks(guard, seconds):
    """Move the times of all blocks into the past."""
    for evidence in guard.quarantine._evidence.values():
        evidence.blocks = {
            scope: Block(b.at - seconds, b.since - seconds, b.trials)
            for scope, b in evidence.blocks.items()
        }


def test_a_request_that_is_blocked_while_it_waits_is_not_sent(
    start_entry, start_target, records_for
):
    """Guards against targets that crash for seconds after a request was blocked.

    Equal requests wait for capacity or for status checks when the request is blocked.
    The failure occurs if requests are checked only at their arrival.
    """
    target = start_target(slots=1, service_ms=200)
    entry = start_entry(*records_for(target, deadline_ms=20_000))
    first = gevent.spawn(entry.call, "GET", "/s/slow")
    wait_for(lambda: target.in_use == 1)
    # The second request fills the window of a target with one slot; the third waits.
    second = gevent.spawn(entry.call, "GET", "/s/slow")
    waiting = gevent.spawn(entry.call, "POST", POISON, body=b"x")
    wait_for(lambda: entry.policy().waiting)
    identity = RequestIdentity("POST", "", POISON, b"x", "127.0.0.1")
    now = time.monotonic()
    block = BlockMessage(BlockRef(identity.content, ALL_CALLERS), Block(now, now - 1))
    note = quarantine_note(block, now)
    quarantine_note_registry(entry.guard.receive).post(note, now, 3)
    gevent.joinall([first, second, waiting])
    assert cause(waiting.value) == "ends-targets"
    assert waiting.value.header("cairnferry-outcome") == "not-run"
    assert [method for _, method, _ in target.seen] == ["GET", "GET"]


def test_a_caller_that_disconnects_during_a_presence_check_releases_its_slot(
    start_entry, start_target, records_for, monkeypatch
):
    """Guards against capacity that is lost with each caller that disconnects.

    A target breaks the connection of a suspect request, and the caller disconnects
    during the presence check. The failure occurs if the attempt is not released.
    """
    target = start_target(fault="cut-before-run")
    entry = start_entry(*records_for(target))
    identity = RequestIdentity("GET", "", POISON, b"", "127.0.0.1")
    now = time.monotonic()
    crash = TargetCrash("i-0", identity.caller_tag, now - 1, now)
    entry.guard.quarantine.note_crash(identity.content, crash, now)
    checks = []

    def check_forever(*args):
        checks.append(Event())
        return checks[0]

    crash_detector = entry.server.application.forwarder.crash_detector
    monkeypatch.setattr(
        type(crash_detector), "note_broken_connection", lambda *args: check_forever()
    )
    with gevent.socket.create_connection(("127.0.0.1", entry.port)) as sock:
        sock.sendall(f"GET {POISON} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        wait_for(lambda: checks)
        assert entry.policy().in_flight == 1
    wait_for(lambda: entry.policy().in_flight == 0)


def test_the_host_header_does_not_change_the_identity_of_a_request(daemon_and_targets):
    """Guards against a request that has a different identity at each daemon.

    Routes match any host, and callers put the daemon's address into Host. The failure
    occurs if the digest contains that header.
    """
    entry, targets = daemon_and_targets
    for number in range(4):
        data = f"POST {POISON} HTTP/1.1\r\nHost: d{number}\r\nContent-Length: 0\r\n"
        answer = entry.raw(f"{data}Connection: close\r\n\r\n".encode())
    assert b" 503 " in answer.partition(b"\r\n")[0]
    assert crashes(targets) == 3
