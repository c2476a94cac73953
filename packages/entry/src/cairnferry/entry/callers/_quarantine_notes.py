"""Notes that daemons exchange about requests that crash targets."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Note, NoteRegistry
from cairnferry.policy import EVIDENCE_RETENTION_S, Block, BlockRef, TargetCrash

# Seconds for which a note about a block is valid. It must outlive any block whose
# request still arrives, because the age of the note gives the time of the block.
BLOCK_NOTE_S = 7 * 24 * 3600.0
# Number of notes that are kept, and that are sent in one message. With 100 requests
# that each crash targets three times per second, 18 daemons lost 539 targets in 20 s
# with 16 notes per message, and 893 targets with 4 (simulation, one seed each).
MAX_NOTES = 2048
MAX_NOTES_PER_MESSAGE = 16
# Seconds for which a note is forwarded: many times what it takes to reach 312 daemons.
SPREAD_S = 3.0
# Resolution in milliseconds of the time span of a block's evidence in notes. Daemons
# measure the same crashes some milliseconds apart.
SPAN_STEP_MS = 100
MS_PER_S = 1000


@attrs.frozen
class CrashMessage:
    """Reports that a target crashed while a request was in flight.

    Attributes
    ----------
    content : str
        Digest of the request.
    crash : TargetCrash
        Crash of the target.
    """

    content: str
    crash: TargetCrash


@attrs.frozen
class AnswerMessage:
    """Reports an answer, which refutes the evidence against a request.

    Attributes
    ----------
    content : str
        Digest of the request.
    caller : str
        Tag of the caller, or `ALL_CALLERS`.
    at : float
        Monotonic time in seconds of the answer.
    """

    content: str
    caller: str
    at: float


@attrs.frozen
class BlockMessage:
    """Reports that a request is blocked.

    Attributes
    ----------
    ref : BlockRef
        Digest of the request and scope of the block.
    block : Block
        Time, evidence and trials of the block.
    """

    ref: BlockRef
    block: Block


QuarantineMessage = CrashMessage | AnswerMessage | BlockMessage


def quarantine_note_registry(
    receive: Callable[[str, str, float], None],
) -> NoteRegistry:
    """Return the registry of notes about requests that crash targets.

    Parameters
    ----------
    receive : callable
        Called with the subject, source and expiry time of each new note.
    """
    return NoteRegistry(
        receive, BLOCK_NOTE_S, MAX_NOTES, MAX_NOTES_PER_MESSAGE, SPREAD_S
    )


def quarantine_note(message: QuarantineMessage, now: float) -> Note:
    """Return a note for a message; its remaining time gives the message's age."""
    match message:
        case CrashMessage(content, crash):
            ran_ms = round((crash.ended - crash.started) * MS_PER_S)
            source = f"ended {crash.caller} {ran_ms} {crash.target}"
            return Note(content, source, EVIDENCE_RETENTION_S - (now - crash.ended))
        case AnswerMessage(content, caller, at):
            return Note(
                content, f"answered {caller}", EVIDENCE_RETENTION_S - (now - at)
            )
        case BlockMessage(ref, block):
            span_ms = _round_up(round((block.at - block.since) * MS_PER_S))
            source = f"blocked {ref.scope} {block.trials} {span_ms}"
            return Note(ref.content, source, BLOCK_NOTE_S - (now - block.at))


def _round_up(milliseconds):
    """Round up, so that daemons that saw the same crashes send the same note."""
    return -(-milliseconds // SPAN_STEP_MS) * SPAN_STEP_MS


def read_quarantine_note(
    subject: str, source: str, until: float
) -> QuarantineMessage | None:
    """Parse a note; None if it is from a later release.

    Parameters
    ----------
    subject, source : str
        Subject and source fields of the note.
    until : float
        Monotonic time in seconds at which the note expires.
    """
    try:
        match source.split(" ", 3):
            case ["ended", caller, ran_ms, target]:
                ended = until - EVIDENCE_RETENTION_S
                started = ended - int(ran_ms) / MS_PER_S
                return CrashMessage(
                    subject, TargetCrash(target, caller, started, ended)
                )
            case ["answered", caller]:
                return AnswerMessage(subject, caller, until - EVIDENCE_RETENTION_S)
            case ["blocked", scope, trials, span_ms]:
                at = until - BLOCK_NOTE_S
                block = Block(at, at - int(span_ms) / MS_PER_S, int(trials))
                return BlockMessage(BlockRef(subject, scope), block)
    except ValueError:
        # A malformed number, treated like an unknown kind of note.
        return None
    return None
