"""What daemons tell each other of requests under which targets ended."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Note, NoteRegistry
from cairnferry.policy import EVIDENCE_RETENTION_S, Block, BlockRef, TargetCrash

# Seconds for which a note on a block goes on to be believed: it has to outlive any
# block that somebody still asks for, as its age tells when the block was set.
BLOCK_NOTE_S = 7 * 24 * 3600.0
# Notes kept on requests under which targets ended, and told in one message. With 100
# requests that each end targets three times a second, 18 daemons lost 539 targets in
# 20 s with 16 notes in a message, and 893 with four (model, one seed each).
MAX_KEPT = 2048
MAX_TOLD = 16
# Seconds for which a note is passed on: many times what it takes to reach 312 daemons.
TELL_S = 3.0
# Step of the time that a block's proof took, as it is told. Daemons clock the same ends
# some milliseconds apart.
SPAN_STEP_MS = 100
MS_PER_S = 1000


@attrs.frozen
class EndTold:
    """A target ended with a request in hand."""

    content: str
    end: TargetCrash


@attrs.frozen
class AnswerTold:
    """A caller, or `ALL_CALLERS`, is cleared by an answer at a time."""

    content: str
    caller: str
    at: float


@attrs.frozen
class BlockTold:
    """A request is kept from targets."""

    ref: BlockRef
    block: Block


Told = EndTold | AnswerTold | BlockTold


def quarantine_board(hear: Callable[[str, str, float], None]) -> NoteRegistry:
    """Give the board of such notes.

    Parameters
    ----------
    hear : callable
        Called with subject, source and end of each note that is new.
    """
    return NoteRegistry(hear, BLOCK_NOTE_S, MAX_KEPT, MAX_TOLD, TELL_S)


def note_of(told: Told, now: float) -> Note:
    """Turn it into a note, of which the time left tells the age."""
    match told:
        case EndTold(content, end):
            ran_ms = round((end.ended - end.started) * MS_PER_S)
            source = f"ended {end.caller} {ran_ms} {end.target}"
            return Note(content, source, EVIDENCE_RETENTION_S - (now - end.ended))
        case AnswerTold(content, caller, at):
            return Note(
                content, f"answered {caller}", EVIDENCE_RETENTION_S - (now - at)
            )
        case BlockTold(ref, block):
            span_ms = _round_up(round((block.at - block.since) * MS_PER_S))
            source = f"blocked {ref.scope} {block.trials} {span_ms}"
            return Note(ref.content, source, BLOCK_NOTE_S - (now - block.at))


def _round_up(milliseconds):
    """Round up, so that daemons that clocked the same ends tell the same note."""
    return -(-milliseconds // SPAN_STEP_MS) * SPAN_STEP_MS


def read_note(subject: str, source: str, until: float) -> Told | None:
    """Read a note; None if it is of a later release.

    Parameters
    ----------
    subject, source : str
        Of the note.
    until : float
        Monotonic time in seconds to which it holds.
    """
    try:
        match source.split(" ", 3):
            case ["ended", caller, ran_ms, target]:
                ended = until - EVIDENCE_RETENTION_S
                started = ended - int(ran_ms) / MS_PER_S
                return EndTold(subject, TargetCrash(target, caller, started, ended))
            case ["answered", caller]:
                return AnswerTold(subject, caller, until - EVIDENCE_RETENTION_S)
            case ["blocked", scope, trials, span_ms]:
                at = until - BLOCK_NOTE_S
                block = Block(at, at - int(span_ms) / MS_PER_S, int(trials))
                return BlockTold(BlockRef(subject, scope), block)
    except ValueError:
        # A number that is none; as unknown as another kind of note.
        return None
    return None
