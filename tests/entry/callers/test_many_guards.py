"""What the guards of many daemons and their table make of ends of targets."""

import gevent
from expression import Error, Ok

from cairnferry.coordination import Row
from cairnferry.entry._ports import FeedUnavailable
from cairnferry.entry.callers import CrashGuard, quarantine_board
from cairnferry.entry.callers._block_table import (
    MAX_ROWS,
    BlockTable,
)
from cairnferry.entry.callers._guard import REMIND_S
from cairnferry.entry.targets import InterruptedRequest
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import (
    Call,
    Cause,
    Refuse,
    RequestIdentity,
)


class Fleet:
    """Guards of several daemons that hear each other's notes, and one table."""

    def __init__(self, clock, count, rows=None):
        self.clock = clock
        self.boards = []
        self.guards = []
        for number in range(count):
            guard = CrashGuard(Metrics(), self._teller(number), table=BlockTable(rows))
            self.guards.append(guard)
            self.boards.append(quarantine_board(guard.receive))
        self.cut = set()

    def read(self, table):
        """Let all take in the rows, as they follow the table."""
        for guard in self.guards:
            guard.apply_rows(dict(table.rows))

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
        if data is None:
            del self.rows[name]
        else:
            self.rows[name] = Row(name, data, self.version)
        return Ok(None)


def request(path="/p", caller="10.0.0.1"):
    return RequestIdentity("GET", "shop", path, b"", caller)


def call(identity):
    return Call(0.0, 1e9, True, identity=identity)


def lost(identity, target, at):
    return InterruptedRequest(identity, "r", "s", target, at - 0.1, at)


def block_at_one(fleet, clock, identity=None):
    """Let three targets end at the first daemon, one after the other."""
    identity = identity or request()
    for number in range(3):
        fleet.guards[0].note_crash(lost(identity, f"i-{number}", clock.now))
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
        guard.note_crash(lost(identity, f"i-{number}", clock.now))
        clock.now += 0.2
    for guard in fleet.guards:
        refused = guard.admit(call(identity))
        assert isinstance(refused, Refuse)
        assert refused.cause is Cause.CRASHES_TARGETS


def test_one_trial_for_all_daemons_also_where_they_do_not_hear_each_other(clock):
    """Symptom: after 20 s each part of a partition tries it, and ends a target."""
    table = Table()
    fleet = Fleet(clock, 4, table)
    identity = block_at_one(fleet, clock)
    fleet.read(table)
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
    guard.apply_rows(dict(table.rows))
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
    fleet.read(table)
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
    newcomer = CrashGuard(Metrics(), table=BlockTable(table))
    newcomer.apply_rows(dict(table.rows))
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
    fleet.read(table)
    table.rows.clear()
    for guard in fleet.guards:
        guard.apply_rows({})
        assert guard.admit(call(identity)) is None
        guard.keep_once()
    assert not table.rows


def test_an_operator_lifts_a_block_at_any_daemon(clock):
    table = Table()
    fleet = Fleet(clock, 3, table)
    identity = block_at_one(fleet, clock)
    fleet.read(table)
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
    clock.now += REMIND_S
    fleet.guards[1].admit(call(identity))
    assert isinstance(fleet.guards[2].admit(call(identity)), Refuse)


def test_an_answer_anywhere_clears_a_request_everywhere(clock):
    fleet = Fleet(clock, 3)
    identity = request()
    fleet.guards[0].note_crash(lost(identity, "i-0", clock.now))
    fleet.guards[1].note_crash(lost(identity, "i-1", clock.now + 0.2))
    clock.now += 0.4
    fleet.guards[2].note_answer(call(identity))
    for number, guard in enumerate(fleet.guards):
        guard.note_crash(lost(identity, f"i-{number + 2}", clock.now + 0.2))
    assert all(guard.admit(call(identity)) is None for guard in fleet.guards)


def test_a_request_that_ended_two_targets_runs_by_itself(clock):
    fleet = Fleet(clock, 1)
    guard = fleet.guards[0]
    identity = request()
    guard.note_crash(lost(identity, "i-0", clock.now))
    guard.note_crash(lost(identity, "i-1", clock.now + 0.2))
    first, second = call(identity), call(identity)
    assert guard.admit(first) is None
    assert first.is_suspect
    assert isinstance(guard.admit(second), Refuse)
    guard.finish(first)
    assert guard.admit(call(identity)) is None


def test_a_flood_of_ends_is_told_up_to_a_rate_and_what_counts_goes_first(clock):
    told = []
    guard = CrashGuard(Metrics(), lambda note, again: told.append(note))
    suspect = request("/suspect")
    guard.note_crash(lost(suspect, "i-0", clock.now))
    for number in range(500):
        guard.note_crash(lost(request(f"/{number}"), "i-0", clock.now))
    assert len(told) < 100
    guard.note_crash(lost(suspect, "i-1", clock.now + 0.2))
    assert told[-1].subject == suspect.content
    assert guard.metrics.quarantine["not-told"] > 400


def test_rows_have_a_bound(clock):
    table = Table()
    guard = CrashGuard(Metrics(), table=BlockTable(table))
    for number in range(MAX_ROWS + 10):
        for end in range(3):
            at = clock.now + 0.2 * end
            guard.note_crash(lost(request(f"/{number}"), f"i-{end}", at))
        gevent.sleep(0)
        guard.apply_rows(dict(table.rows))
    assert len(table.rows) == MAX_ROWS
