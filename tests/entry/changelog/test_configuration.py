"""The revision in effect at a daemon never decreases."""

import random

from expression import Error, Ok

from cairnferry.coordination import (
    LogRow,
    Member,
    Membership,
    MemberState,
    NoteRegistry,
    TableUnavailable,
)
from cairnferry.entry.changelog._change_log_sync import ChangeLogSync
from cairnferry.entry.changelog._configuration import CannotApply, Configuration, Gap
from cairnferry.entry.members._cluster import Cluster
from cairnferry.records import RecordSet, UnknownSchemaVersion
from cairnferry.standins import service_v1, service_v2


def row(revision, document, op="submit", **fields):
    edit = {"op": op, "record": document, **fields}
    return LogRow(revision, ({"change_id": f"c{revision}", "edits": [edit]},))


ROWS = [
    row(1, service_v1("a")),
    row(2, service_v2("a", 10), "replace", expected_revision=1),
    row(3, service_v1("a", 3), "replace", expected_revision=2),
]


def make_configuration(*rows):
    seen = []
    configuration = Configuration(lambda records: seen.append(records.revision))
    for item in rows:
        configuration.apply(item)
    return configuration, seen


def test_rows_apply_once_in_order_regardless_of_schema_version():
    configuration, seen = make_configuration(*ROWS, *ROWS)
    assert seen == [1, 2, 3]
    (record,) = configuration.records.of_kind("service")
    assert record.deadline_ms == 3000


def test_a_late_row_or_snapshot_restores_no_old_revision():
    """Guards against an old configuration that takes effect again.

    A lagging peer or a late answer offers an older revision. The failure occurs if the
    revision that arrived last counts as the latest one.
    """
    configuration, seen = make_configuration(*ROWS)
    old, _ = make_configuration(ROWS[0])
    assert configuration.apply(ROWS[1]) == Ok(False)
    assert configuration.install_snapshot(old.records.to_snapshot()) == Ok(False)
    assert configuration.install_snapshot(RecordSet().to_snapshot()) == Ok(False)
    assert seen == [1, 2, 3]


def test_a_row_after_a_gap_is_not_applied():
    configuration, _ = make_configuration(ROWS[0])
    assert configuration.apply(ROWS[2]) == Error(Gap(1, 3))
    assert configuration.revision == 1


def test_an_unknown_schema_version_keeps_the_records_in_effect():
    configuration, _ = make_configuration(ROWS[0])
    unsupported = row(2, service_v1("b") | {"schema": 3})
    error = configuration.apply(unsupported).error
    assert isinstance(error, CannotApply)
    assert isinstance(error.fault, UnknownSchemaVersion)
    assert configuration.revision == 1
    assert configuration.behind
    newer, _ = make_configuration(*ROWS)
    configuration.install_snapshot(newer.records.to_snapshot())
    assert configuration.behind is None


def test_rows_are_not_offered_if_some_are_no_longer_kept():
    configuration, _ = make_configuration(*ROWS)
    assert configuration.rows_from(2) == ROWS[1:]
    behind, _ = make_configuration()
    behind.install_snapshot(configuration.records.to_snapshot())
    assert behind.rows_from(2) == []


class FakePeer:
    address = "peer"

    def __init__(self, configuration):
        self.configuration = configuration

    def pull(self, first):
        return self.configuration.rows_from(first)

    def snapshot(self):
        return self.configuration.records.to_snapshot()


def make_sync(configuration):
    me = Member("a", "z", "a:1", "a:2", 1, MemberState.ALIVE)
    membership = Membership(me, random.Random(1))
    notes = NoteRegistry(lambda *note: None)
    cluster = Cluster(membership, configuration, notes, lambda: 1.0)
    return ChangeLogSync(None, None, configuration, cluster, random.Random(1))


def test_missing_rows_are_fetched_from_a_peer():
    ahead, _ = make_configuration(*ROWS)
    configuration, seen = make_configuration(ROWS[0])
    make_sync(configuration).pull_from(FakePeer(ahead), 3)
    assert seen == [1, 2, 3]


def test_a_snapshot_is_fetched_from_a_peer_without_the_rows():
    ahead, _ = make_configuration(*ROWS)
    later = Configuration(lambda records: None)
    later.install_snapshot(ahead.records.to_snapshot())
    configuration, _ = make_configuration(ROWS[0])
    make_sync(configuration).pull_from(FakePeer(later), 3)
    assert configuration.records == ahead.records


def test_a_lagging_peer_changes_nothing():
    behind, _ = make_configuration(ROWS[0])
    configuration, seen = make_configuration(*ROWS[:2])
    make_sync(configuration).pull_from(FakePeer(behind), 9)
    assert seen == [1, 2]


def test_reading_stops_at_a_row_that_cannot_be_applied():
    """Guards against a daemon that reads the table in an endless loop.

    A newer release writes a schema version that this release does not support. The
    failure occurs if reading restarts because the head is never reached.
    """
    configuration, _ = make_configuration(ROWS[0])
    sync = make_sync(configuration)

    class Log:
        calls = 0

        def head(self):
            return Ok(2)

        def rows(self, first, last):
            self.calls += 1
            return Ok([row(2, service_v1("b") | {"schema": 3})])

    sync.changes = Log()
    assert isinstance(sync.refresh().error, TableUnavailable)
    assert sync.changes.calls == 1
