"""Notes and rows on requests that end targets: written, read, and damaged."""

import pytest

from cairnferry.coordination import Note, Row
from cairnferry.entry.callers import CrashGuard, quarantine_board
from cairnferry.entry.callers._block_table import (
    decode_block,
    encode_block,
    name_of,
    read_name,
)
from cairnferry.entry.callers._quarantine_notes import (
    AnswerTold,
    BlockTold,
    EndTold,
    note_of,
    read_note,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import (
    Block,
    BlockRef,
    TargetCrash,
)


@pytest.mark.parametrize(
    "told",
    [
        EndTold("c0ffee", TargetCrash("i-1 of two", "cafe", 99.875, 100.0)),
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
    guard = CrashGuard(Metrics())
    quarantine_board(guard.receive).post(Note("c0ffee", source, 9.0), 100.0, 3)
    assert len(guard.quarantine) == 0


def test_rows_are_read_again_and_faulty_ones_are_passed_over(clock):
    ref = BlockRef("c0ffee", "cafe")
    assert read_name(name_of(ref)) == ref
    block = Block(90.0, 89.5, 3)
    read = decode_block(encode_block(block)).ok
    assert read == Block(pytest.approx(90.0), pytest.approx(89.5), 3)
    guard = CrashGuard(Metrics())
    for data in (b"", b"[]", b'{"at": "x"}', b'{"at": 1}', b"\xff"):
        assert decode_block(data).is_error()
        guard.apply_rows({name_of(ref): Row(name_of(ref), data, 1)})
    assert guard.snapshot() == []
