"""Encoding and decoding of notes and rows about requests that crash targets."""

import pytest

from cairnferry.coordination import Note, Row
from cairnferry.entry.callers import CrashGuard, quarantine_note_registry
from cairnferry.entry.callers._block_table import (
    decode_block,
    encode_block,
    parse_row_name,
    row_name,
)
from cairnferry.entry.callers._quarantine_notes import (
    AnswerMessage,
    BlockMessage,
    CrashMessage,
    quarantine_note,
    read_quarantine_note,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import (
    Block,
    BlockRef,
    TargetCrash,
)


@pytest.mark.parametrize(
    "message",
    [
        CrashMessage("c0ffee", TargetCrash("i-1 of two", "cafe", 99.875, 100.0)),
        AnswerMessage("c0ffee", "*", 100.0),
        BlockMessage(BlockRef("c0ffee", "cafe"), Block(100.0, 99.5, 2)),
    ],
)
def test_messages_survive_encoding_as_notes(message):
    note = quarantine_note(message, 130.0)
    assert (
        read_quarantine_note(note.subject, note.source, 130.0 + note.remaining)
        == message
    )


@pytest.mark.parametrize("source", ["", "ended", "ended a b c", "later than this", "*"])
def test_a_malformed_note_is_ignored(source):
    assert read_quarantine_note("c0ffee", source, 100.0) is None
    guard = CrashGuard(Metrics())
    quarantine_note_registry(guard.receive).post(Note("c0ffee", source, 9.0), 100.0, 3)
    assert len(guard.quarantine) == 0


def test_rows_survive_encoding_and_malformed_rows_are_skipped(clock):
    ref = BlockRef("c0ffee", "cafe")
    assert parse_row_name(row_name(ref)) == ref
    block = Block(90.0, 89.5, 3)
    read = decode_block(encode_block(block)).ok
    assert read == Block(pytest.approx(90.0), pytest.approx(89.5), 3)
    guard = CrashGuard(Metrics())
    for data in (b"", b"[]", b'{"at": "x"}', b'{"at": 1}', b"\xff"):
        assert decode_block(data).is_error()
        guard.apply_rows({row_name(ref): Row(row_name(ref), data, 1)})
    assert guard.snapshot() == []
