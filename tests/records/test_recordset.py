"""Tests of record sets: changes are atomic and check the revisions they expect."""

import json
import zlib

import pytest

from cairnferry.records import (
    Change,
    DuplicateKeyDigest,
    Kind,
    MalformedChange,
    MalformedRecord,
    Put,
    RecordExists,
    RecordKey,
    RecordSet,
    RevisionConflict,
    UnknownReference,
    UnknownSchemaVersion,
    Withdraw,
)
from cairnferry.standins import (
    route_v1,
    route_v2,
    service_v1,
    service_v2,
    workspace_v1,
    workspace_v2,
)

SERVICE = RecordKey(Kind.SERVICE, "s")


def change(*edits):
    return Change("c", edits)


def record_set(*documents):
    edits = tuple(Put(document, 0) for document in documents)
    return RecordSet().apply(1, (Change("first", edits),)).ok


def test_schema_versions_coexist_and_replace_each_other():
    records = record_set(service_v1("s"), route_v2("r", "/r", "s"))
    newer = records.apply(2, (change(Put(service_v2("s", 50), 1)),)).ok
    older_schema = newer.apply(3, (change(Put(service_v1("s", 2), 2)),)).ok
    assert older_schema.entries[SERVICE].record.deadline_ms == 2000
    assert older_schema.entries[SERVICE].revision == 3


@pytest.mark.parametrize(
    ("edit", "error"),
    [
        (Put(service_v1("s"), 0), RecordExists),
        (Put(service_v1("s"), 7), RevisionConflict),
        (Put(service_v1("other"), 7), RevisionConflict),
        (Withdraw(SERVICE, 7), RevisionConflict),
        (Withdraw(SERVICE, 1), UnknownReference),
        (Put(route_v1("x", "/x", "nowhere"), 0), UnknownReference),
        (Put({"schema": 1, "kind": "service"}, 0), MalformedRecord),
        (Put(service_v1("x") | {"schema": 9}, 0), UnknownSchemaVersion),
    ],
)
def test_invalid_edit_refuses_the_complete_change(edit, error):
    records = record_set(service_v1("s"), route_v1("r", "/r", "s"))
    good = Put(service_v1("good"), 0)
    result = records.apply(2, (change(good, edit),))
    assert isinstance(result.error, error)
    assert RecordKey(Kind.SERVICE, "good") not in records.entries


def test_change_edits_a_record_at_most_once():
    edits = (Put(service_v1("s"), 0), Put(service_v1("s"), 0))
    error = RecordSet().apply(1, (change(*edits),)).error
    assert isinstance(error, MalformedChange)


@pytest.mark.parametrize("revision", [0, 1, 3])
def test_only_the_next_revision_is_applied(revision):
    records = record_set(service_v1("s"))
    assert records.apply(revision, (change(Put(service_v1("t"), 0)),)).is_error()


def test_draft_skips_invalid_changes():
    draft = RecordSet().draft()
    assert draft.add(change(Put(service_v1("s"), 0))).is_ok()
    assert draft.add(change(Put(service_v1("s"), 0))).is_error()
    assert draft.add(change(Put(service_v1("t"), 0))).is_ok()
    assert len(draft.entries) == 2


def test_snapshot_restores_the_same_set():
    records = record_set(service_v1("s"), route_v2("r", "/r", "s"))
    assert RecordSet.from_snapshot(records.to_snapshot()).ok == records


@pytest.mark.parametrize(
    "data",
    [b"", b"junk", zlib.compress(b"[]"), zlib.compress(json.dumps({}).encode())],
)
def test_malformed_snapshot_is_refused(data):
    assert isinstance(RecordSet.from_snapshot(data).error, MalformedChange)


@pytest.mark.parametrize(
    ("document", "field"),
    [
        (None, "(document)"),
        ({"edits": []}, "change_id"),
        ({"change_id": "x" * 65, "edits": []}, "change_id"),
        ({"change_id": "c", "edits": []}, "edits"),
        ({"change_id": "c", "edits": [1]}, "edits.0"),
        ({"change_id": "c", "edits": [{"op": "drop"}]}, "edits.0.op"),
        (
            {"change_id": "c", "edits": [{"op": "replace", "expected_revision": 0}]},
            "edits.0.expected_revision",
        ),
        (
            {
                "change_id": "c",
                "edits": [{"op": "withdraw", "kind": "x", "expected_revision": 1}],
            },
            "edits.0.kind",
        ),
    ],
)
def test_error_names_the_invalid_field_of_the_envelope(document, field):
    assert Change.from_json(document).error.field == field


def test_stored_form_of_a_change_is_parsed_back():
    original = change(
        Put(service_v1("s"), 0), Put(service_v1("t"), 4), Withdraw(SERVICE, 2)
    )
    assert Change.from_json(original.to_json()).ok == original


@pytest.mark.parametrize(
    "edits",
    [
        (Put(workspace_v1("new", "shared"), 0),),
        (Put(workspace_v2("new", "mine", "shared"), 0),),
        (Put(workspace_v2("a", "once"), 0), Put(workspace_v2("b", "once"), 0)),
    ],
)
def test_key_of_two_workspaces_refuses_the_change(edits):
    """Guards against a caller whose workspace depends on the order of records."""
    records = record_set(workspace_v2("held", "shared", "other"))
    error = records.apply(2, (change(*edits),)).error
    assert isinstance(error, DuplicateKeyDigest)
    assert {"shared", "once"}.isdisjoint(str(error).split())


def test_key_can_move_to_another_workspace_in_one_change():
    records = record_set(workspace_v2("held", "shared"))
    withdrawn = Withdraw(RecordKey(Kind.WORKSPACE, "held"), 1)
    moved = change(withdrawn, Put(workspace_v1("new", "shared"), 0))
    assert records.apply(2, (moved,)).is_ok()
    emptied = change(Put(workspace_v2("held"), 1), Put(workspace_v2("n", "shared"), 0))
    assert records.apply(2, (emptied,)).is_ok()


def test_workspaces_survive_a_snapshot():
    records = record_set(workspace_v1("a", "one"), workspace_v2("b", "two", rank=1))
    restored = RecordSet.from_snapshot(records.to_snapshot()).ok
    assert restored.of_kind(Kind.WORKSPACE) == records.of_kind(Kind.WORKSPACE)
