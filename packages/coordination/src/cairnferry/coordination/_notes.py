"""Gossip of notes that expire by themselves.

A note is valid for a limited time and is renewed by the members that still observe the
fact. Notes are therefore never withdrawn: no withdrawal has to reach every member, and
none can overtake the note.
"""

import math
from collections.abc import Callable

import attrs

# Number of sends of a note, per doubling of the number of members.
GOSSIP_FACTOR = 2
MAX_NOTES_PER_MESSAGE = 16
# Minimum extension of a note in seconds; shorter renewals are not gossiped.
MIN_EXTENSION_S = 0.5
MAX_LIFETIME_S = 60.0
# Several times the number of notes when all targets of an installation leave together.
MAX_KEPT_NOTES = 4096


@attrs.frozen
class Note:
    """A fact about a subject.

    Attributes
    ----------
    subject : str
        Subject of the fact, such as a target.
    source : str
        Means by which the fact was observed.
    remaining : float
        Seconds for which the note is valid. Times are not sent because the clocks of
        machines differ.
    """

    subject: str
    source: str
    remaining: float


@attrs.define
class NoteRegistry:
    """Valid notes and the number of times each is still to be sent.

    Parameters
    ----------
    on_note : callable
        Called with subject, source and the local time at which the note expires, for
        each new note and each extension.
    max_lifetime : float
        Longest time in seconds for which a note is valid.
    max_kept : int
        Maximum number of notes; the oldest are dropped first.
    max_per_message : int
        Maximum number of notes in one message.
    spread_s : float
        Longest time in seconds for which a note is gossiped. Without this limit the
        backlog of a flood of notes would be gossiped long after the flood has ended.
    """

    on_note: Callable[[str, str, float], None]
    max_lifetime: float = MAX_LIFETIME_S
    max_kept: int = MAX_KEPT_NOTES
    max_per_message: int = MAX_NOTES_PER_MESSAGE
    spread_s: float = math.inf
    _expires_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _sends_left: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _gossip_until: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def post(self, note: Note, now: float, members: int) -> bool:
        """Add or extend a note; return whether its fact was not in effect before.

        Parameters
        ----------
        note : Note
            Note to add.
        now : float
            Local time in seconds.
        members : int
            Number of members that the note has to reach.
        """
        key = (note.subject, note.source)
        expires_at = now + min(note.remaining, self.max_lifetime)
        earlier = self._expires_at.get(key, 0.0)
        if expires_at < earlier + MIN_EXTENSION_S or expires_at <= now:
            return False
        self._expires_at[key] = expires_at
        self.spread_again(key, now, members)
        while len(self._expires_at) > self.max_kept:
            oldest = next(iter(self._expires_at))
            del self._expires_at[oldest]
            self._stop_gossip(oldest)
        self.on_note(note.subject, note.source, expires_at)
        return earlier <= now

    def spread_again(self, key: tuple[str, str], now: float, members: int) -> None:
        """Restart the gossip of a note that some members may not have received."""
        if key in self._expires_at:
            self._sends_left[key] = GOSSIP_FACTOR * math.ceil(math.log2(members + 2))
            self._gossip_until[key] = now + self.spread_s

    def _stop_gossip(self, key):
        self._sends_left.pop(key, None)
        self._gossip_until.pop(key, None)

    def next_notes(self, now: float) -> tuple[Note, ...]:
        """Return the notes for the next message."""
        chosen = sorted(self._sends_left, key=self._sends_left.get, reverse=True)[
            : self.max_per_message
        ]
        notes = []
        for key in chosen:
            self._sends_left[key] -= 1
            is_late = now > self._gossip_until[key]
            if self._sends_left[key] <= 0 or is_late:
                self._stop_gossip(key)
            remaining = self._expires_at[key] - now
            if remaining > 0 and not is_late:
                notes.append(Note(*key, remaining))
        return tuple(notes)

    def is_in_effect(self, subject: str, source: str, now: float) -> bool:
        """Return whether a note is in effect."""
        return self._expires_at.get((subject, source), now) > now

    def active_notes(self, now: float) -> list[Note]:
        """List the notes that are in effect."""
        return [Note(*key, t - now) for key, t in self._expires_at.items() if t > now]

    def drop_expired(self, now: float) -> None:
        """Remove the notes that have expired."""
        self._expires_at = {key: t for key, t in self._expires_at.items() if t > now}
        for key in [key for key in self._sends_left if key not in self._expires_at]:
            self._stop_gossip(key)
