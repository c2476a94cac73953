"""Guards of many daemons and their shared table of blocks."""

import gevent
from expression import Error, Ok

from cairnferry.coordination import Row
from cairnferry.entry._ports import FeedUnavailable
from cairnferry.entry.callers import CrashGuard, quarantine_note_registry
from cairnferry.entry.callers._block_table import (
    MAX_ROWS,
    BlockTable,
)
from cairnferry.entry.callers._guard import ANNOUNCE_INTERVAL_S
from cairnferry.entry.targets import InterruptedRequest
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import (
    Call,
    Cause,
    Refuse,
    RequestIdentity,
)


class Fleet:
    """Guards of several daemons that exchange notes, with one table."""

    def __init__(self, clock, count, rows=None):
        self.clock = clock
        self.registries = []
        self.guards = []
        for number in range(count):
            guard = CrashGuard(
                Metrics(), self._make_broadcast(number), table=BlockTable(rows)
            )
            self.guards.append(guard)
            self.registries.append(quarantine_note_registry(guard.receive))
        self.partitioned = set()

    def apply_rows_of(self, table):
        """Apply the rows of the table at all daemons."""
        for guard in self.guards:
            guard.apply_rows(dict(table.rows))

    def _make_broadcast(self, number):
        def broadcast(note, again):
            for other, registry in enumerate(self.registries):
                if other == number or not {other, number} & self.partitioned:
                    registry.post(note, self.clock.now, len(self.registries))

        return broadcast


class Table:
    """Versioned rows, as in the platform's store."""

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


def interrupted(identity, target, at):
    return InterruptedRequest(identity, "r", "s", target, at - 0.1, at)


def block_at_first_daemon(fleet, clock, identity=None):
    """Let three targets crash at the first daemon, one after another."""
    identity = identity or request()
    for number in range(3):
        fleet.guards[0].note_crash(interrupted(identity, f"i-{number}", clock.now))
        clock.now += 0.2
    gevent.sleep(0)
    return identity


def test_all_daemons_refuse_after_three_daemons_saw_one_crash_each(clock):
    """Guards against a request that crashes one target at each of many daemons.

    No daemon sees more than one crash itself.
    """
    fleet = Fleet(clock, 5)
    identity = request()
    for number, guard in enumerate(fleet.guards[:3]):
        guard.note_crash(interrupted(identity, f"i-{number}", clock.now))
        clock.now += 0.2
    for guard in fleet.guards:
        refused = guard.admit(call(identity))
        assert isinstance(refused, Refuse)
        assert refused.cause is Cause.CRASHES_TARGETS


def test_daemons_in_a_partition_share_one_trial(clock):
    """Guards against a trial, and thus a crash, in each part of a partition.

    The first trial is due after 20 s.
    """
    table = Table()
    fleet = Fleet(clock, 4, table)
    identity = block_at_first_daemon(fleet, clock)
    fleet.apply_rows_of(table)
    fleet.partitioned = {0, 1, 2, 3}
    clock.now += 21.0
    tried = [guard.admit(call(identity)) is None for guard in fleet.guards]
    assert tried == [True, False, False, False]


def test_a_frequent_request_calls_the_store_for_a_trial_at_a_limited_rate(
    clock,
):
    """Guards against a call to an unavailable store for each of many requests."""
    table = Table()
    fleet = Fleet(clock, 1, table)
    identity = block_at_first_daemon(fleet, clock)
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


def test_no_trial_while_the_store_is_unavailable(clock):
    table = Table()
    fleet = Fleet(clock, 3, table)
    identity = block_at_first_daemon(fleet, clock)
    fleet.apply_rows_of(table)
    table.is_up = False
    clock.now += 21.0
    refused = [guard.admit(call(identity)) for guard in fleet.guards]
    assert all(isinstance(each, Refuse) for each in refused)
    assert all(each.retry_after > 0 for each in refused)


def test_a_block_survives_the_loss_of_all_daemons(clock):
    """Guards against three further crashes after a power failure of all daemons."""
    table = Table()
    identity = block_at_first_daemon(Fleet(clock, 2, table), clock)
    assert len(table.rows) == 1
    clock.now += 5.0
    restarted = CrashGuard(Metrics(), table=BlockTable(table))
    restarted.apply_rows(dict(table.rows))
    refused = restarted.admit(call(identity))
    assert isinstance(refused, Refuse)
    assert 14 < refused.retry_after < 16


def test_a_block_set_in_an_outage_is_stored_when_the_store_recovers(clock):
    table = Table()
    table.is_up = False
    fleet = Fleet(clock, 2, table)
    block_at_first_daemon(fleet, clock)
    assert not table.rows
    table.is_up = True
    fleet.guards[1].maintain_once()
    assert len(table.rows) == 1


def test_an_operator_unblocks_a_request_by_removing_its_row(clock):
    table = Table()
    fleet = Fleet(clock, 2, table)
    identity = block_at_first_daemon(fleet, clock)
    fleet.apply_rows_of(table)
    table.rows.clear()
    for guard in fleet.guards:
        guard.apply_rows({})
        assert guard.admit(call(identity)) is None
        guard.maintain_once()
    assert not table.rows


def test_an_operator_unblocks_a_request_at_any_daemon(clock):
    table = Table()
    fleet = Fleet(clock, 3, table)
    identity = block_at_first_daemon(fleet, clock)
    fleet.apply_rows_of(table)
    assert fleet.guards[2].lift(identity.content)
    gevent.sleep(0)
    assert not table.rows
    assert all(guard.admit(call(identity)) is None for guard in fleet.guards)


def test_a_partitioned_daemon_adopts_a_block_after_the_partition(clock):
    fleet = Fleet(clock, 3)
    fleet.partitioned = {2}
    identity = block_at_first_daemon(fleet, clock)
    assert isinstance(fleet.guards[1].admit(call(identity)), Refuse)
    assert fleet.guards[2].admit(call(identity)) is None
    fleet.partitioned = set()
    # A daemon that still refuses the request announces the block again after a while.
    clock.now += ANNOUNCE_INTERVAL_S
    fleet.guards[1].admit(call(identity))
    assert isinstance(fleet.guards[2].admit(call(identity)), Refuse)


def test_an_answer_at_one_daemon_clears_a_request_at_all_daemons(clock):
    fleet = Fleet(clock, 3)
    identity = request()
    fleet.guards[0].note_crash(interrupted(identity, "i-0", clock.now))
    fleet.guards[1].note_crash(interrupted(identity, "i-1", clock.now + 0.2))
    clock.now += 0.4
    fleet.guards[2].note_answer(call(identity))
    for number, guard in enumerate(fleet.guards):
        guard.note_crash(interrupted(identity, f"i-{number + 2}", clock.now + 0.2))
    assert all(guard.admit(call(identity)) is None for guard in fleet.guards)


def test_a_request_that_crashed_two_targets_runs_in_isolation(clock):
    fleet = Fleet(clock, 1)
    guard = fleet.guards[0]
    identity = request()
    guard.note_crash(interrupted(identity, "i-0", clock.now))
    guard.note_crash(interrupted(identity, "i-1", clock.now + 0.2))
    first, second = call(identity), call(identity)
    assert guard.admit(first) is None
    assert first.is_suspect
    assert isinstance(guard.admit(second), Refuse)
    guard.finish(first)
    assert guard.admit(call(identity)) is None


def test_crash_reports_are_rate_limited_and_suspects_have_priority(clock):
    sent = []
    guard = CrashGuard(Metrics(), lambda note, again: sent.append(note))
    suspect = request("/suspect")
    guard.note_crash(interrupted(suspect, "i-0", clock.now))
    for number in range(500):
        guard.note_crash(interrupted(request(f"/{number}"), "i-0", clock.now))
    assert len(sent) < 100
    guard.note_crash(interrupted(suspect, "i-1", clock.now + 0.2))
    assert sent[-1].subject == suspect.content
    assert guard.metrics.quarantine["not-told"] > 400


def test_the_number_of_rows_is_bounded(clock):
    table = Table()
    guard = CrashGuard(Metrics(), table=BlockTable(table))
    for number in range(MAX_ROWS + 10):
        for crash in range(3):
            at = clock.now + 0.2 * crash
            guard.note_crash(interrupted(request(f"/{number}"), f"i-{crash}", at))
        gevent.sleep(0)
        guard.apply_rows(dict(table.rows))
    assert len(table.rows) == MAX_ROWS
