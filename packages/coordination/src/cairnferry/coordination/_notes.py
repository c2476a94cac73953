"""Notes that spread from member to member and lapse by themselves.

A note holds for a limited time and is renewed by whoever still observes the
fact. So no withdrawal has to reach every member, and none can overtake a note.
"""

import math
from collections.abc import Callable

import attrs

SPREAD_FACTOR = 2
MAX_NOTES = 16
# A renewal is worth passing on only if it extends the note by this many seconds.
MIN_EXTENSION_S = 0.5
MAX_LIFE_S = 60.0
# Several times the notes of an installation of which all targets leave at once.
MAX_KEPT = 4096


@attrs.frozen
class Note:
    """A fact about a subject.

    Attributes
    ----------
    subject : str
        What it is about.
    source : str
        How the fact is known.
    remaining : float
        Seconds for which it holds; clocks of machines differ, so that times
        are not sent.
    """

    subject: str
    source: str
    remaining: float


@attrs.define
class NoteRegistry:
    """Notes that are in force, and how often each is still to be told.

    Parameters
    ----------
    on_note : callable
        Called with subject, source and the local time to which the note holds,
        whenever that is extended.
    max_life : float
        Longest time in seconds for which a note is believed.
    max_kept : int
        Notes kept; the oldest go first.
    max_told : int
        Notes in one message.
    tell_s : float
        Seconds for which a note is passed on at most. What is left of a flood would
        else go round long after it has ended.
    """

    on_note: Callable[[str, str, float], None]
    max_life: float = MAX_LIFE_S
    max_kept: int = MAX_KEPT
    max_told: int = MAX_NOTES
    tell_s: float = math.inf
    _until: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _tell: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _tell_until: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def post(self, note: Note, now: float, members: int) -> bool:
        """Take in a note; give back whether it told something new.

        Parameters
        ----------
        note : Note
            The note.
        now : float
            Local time in seconds.
        members : int
            Number of members it has to reach.
        """
        key = (note.subject, note.source)
        until = now + min(note.remaining, self.max_life)
        known = self._until.get(key, 0.0)
        if until < known + MIN_EXTENSION_S or until <= now:
            return False
        self._until[key] = until
        self.spread_again(key, now, members)
        while len(self._until) > self.max_kept:
            oldest = next(iter(self._until))
            del self._until[oldest]
            self._drop_told(oldest)
        self.on_note(note.subject, note.source, until)
        return known <= now

    def spread_again(self, key: tuple[str, str], now: float, members: int) -> None:
        """Spread a note once more, as there may be members that lack it."""
        if key in self._until:
            self._tell[key] = SPREAD_FACTOR * math.ceil(math.log2(members + 2))
            self._tell_until[key] = now + self.tell_s

    def _drop_told(self, key):
        self._tell.pop(key, None)
        self._tell_until.pop(key, None)

    def next_notes(self, now: float) -> tuple[Note, ...]:
        """Give the notes for the next message."""
        chosen = sorted(self._tell, key=self._tell.get, reverse=True)[: self.max_told]
        told = []
        for key in chosen:
            self._tell[key] -= 1
            is_late = now > self._tell_until[key]
            if self._tell[key] <= 0 or is_late:
                self._drop_told(key)
            remaining = self._until[key] - now
            if remaining > 0 and not is_late:
                told.append(Note(*key, remaining))
        return tuple(told)

    def is_in_effect(self, subject: str, source: str, now: float) -> bool:
        """Tell whether a note is in force."""
        return self._until.get((subject, source), now) > now

    def active_notes(self, now: float) -> list[Note]:
        """List the notes that hold."""
        return [Note(*key, t - now) for key, t in self._until.items() if t > now]

    def drop_expired(self, now: float) -> None:
        """Forget the notes that hold no more."""
        self._until = {key: t for key, t in self._until.items() if t > now}
        for key in [key for key in self._tell if key not in self._until]:
            self._drop_told(key)
