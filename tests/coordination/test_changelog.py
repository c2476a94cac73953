"""Accepted once, under lost answers, races and outages of the table."""

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
    """Table in memory; `script` holds what happens to the next transactions."""

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
        failed = tuple(w.item.key for w in writes if not self._holds(w))
        if failed:
            return Error(ConditionFailed(failed))
        for write in writes:
            self.rows[write.item.key] = write.item
        return Error(WriteUnknown("timeout")) if event == "lost-after" else Ok(None)

    def _holds(self, write):
        row = self.rows.get(write.item.key)
        return (row.version if row else None) == write.expected_version


def make_log(table, attempts=9):
    return ChangeLog(table, lambda attempt: attempt < attempts)


def change(change_id, value=0):
    return {"change_id": change_id, "value": value}


def test_revisions_follow_each_other_without_gaps():
    log = make_log(FakeTable())
    assert log.head().ok == 0
    assert log.append(0, (change("a"),)).ok == Appended(1)
    assert log.append(1, (change("b"), change("c"))).ok == Appended(2)
    assert log.head().ok == 2
    assert [row.revision for row in log.rows(1, 9).ok] == [1, 2]
    assert log.status("c").ok.revision == 2
    assert log.status("z").ok.revision is None


def test_an_older_head_is_refused():
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
def test_a_lost_answer_neither_loses_nor_repeats_a_change(script):
    """Symptom: a change is in force twice, or an accepted one is told refused.

    Events: the write takes effect, or not, and its answer is lost. Cause: the
    writer cannot tell the two apart; the same transaction, sent again, can.
    """
    table = FakeTable(script=script)
    log = make_log(table)
    assert log.append(0, (change("a"),)).ok == Appended(1)
    assert log.head().ok == 1
    assert len(log.rows(1, 9).ok) == 1


def test_what_stays_unknown_is_told_so():
    table = FakeTable(script=["lost-before"] * 9)
    assert isinstance(make_log(table).append(0, (change("a"),)).error, OutcomeUnknown)


def test_a_lost_answer_and_then_an_outage_is_unknown_not_refused():
    """Symptom: an operator is told "refused" for a change that is in force.

    Events: the write takes effect, its answer is lost, then the table is down.
    Cause: the outage says nothing of the write before it.
    """
    table = FakeTable(script=["lost-after", "down", "down", "down"])
    log = make_log(table, attempts=4)
    table.readable = False
    assert isinstance(log.append(0, (change("a"),)).error, OutcomeUnknown)
    table.readable = True
    assert log.status("a").ok.revision == 1


def test_an_outage_before_any_write_is_not_unknown():
    log = make_log(FakeTable(script=["down"]))
    assert isinstance(log.append(0, (change("a"),)).error, TableUnavailable)


def test_a_row_beyond_the_limit_is_refused_before_it_is_sent():
    table = FakeTable()
    error = make_log(table).append(0, (change("a", "x" * 400_000),)).error
    assert isinstance(error, LogTooLarge)
    assert table.transactions == 0


class Writer:
    """One daemon's side of the group commit, over a shared table."""

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


def test_what_waits_goes_into_one_transaction():
    table = FakeTable()
    outcomes = Writer(table).commit(*[change(f"c{i}") for i in range(50)])
    assert outcomes == [[Ok(Appended(1))]] * 50
    assert table.transactions == 1


def test_a_refused_change_does_not_stop_the_others():
    first, second, third = Writer(FakeTable()).commit(
        change("a"), change("b", "bad"), change("c")
    )
    assert first == third == [Ok(Appended(1))]
    assert second == [Error("refused")]


def test_writers_that_race_all_get_through():
    """Symptom: operators are refused although no record of theirs has changed.

    Events: several daemons commit at once; all but one find the head moved.
    Cause: the head orders all changes, so that the rest are tried on top.
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


def test_the_same_change_sent_again_gets_the_same_answer():
    writer = Writer(FakeTable())
    writer.commit(change("a"))
    writer.commit(change("b"))
    assert writer.commit(change("a")) == [[Ok(Appended(1))]]
    assert writer.commit(change("c"), change("c")) == [[Ok(Appended(3))]] * 2
    assert writer.log.head().ok == 3


def test_another_change_under_a_known_id_is_refused():
    """Symptom: an operator is told "accepted" and nothing of it is in force.

    Events: an ID is used for two different changes. Cause: the log knows the ID,
    and the first change's outcome would be given for the second.
    """
    writer = Writer(FakeTable())
    writer.commit(change("a"))
    assert writer.commit(change("a", 1)) == [[Error(ChangeIdReused("a"))]]
    first, second = writer.commit(change("b"), change("b", 1))
    assert second == [Error(ChangeIdReused("b"))]
    assert first == [Ok(Appended(2))]


def test_more_than_a_row_holds_is_spread_over_rows():
    writer = Writer(FakeTable())
    outcomes = writer.commit(*[change(f"c{i}", "x" * 100_000) for i in range(7)])
    assert [result[0].ok.revision for result in outcomes] == [1, 1, 1, 2, 2, 2, 3]
