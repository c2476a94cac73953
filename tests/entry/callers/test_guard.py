"""Requests that end targets, at one daemon and at many, in one process."""

import json
import time

import gevent
import pytest
from expression import Error, Ok
from gevent.event import Event

from cairnferry.coordination import Note, Row
from cairnferry.entry._ports import FeedUnavailable
from cairnferry.entry.callers import Guard, suspicion_board
from cairnferry.entry.callers._block_table import (
    MAX_ROWS,
    BlockTable,
    decode_block,
    encode_block,
    name_of,
    read_name,
)
from cairnferry.entry.callers._suspicions import (
    AnswerTold,
    BlockTold,
    EndTold,
    note_of,
    read_note,
)
from cairnferry.entry.targets import LostRun
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import (
    EVERYBODY,
    Block,
    BlockRef,
    Call,
    Cause,
    End,
    Refuse,
    RequestIdentity,
)
from cairnferry.standins import wait_for

POISON = "/s/poison"


def cause(reply):
    return json.loads(reply.body)["cause"]


# -- requests through a daemon ------------------------------------------------------


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
        endings = entry.server.application.forwarder.endings
        assert endings.note_break(attempt, None, "1", "s") is None
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
    block = BlockTold(BlockRef(identity.content, EVERYBODY), Block(now, now - 1))
    note = note_of(block, now)
    suspicion_board(entry.guard).post(note, now, 3)
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
    end = End("i-0", identity.caller_tag, now - 1, now)
    entry.guard.quarantine.note_end(identity.content, end, now)
    looks = []

    def look_for_ever(*args):
        looks.append(Event())
        return looks[0]

    endings = entry.server.application.forwarder.endings
    monkeypatch.setattr(type(endings), "note_break", lambda *args: look_for_ever())
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


# -- many daemons -------------------------------------------------------------------


class Fleet:
    """Guards of several daemons that hear each other's notes, and one table."""

    def __init__(self, clock, count, rows=None):
        self.clock = clock
        self.boards = []
        self.guards = []
        for number in range(count):
            guard = Guard(Metrics(), self._teller(number), table=BlockTable(rows))
            self.guards.append(guard)
            self.boards.append(suspicion_board(guard))
        self.cut = set()

    def _teller(self, number):
        def tell(note, again):
            for other, board in enumerate(self.boards):
                if other == number or not {other, number} & self.cut:
                    board.post(note, self.clock.now, len(self.boards))

        return tell


class Table:
    """Rows with versions, as the platform's store keeps them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_up = True

    def write(self, name, data, version):
        row = self.rows.get(name)
        if not self.is_up or (row.version if row else 0) != version:
            return Error(FeedUnavailable("changed"))
        self.version += 1
        self.rows[name] = Row(name, data, self.version)
        return Ok(None)

    def remove(self, name, version):
        if not self.is_up or self.rows[name].version != version:
            return Error(FeedUnavailable("changed"))
        del self.rows[name]
        return Ok(None)


@pytest.fixture
def clock(monkeypatch):
    """Give a clock that the test moves."""
    clock = Clock()
    for module in ("_guard", "_block_table"):
        monkeypatch.setattr(f"cairnferry.entry.callers.{module}.time", clock)
    return clock


class Clock:
    """Stands in for the time module."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return 1e9 + self.now


def request(path="/p", caller="10.0.0.1"):
    return RequestIdentity("GET", "shop", path, b"", caller)


def call(identity):
    return Call(0.0, 1e9, True, identity=identity)


def lost(identity, target, at):
    return LostRun(identity, "r", "s", target, at - 0.1, at)


def block_at_one(fleet, clock, identity=None):
    """Let three targets end at the first daemon, one after the other."""
    identity = identity or request()
    for number in range(3):
        fleet.guards[0].note_end(lost(identity, f"i-{number}", clock.now))
        clock.now += 0.2
    gevent.sleep(0)
    return identity


def test_each_daemon_sees_one_end_and_all_of_them_refuse(clock):
    """Symptom: each of many daemons runs an order that ends targets, once each.

    No single one of them sees more than one end.
    """
    fleet = Fleet(clock, 5)
    identity = request()
    for number, guard in enumerate(fleet.guards[:3]):
        guard.note_end(lost(identity, f"i-{number}", clock.now))
        clock.now += 0.2
    for guard in fleet.guards:
        refused = guard.admit(call(identity))
        assert isinstance(refused, Refuse)
        assert refused.cause is Cause.ENDS_TARGETS


def test_one_trial_for_all_daemons_also_where_they_do_not_hear_each_other(clock):
    """Symptom: after 20 s each part of a partition tries it, and ends a target."""
    table = Table()
    fleet = Fleet(clock, 4, table)
    identity = block_at_one(fleet, clock)
    for guard in fleet.guards:
        guard.take_rows(dict(table.rows))
    fleet.cut = {0, 1, 2, 3}
    clock.now += 21.0
    tried = [guard.admit(call(identity)) is None for guard in fleet.guards]
    assert tried == [True, False, False, False]


def test_a_request_that_comes_all_the_time_asks_the_store_for_a_trial_now_and_then(
    clock,
):
    """Symptom: a store that is away is called for each of hundreds of requests."""
    table = Table()
    fleet = Fleet(clock, 1, table)
    identity = block_at_one(fleet, clock)
    guard = fleet.guards[0]
    guard.take_rows(dict(table.rows))
    table.is_up = False
    calls = []

    def write(*args):
        calls.append(args)
        return Error(FeedUnavailable("away"))

    table.write = write
    clock.now += 21.0
    for _ in range(100):
        assert isinstance(guard.admit(call(identity)), Refuse)
    assert len(calls) == 1


def test_no_trial_while_the_store_is_away(clock):
    table = Table()
    fleet = Fleet(clock, 3, table)
    identity = block_at_one(fleet, clock)
    for guard in fleet.guards:
        guard.take_rows(dict(table.rows))
    table.is_up = False
    clock.now += 21.0
    refused = [guard.admit(call(identity)) for guard in fleet.guards]
    assert all(isinstance(each, Refuse) for each in refused)
    assert all(each.retry_after > 0 for each in refused)


def test_a_block_outlives_the_loss_of_all_daemons(clock):
    """Symptom: after a loss of power the request ends three targets once more."""
    table = Table()
    identity = block_at_one(Fleet(clock, 2, table), clock)
    assert len(table.rows) == 1
    clock.now += 5.0
    newcomer = Guard(Metrics(), table=BlockTable(table))
    newcomer.take_rows(dict(table.rows))
    refused = newcomer.admit(call(identity))
    assert isinstance(refused, Refuse)
    assert 14 < refused.retry_after < 16


def test_a_block_of_an_outage_is_written_when_the_store_is_back(clock):
    table = Table()
    table.is_up = False
    fleet = Fleet(clock, 2, table)
    block_at_one(fleet, clock)
    assert not table.rows
    table.is_up = True
    fleet.guards[1].keep_once()
    assert len(table.rows) == 1


def test_an_operator_lifts_a_block_by_removing_its_row(clock):
    table = Table()
    fleet = Fleet(clock, 2, table)
    identity = block_at_one(fleet, clock)
    for guard in fleet.guards:
        guard.take_rows(dict(table.rows))
    table.rows.clear()
    for guard in fleet.guards:
        guard.take_rows({})
        assert guard.admit(call(identity)) is None
        guard.keep_once()
    assert not table.rows


def test_an_operator_lifts_a_block_at_any_daemon(clock):
    table = Table()
    fleet = Fleet(clock, 3, table)
    identity = block_at_one(fleet, clock)
    for guard in fleet.guards:
        guard.take_rows(dict(table.rows))
    assert fleet.guards[2].lift(identity.content)
    gevent.sleep(0)
    assert not table.rows
    assert all(guard.admit(call(identity)) is None for guard in fleet.guards)


def test_a_daemon_in_a_cut_blocks_by_what_it_sees_and_agrees_after_it(clock):
    fleet = Fleet(clock, 3)
    fleet.cut = {2}
    identity = block_at_one(fleet, clock)
    assert isinstance(fleet.guards[1].admit(call(identity)), Refuse)
    assert fleet.guards[2].admit(call(identity)) is None
    fleet.cut = set()
    # One that still refuses reminds the others, some seconds later.
    clock.now += 6.0
    fleet.guards[1].admit(call(identity))
    clock.now += 6.0
    fleet.guards[1].admit(call(identity))
    assert isinstance(fleet.guards[2].admit(call(identity)), Refuse)


def test_an_answer_anywhere_clears_a_request_everywhere(clock):
    fleet = Fleet(clock, 3)
    identity = request()
    fleet.guards[0].note_end(lost(identity, "i-0", clock.now))
    fleet.guards[1].note_end(lost(identity, "i-1", clock.now + 0.2))
    clock.now += 0.4
    fleet.guards[2].note_answer(call(identity))
    for number, guard in enumerate(fleet.guards):
        guard.note_end(lost(identity, f"i-{number + 2}", clock.now + 0.2))
    assert all(guard.admit(call(identity)) is None for guard in fleet.guards)


def test_a_request_that_ended_two_targets_runs_by_itself(clock):
    fleet = Fleet(clock, 1)
    guard = fleet.guards[0]
    identity = request()
    guard.note_end(lost(identity, "i-0", clock.now))
    guard.note_end(lost(identity, "i-1", clock.now + 0.2))
    first, second = call(identity), call(identity)
    assert guard.admit(first) is None
    assert first.is_suspect
    assert isinstance(guard.admit(second), Refuse)
    guard.finish(first)
    assert guard.admit(call(identity)) is None


def test_a_flood_of_ends_is_told_up_to_a_rate_and_what_counts_goes_first(clock):
    told = []
    guard = Guard(Metrics(), lambda note, again: told.append(note))
    suspect = request("/suspect")
    guard.note_end(lost(suspect, "i-0", clock.now))
    for number in range(500):
        guard.note_end(lost(request(f"/{number}"), "i-0", clock.now))
    assert len(told) < 100
    guard.note_end(lost(suspect, "i-1", clock.now + 0.2))
    assert told[-1].subject == suspect.content
    assert guard.metrics.quarantine["not-told"] > 400


def test_rows_have_a_bound(clock):
    table = Table()
    guard = Guard(Metrics(), table=BlockTable(table))
    for number in range(MAX_ROWS + 10):
        for end in range(3):
            at = clock.now + 0.2 * end
            guard.note_end(lost(request(f"/{number}"), f"i-{end}", at))
        gevent.sleep(0)
        guard.take_rows(dict(table.rows))
    assert len(table.rows) == MAX_ROWS


# -- notes and rows -----------------------------------------------------------------


@pytest.mark.parametrize(
    "told",
    [
        EndTold("c0ffee", End("i-1 of two", "cafe", 99.875, 100.0)),
        AnswerTold("c0ffee", "*", 100.0),
        BlockTold(BlockRef("c0ffee", "cafe"), Block(100.0, 99.5, 2)),
    ],
)
def test_what_is_told_is_read_again(told):
    note = note_of(told, 130.0)
    assert read_note(note.subject, note.source, 130.0 + note.remaining) == told


@pytest.mark.parametrize("source", ["", "ended", "ended a b c", "later than this", "*"])
def test_a_note_that_cannot_be_read_changes_nothing(source):
    assert read_note("c0ffee", source, 100.0) is None
    guard = Guard(Metrics())
    suspicion_board(guard).post(Note("c0ffee", source, 9.0), 100.0, 3)
    assert len(guard.quarantine) == 0


def test_rows_are_read_again_and_faulty_ones_are_passed_over(clock):
    ref = BlockRef("c0ffee", "cafe")
    assert read_name(name_of(ref)) == ref
    block = Block(90.0, 89.5, 3)
    read = decode_block(encode_block(block)).ok
    assert read == Block(pytest.approx(90.0), pytest.approx(89.5), 3)
    guard = Guard(Metrics())
    for data in (b"", b"[]", b'{"at": "x"}', b'{"at": 1}', b"\xff"):
        assert decode_block(data).is_error()
        guard.take_rows({name_of(ref): Row(name_of(ref), data, 1)})
    assert guard.snapshot() == []
