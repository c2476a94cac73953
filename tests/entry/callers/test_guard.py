"""Requests that end targets, through the callers' side of one daemon."""

import json
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry.callers import quarantine_board
from cairnferry.entry.callers._quarantine_notes import (
    BlockTold,
    note_of,
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
# Time in seconds that a look takes on a busy daemon; a call takes some 2 ms.
LATE_LOOK_S = 0.05


def cause(reply):
    return json.loads(reply.body)["cause"]


@pytest.fixture
def sides(start_entry, start_target, records_for):
    """Give a daemon's callers' side and its targets, which end on a marked path."""
    targets = [start_target(service_ms=0, ends_on="poison") for _ in range(6)]
    return start_entry(*records_for(*targets)), targets


def ends(targets):
    return sum(target.ends for target in targets)


def test_a_request_that_ends_targets_is_told_so_and_others_are_served(sides):
    """Symptom: one lookup takes all targets of a service, one after the other.

    The own interface sends it up to three times, and its caller asks again.
    """
    entry, targets = sides
    replies = [entry.call(path=POISON) for _ in range(6)]
    assert ends(targets) <= 3
    assert cause(replies[-1]) == "ends-targets"
    assert replies[-1].status == 503
    assert int(replies[-1].header("retry-after")) >= 15
    assert replies[-1].header("cairnferry-outcome") == "not-run"
    # The first one ran, and is told so.
    assert replies[0].header("cairnferry-outcome") == "unknown"
    assert entry.call().status == 200


def test_an_order_is_sent_once_and_blamed_over_its_repeats(sides):
    entry, targets = sides
    replies = [entry.call("POST", POISON, body=b"order") for _ in range(5)]
    assert ends(targets) == 3
    outcomes = [reply.header("cairnferry-outcome") for reply in replies]
    assert outcomes == ["unknown"] * 3 + ["not-run"] * 2


def test_a_caller_that_comes_back_before_its_target_was_looked_at_is_known(
    sides, monkeypatch
):
    """Symptom: on a busy daemon an order ends a fourth target, now and then.

    Events: its caller comes back within the time that a look at the last target takes.
    Cause: the end was not known yet, and the order was sent as if there were none.
    """
    entry, targets = sides
    look_at = type(entry.upstreams).look_at

    def look_late(self, *args):
        gevent.sleep(LATE_LOOK_S)
        return look_at(self, *args)

    monkeypatch.setattr(type(entry.upstreams), "look_at", look_late)
    replies = [entry.call("POST", POISON, body=b"order") for _ in range(6)]
    assert ends(targets) == 3
    assert [cause(reply) for reply in replies[-2:]] == ["ends-targets"] * 2


def test_a_target_that_drops_requests_and_serves_on_has_not_ended(
    start_entry, start_target, records_for
):
    """Symptom: orders are refused as they end targets, and no target has ended.

    Events: answers are lost on their way for some seconds. Cause: each broken
    connection was taken for an end.
    """
    targets = [start_target(fault="cut-after-run") for _ in range(3)]
    entry = start_entry(*records_for(*targets))
    for _ in range(10):
        assert cause(entry.call("POST", body=b"x")) == "target-lost"
    assert len(entry.guard.quarantine) == 0


def test_a_target_that_was_leaving_blames_nobody(
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
        assert crash_detector.note_break(attempt, None, "1", "s") is None
    assert len(entry.guard.quarantine) == 0


class _Attempt:
    def __init__(self, target):
        self.target = target
        self.started = 0.0


def test_a_request_that_runs_well_by_now_is_let_through_by_its_trial(sides):
    """A release has mended the targets: the first trial lifts the block."""
    entry, targets = sides
    while cause(entry.call("POST", POISON, body=b"x")) != "ends-targets":
        pass
    for target in targets:
        target.behaviour.ends_on = ""
    wait_for(lambda: all(target.server._server.started for target in targets))
    pass_time(entry.guard, 21.0)
    assert entry.call("POST", POISON, body=b"x").status == 200
    assert entry.call("POST", POISON, body=b"x").status == 200
    assert entry.guard.snapshot() == []
    assert entry.metrics.quarantine["tried"] == 1


def test_a_trial_that_fails_costs_one_target_and_makes_the_next_one_later(sides):
    entry, targets = sides
    while cause(entry.call("POST", POISON, body=b"x")) != "ends-targets":
        pass
    pass_time(entry.guard, 21.0)
    before = ends(targets)
    for _ in range(4):
        entry.call("POST", POISON, body=b"x")
    assert ends(targets) == before + 1
    assert entry.guard.snapshot()[0]["next_trial_s"] > 70


def pass_time(guard, seconds):
    """Let blocks be older than they are."""
    for case in guard.quarantine._cases.values():
        case.blocks = {
            scope: Block(b.at - seconds, b.since - seconds, b.trials)
            for scope, b in case.blocks.items()
        }


def test_a_request_that_waited_while_it_was_blocked_is_not_sent(
    start_entry, start_target, records_for
):
    """Symptom: targets go on to end for seconds after a request was blocked.

    Events: several of its kind wait for room, or for the answers of targets that were
    asked, when it is blocked. Cause: it was looked at as it arrived, and then no more.
    """
    target = start_target(slots=1, service_ms=200)
    entry = start_entry(*records_for(target, deadline_ms=20_000))
    first = gevent.spawn(entry.call, "GET", "/s/slow")
    wait_for(lambda: target.in_use == 1)
    # The second one fills the window of a target with one slot; the third one waits.
    second = gevent.spawn(entry.call, "GET", "/s/slow")
    waiting = gevent.spawn(entry.call, "POST", POISON, body=b"x")
    wait_for(lambda: entry.policy().waiting)
    identity = RequestIdentity("POST", "", POISON, b"x", "127.0.0.1")
    now = time.monotonic()
    block = BlockTold(BlockRef(identity.content, ALL_CALLERS), Block(now, now - 1))
    note = note_of(block, now)
    quarantine_board(entry.guard.receive).post(note, now, 3)
    gevent.joinall([first, second, waiting])
    assert cause(waiting.value) == "ends-targets"
    assert waiting.value.header("cairnferry-outcome") == "not-run"
    assert [method for _, method, _ in target.seen] == ["GET", "GET"]


def test_a_caller_that_leaves_during_a_look_gives_its_place_back(
    start_entry, start_target, records_for, monkeypatch
):
    """Symptom: a daemon takes fewer requests with each caller that leaves.

    Events: a target breaks off a request under suspicion, and its caller leaves while
    the daemon looks whether the target ended. Cause: the attempt was never counted out.
    """
    target = start_target(fault="cut-before-run")
    entry = start_entry(*records_for(target))
    identity = RequestIdentity("GET", "", POISON, b"", "127.0.0.1")
    now = time.monotonic()
    end = TargetCrash("i-0", identity.caller_tag, now - 1, now)
    entry.guard.quarantine.note_crash(identity.content, end, now)
    looks = []

    def look_for_ever(*args):
        looks.append(Event())
        return looks[0]

    crash_detector = entry.server.application.forwarder.crash_detector
    monkeypatch.setattr(
        type(crash_detector), "note_break", lambda *args: look_for_ever()
    )
    with gevent.socket.create_connection(("127.0.0.1", entry.port)) as sock:
        sock.sendall(f"GET {POISON} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        wait_for(lambda: looks)
        assert entry.policy().in_flight == 1
    wait_for(lambda: entry.policy().in_flight == 0)


def test_the_name_by_which_a_caller_calls_the_daemon_changes_nothing(sides):
    """Symptom: a request that ends targets is another one at each daemon.

    Events: routes take any host, and callers name the daemon's address in Host. Cause:
    the digest was made of what they name.
    """
    entry, targets = sides
    for number in range(4):
        data = f"POST {POISON} HTTP/1.1\r\nHost: d{number}\r\nContent-Length: 0\r\n"
        answer = entry.raw(f"{data}Connection: close\r\n\r\n".encode())
    assert b" 503 " in answer.partition(b"\r\n")[0]
    assert ends(targets) == 3
