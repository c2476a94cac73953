"""Limits that targets name: what holds, and what of it this daemon may use.

A target in need names the requests a second that it takes from all daemons together.
No daemon can keep that by what it knows itself: each would send as before, or an equal
part, which for 2.6 a second at 300 daemons is no whole request for anybody.

All times are monotonic seconds of one clock.
"""

import math

import attrs

# What is held of a target that names no limit any more.
NO_LIMIT = math.inf
# Requests a second that are sent for any limit, however low: a target that is sent
# nothing says nothing, so that the end of its need would never be known.
LEAST_RATE = 0.1
# Limits that are kept, of targets that this daemon may not have heard of yet.
MAX_KEPT = 4096
# Seconds for which a limit is kept of a target that is not listed: the word of others
# may come before its row.
UNLISTED_S = 60.0


@attrs.frozen
class AdvertisedLimit:
    """What a target said last.

    Attributes
    ----------
    per_s : float
        Requests a second that it takes; `NO_LIMIT` if it names none.
    at : float
        Time in seconds from which that counts.
    """

    per_s: float
    at: float


@attrs.define
class LimitRegistry:
    """The last word of each target, in whatever order words come.

    A limit counts from when it was heard. That one is over counts from when the
    request was sent whose answer says so: that answer may have been made before a
    limit that was heard meanwhile.
    """

    _known: dict[str, AdvertisedLimit] = attrs.field(factory=dict)
    _in_force: dict[str, float] = attrs.field(factory=dict)

    def __len__(self):
        """Give the number of limits in force."""
        return len(self._in_force)

    @property
    def is_empty(self) -> bool:
        """Whether no target has said anything of a limit."""
        return not self._known

    def note_answer(
        self, identity: str, per_s: float, sent: float, heard: float
    ) -> bool:
        """Take in an answer of a target; tell whether its limit is another one now.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        per_s : float
            Limit that the answer names; `NO_LIMIT` if it names none.
        sent, heard : float
            Times in seconds of the request and of its answer.
        """
        known = self._known.get(identity)
        if per_s == NO_LIMIT:
            if known is None or known.per_s == NO_LIMIT or sent <= known.at:
                return False
            return self._set(identity, AdvertisedLimit(NO_LIMIT, sent))
        if known is not None and sent <= known.at:
            # Both may be the later one. Keeping the lower burdens nobody.
            per_s = min(per_s, known.per_s)
        return self._set(identity, AdvertisedLimit(per_s, heard))

    def receive(self, identity: str, told: AdvertisedLimit) -> bool:
        """Take in what another daemon knows; tell whether the limit is another one."""
        known = self._known.get(identity)
        if known is not None and known.at >= told.at:
            return False
        return self._set(identity, told)

    def _set(self, identity, limit):
        before = self.get(identity).per_s
        self._known[identity] = limit
        while len(self._known) > MAX_KEPT:
            self._forget(next(iter(self._known)))
        if limit.per_s == NO_LIMIT:
            self._in_force.pop(identity, None)
        else:
            self._in_force[identity] = max(LEAST_RATE, limit.per_s)
        return limit.per_s != before

    def get(self, identity: str) -> AdvertisedLimit:
        """Give the last word of a target."""
        return self._known.get(identity, _NOTHING_SAID)

    def rate(self, identity: str) -> float | None:
        """Give the requests a second that all may send it; None for any number."""
        return self._in_force.get(identity)

    def in_force(self) -> dict[str, AdvertisedLimit]:
        """Give the limits that hold, by the names of targets' starts."""
        return {identity: self._known[identity] for identity in self._in_force}

    def forget_unlisted(self, listed: set[str], now: float) -> list[str]:
        """Drop what is known of targets that are gone; give those that had a limit."""
        gone = [
            identity
            for identity, limit in self._known.items()
            if identity not in listed and limit.at < now - UNLISTED_S
        ]
        limited = [identity for identity in gone if identity in self._in_force]
        for identity in gone:
            self._forget(identity)
        return limited

    def _forget(self, identity):
        del self._known[identity]
        self._in_force.pop(identity, None)


_NOTHING_SAID = AdvertisedLimit(NO_LIMIT, -math.inf)
