"""What daemons tell each other of limits that targets name."""

import math
from collections.abc import Callable

from cairnferry.coordination import Note, NoteRegistry
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, ColdPeriod

# Seconds for which a note is believed. Its age tells when the target spoke, and what is
# older is of use to nobody: the target has been asked since, or is gone.
LIMIT_NOTE_S = 3600.0
# Notes kept, and told in one message: a service of 300 targets that all name limits at
# once is told in some 20 messages, and no message grows by more than 2 KB.
MAX_KEPT = 4096
MAX_TOLD = 16
# Seconds for which a note is passed on: many times what it takes to reach 312 daemons.
TELL_S = 3.0
_NAMES = "limit"
_LIFTS = "no limit"
_COLD = "cold"


def limit_board(hear: Callable[[str, str, float], None]) -> NoteRegistry:
    """Give the board of such notes.

    Parameters
    ----------
    hear : callable
        Called with subject, source and end of each note that is new.
    """
    return NoteRegistry(hear, LIMIT_NOTE_S, MAX_KEPT, MAX_TOLD, TELL_S)


def note_of(target: str, limit: AdvertisedLimit, now: float) -> Note:
    """Turn a limit into a note, of which the time left tells the age."""
    source = _LIFTS if limit.per_s == NO_LIMIT else f"{_NAMES} {limit.per_s!r}"
    return Note(target, source, LIMIT_NOTE_S - (now - limit.at))


def cold_note(target: str, cold: ColdPeriod, now: float) -> Note:
    """Turn what is known of a cold target into a note that lapses once it is warm."""
    return Note(target, f"{_COLD} {cold.per_s!r}", cold.until - now)


def read_cold_note(source: str, until: float, now: float) -> ColdPeriod | None:
    """Read such a note; None if it is another one.

    Parameters
    ----------
    source : str
        Of the note.
    until : float
        Monotonic time in seconds to which it holds.
    now : float
        Monotonic time in seconds.
    """
    word, _, text = source.partition(" ")
    per_s = _rate(text)
    if word != _COLD or not per_s:
        return None
    return ColdPeriod(now, until, per_s)


def _rate(text):
    """Read requests a second; None if it is no number of them."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def read_note(source: str, until: float) -> AdvertisedLimit | None:
    """Read a note; None if it is of a later release.

    Parameters
    ----------
    source : str
        Of the note.
    until : float
        Monotonic time in seconds to which it holds.
    """
    at = until - LIMIT_NOTE_S
    if source == _LIFTS:
        return AdvertisedLimit(NO_LIMIT, at)
    word, _, text = source.partition(" ")
    per_s = _rate(text)
    if word != _NAMES or per_s is None:
        return None
    return AdvertisedLimit(per_s, at)
