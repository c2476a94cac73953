"""Notes that daemons exchange about limits of targets."""

import math
from collections.abc import Callable

from cairnferry.coordination import Note, NoteRegistry
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, ColdPeriod

# Seconds for which a note is valid. Its remaining time gives the age of the target's
# answer. Older notes are useless, because the target has been checked again since then
# or is gone.
LIMIT_NOTE_S = 3600.0
# Number of notes that are kept, and that are sent in one message. If 300 targets of a
# service advertise limits at once, about 20 messages suffice, and no message grows by
# more than 2 KB.
MAX_NOTES = 4096
MAX_NOTES_PER_MESSAGE = 16
# Seconds for which a note is forwarded: many times what it takes to reach 312 daemons.
SPREAD_S = 3.0
_LIMIT = "limit"
_NO_LIMIT = "no limit"
_COLD = "cold"


def limit_note_registry(receive: Callable[[str, str, float], None]) -> NoteRegistry:
    """Return the registry of notes about limits.

    Parameters
    ----------
    receive : callable
        Called with the subject, source and expiry time of each new note.
    """
    return NoteRegistry(
        receive, LIMIT_NOTE_S, MAX_NOTES, MAX_NOTES_PER_MESSAGE, SPREAD_S
    )


def limit_note(target: str, limit: AdvertisedLimit, now: float) -> Note:
    """Return a note about a limit; its remaining time gives the age of the limit.

    Parameters
    ----------
    target : str
        Identity of the target's start.
    limit : AdvertisedLimit
        Limit in requests per second, and when it was advertised.
    now : float
        Monotonic time in seconds.
    """
    source = _NO_LIMIT if limit.per_s == NO_LIMIT else f"{_LIMIT} {limit.per_s!r}"
    return Note(target, source, LIMIT_NOTE_S - (now - limit.at))


def cold_note(target: str, cold: ColdPeriod, now: float) -> Note:
    """Return a note about a cold target, which expires when the target is warm."""
    return Note(target, f"{_COLD} {cold.per_s!r}", cold.until - now)


def read_cold_note(source: str, until: float, now: float) -> ColdPeriod | None:
    """Parse a note about a cold target; None for other notes.

    Parameters
    ----------
    source : str
        Source field of the note.
    until : float
        Monotonic time in seconds at which the note expires.
    now : float
        Monotonic time in seconds.
    """
    kind, _, text = source.partition(" ")
    per_s = _parse_rate(text)
    if kind != _COLD or not per_s:
        return None
    return ColdPeriod(now, until, per_s)


def _parse_rate(text):
    """Parse a rate in requests per second; None if it is not a valid rate."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def read_limit_note(source: str, until: float) -> AdvertisedLimit | None:
    """Parse a note about a limit; None if it is from a later release.

    Parameters
    ----------
    source : str
        Source field of the note.
    until : float
        Monotonic time in seconds at which the note expires.
    """
    at = until - LIMIT_NOTE_S
    if source == _NO_LIMIT:
        return AdvertisedLimit(NO_LIMIT, at)
    kind, _, text = source.partition(" ")
    per_s = _parse_rate(text)
    if kind != _LIMIT or per_s is None:
        return None
    return AdvertisedLimit(per_s, at)
