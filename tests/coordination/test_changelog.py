"""Tests of the change log under lost responses, races and table outages."""

import attrs
import pytest
from expression import Error, Ok

from cairnferry.coordination import (
    Appended,
    ChangeIdReused,
    ChangeLog,
    ConditionFailed,
    GroupCommit,
    HeadMoved,
    LogTooLarge,
    OutcomeUnknown,
    PendingChange,
    TableUnavailable,
    WriteUnknown,
)


@attrs.define
class FakeTable:
    """Table in memory; `script` lists the outcomes of the next transactions."""

    rows: dict = attrs.field(factory=dict)
    script: list = attrs.field(factory=list)
    readable: bool = True
    transactions: int = 0

    def read(self, key):
        if not self.readable:
            return Error(TableUnavailable("outage"))
        return Ok(self.rows.get(key))

    def read_range(self, prefix, first, last):
        keys = [f"{prefix}/{number}" for number in range(first, last + 1)]
        return Ok([self.rows[key] for key in keys if key in self.rows])

    def transact(self, writes):
        self.transactions += 1
        event = self.script.pop(0) if self.script else "commit"
        if event == "down":
            return Error(TableUnavailable("outage"))
        if event == "lost-before":
            return Error(WriteUnknown("timeout"))
        failed = tuple(w.item.key for w in writes if not self._condition_met(w))
        if failed:
            return Error(ConditionFailed(failed))
        for write in writes:
            self.rows[write.item.key] = write.item
        return Error(WriteUnknown("timeout")) if event == "lost-after" else Ok(None)

    def _condition_met(self, write):
        row = self.rows.get(write.item.key)
        return (row.version if row else None) == write.expected_version


def make_log(table, attempts=9):
    return ChangeLog(table, lambda attempt: attempt < attempts)


def change(change_id, value=0):
    return {"change_id": change_id, "value": value}


def test_revisions_are_consecutive():
    log = make_log(FakeTable())
    assert log.head().ok == 0
    assert log.append(0, (change("a"),)).ok == Appended(1)
    assert log.append(1, (change("b"), change("c"))).ok == Appended(2)
    assert log.head().ok == 2
    assert [row.revision for row in log.rows(1, 9).ok] == [1, 2]
    assert log.status("c").ok.revision == 2
    assert log.status("z").ok.revision is None


def test_append_on_an_older_head_is_refused():
    log = make_log(FakeTable())
    log.append(0, (change("a"),))
    assert log.append(0, (change("b"),)).error == HeadMoved()


@pytest.mark.parametrize(
    "script",
    [
        ["lost-after"],
        ["lost-before"],
        ["lost-before", "lost-after"],
        ["lost-after"] * 3,
    ],
)
def test_lost_response_neither_loses_nor_repeats_a_change(script):
    """Guards against a change applied twice, or accepted and reported as refused.

    When the response to a write is lost, the writer cannot know whether the write took
    effect. Sending the same transaction again resolves this.
    """
    table = FakeTable(script=script)
    log = make_log(table)
    assert log.append(0, (change("a"),)).ok == Appended(1)
    assert log.head().ok == 1
    assert len(log.rows(1, 9).ok) == 1


def test_unresolved_write_is_reported_as_unknown():
    table = FakeTable(script=["lost-before"] * 9)
    assert isinstance(make_log(table).append(0, (change("a"),)).error, OutcomeUnknown)


def test_outage_after_a_lost_response_is_unknown_not_refused():
    """Guards against reporting a change as refused although it is in effect.

    The write takes effect, its response is lost, and then the table is down. The outage
    does not prove anything about the earlier write.
    """
    table = FakeTable(script=["lost-after", "down", "down", "down"])
    log = make_log(table, attempts=4)
    table.readable = False
    assert isinstance(log.append(0, (change("a"),)).error, OutcomeUnknown)
    table.readable = True
    assert log.status("a").ok.revision == 1


def test_outage_before_any_write_is_reported_as_unavailable():
    log = make_log(FakeTable(script=["down"]))
    assert isinstance(log.append(0, (change("a"),)).error, TableUnavailable)


def test_too_large_row_is_refused_before_it_is_sent():
    table = FakeTable()
    error = make_log(table).append(0, (change("a", "x" * 400_000),)).error
    assert isinstance(error, LogTooLarge)
    assert table.transactions == 0


class Writer:
    """Group commit of one daemon on a shared table."""

    def __init__(self, table):
        self.log = make_log(table, attempts=30)
        self.outcomes = {}
        self.group = GroupCommit(self.log, self.log.head, self.begin)

    def begin(self):
        return lambda document: (
            Error("refused") if document["value"] == "bad" else Ok(None)
        )

    def commit(self, *changes):
        self.group.commit(
            [
                PendingChange(
                    document, lambda r, i=i: self.outcomes.setdefault(i, []).append(r)
                )
                for i, document in enumerate(changes)
            ]
        )
        return [self.outcomes.pop(i) for i in range(len(changes))]


def test_waiting_changes_go_into_one_transaction():
    table = FakeTable()
    outcomes = Writer(table).commit(*[change(f"c{i}") for i in range(50)])
    assert outcomes == [[Ok(Appended(1))]] * 50
    assert table.transactions == 1


def test_refused_change_does_not_block_the_others():
    first, second, third = Writer(FakeTable()).commit(
        change("a"), change("b", "bad"), change("c")
    )
    assert first == third == [Ok(Appended(1))]
    assert second == [Error("refused")]


def test_all_competing_writers_succeed():
    """Guards against refusing a change although none of its records has changed.

    Several daemons commit at once and all but one find that the head has moved. These
    must retry on top of the new head.
    """
    table = FakeTable()
    loser = Writer(table)
    other = Writer(table)
    original = loser.begin

    def begin_after_other():
        if not table.rows:
            other.commit(change("x"))
        return original()

    loser.group.begin = begin_after_other
    assert loser.commit(change("a")) == [[Ok(Appended(2))]]


def test_repeated_change_gets_the_same_outcome():
    writer = Writer(FakeTable())
    writer.commit(change("a"))
    writer.commit(change("b"))
    assert writer.commit(change("a")) == [[Ok(Appended(1))]]
    assert writer.commit(change("c"), change("c")) == [[Ok(Appended(3))]] * 2
    assert writer.log.head().ok == 3


def test_different_change_under_a_known_id_is_refused():
    """Guards against reporting a change as accepted that was never applied.

    An ID is used for two different changes. As the log holds the ID, the outcome of the
    first change would be returned for the second.
    """
    writer = Writer(FakeTable())
    writer.commit(change("a"))
    assert writer.commit(change("a", 1)) == [[Error(ChangeIdReused("a"))]]
    first, second = writer.commit(change("b"), change("b", 1))
    assert second == [Error(ChangeIdReused("b"))]
    assert first == [Ok(Appended(2))]


def test_changes_larger_than_a_row_are_split_over_rows():
    writer = Writer(FakeTable())
    outcomes = writer.commit(*[change(f"c{i}", "x" * 100_000) for i in range(7)])
    assert [result[0].ok.revision for result in outcomes] == [1, 1, 1, 2, 2, 2, 3]
