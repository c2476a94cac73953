"""Limits that targets advertise.

An overloaded target advertises the requests per second that it accepts from all daemons
together. A daemon cannot keep such a limit on its own: it would send its usual rate, or
an equal share, which for 2.6 requests per second and 300 daemons is less than one
request per daemon.

All times are monotonic seconds of one clock.
"""

import math

import attrs

# Limit of a target that advertises none, or no longer does.
NO_LIMIT = math.inf
# Requests per second that are sent at any lower limit. A target that receives no
# requests sends no responses, so the end of its limit would never be observed.
MIN_RATE_PER_S = 0.1
# Maximum number of limits kept, including those of targets that are not listed yet.
MAX_KEPT_LIMITS = 4096
# Seconds for which the limit of an unlisted target is kept, as a report by another
# daemon may arrive before the target's row.
LIMIT_RETENTION_S = 60.0


@attrs.frozen
class AdvertisedLimit:
    """Limit that a target advertised last.

    Attributes
    ----------
    per_s : float
        Requests per second that the target accepts; `NO_LIMIT` if it advertises none.
    at : float
        Time in seconds from which the limit applies.
    """

    per_s: float
    at: float


@attrs.define
class LimitRegistry:
    """Registry of the latest limit of each target; reports may arrive in any order.

    A limit applies from the time at which its response was received. The end of a limit
    applies from the time at which the request was sent, as its response may have been
    created before a limit that was received in the meantime.
    """

    _latest: dict[str, AdvertisedLimit] = attrs.field(factory=dict)
    _in_effect: dict[str, float] = attrs.field(factory=dict)

    def __len__(self):
        """Return the number of limits in effect."""
        return len(self._in_effect)

    @property
    def is_empty(self) -> bool:
        """Whether no target has advertised a limit, or the end of one."""
        return not self._latest

    def note_answer(
        self, identity: str, per_s: float, sent: float, received: float
    ) -> bool:
        """Record a response of a target; return whether this changes its limit.

        Parameters
        ----------
        identity : str
            Identity of the target.
        per_s : float
            Limit in the response, in requests per second; `NO_LIMIT` if it has none.
        sent, received : float
            Times in seconds at which the request was sent and its response received.
        """
        known = self._latest.get(identity)
        if per_s == NO_LIMIT:
            if known is None or known.per_s == NO_LIMIT or sent <= known.at:
                return False
            return self._set(identity, AdvertisedLimit(NO_LIMIT, sent))
        if known is not None and sent <= known.at:
            # The target may have created either limit last. The lower one is safe.
            per_s = min(per_s, known.per_s)
        return self._set(identity, AdvertisedLimit(per_s, received))

    def receive(self, identity: str, reported: AdvertisedLimit) -> bool:
        """Record a report by another daemon; return whether this changes the limit."""
        known = self._latest.get(identity)
        if known is not None and known.at >= reported.at:
            return False
        return self._set(identity, reported)

    def _set(self, identity, limit):
        before = self.get(identity).per_s
        self._latest[identity] = limit
        while len(self._latest) > MAX_KEPT_LIMITS:
            self._drop(next(iter(self._latest)))
        if limit.per_s == NO_LIMIT:
            self._in_effect.pop(identity, None)
        else:
            self._in_effect[identity] = max(MIN_RATE_PER_S, limit.per_s)
        return limit.per_s != before

    def get(self, identity: str) -> AdvertisedLimit:
        """Return the latest limit of a target."""
        return self._latest.get(identity, _NOT_ADVERTISED)

    def rate(self, identity: str) -> float | None:
        """Return the total requests per second for a target; None if unlimited."""
        return self._in_effect.get(identity)

    def in_force(self) -> dict[str, AdvertisedLimit]:
        """Return the limits in effect, by target identity."""
        return {identity: self._latest[identity] for identity in self._in_effect}

    def forget_unlisted(self, listed: set[str], now: float) -> list[str]:
        """Drop the limits of unlisted targets; return those that were in effect."""
        unlisted = [
            identity
            for identity, limit in self._latest.items()
            if identity not in listed and limit.at < now - LIMIT_RETENTION_S
        ]
        limited = [identity for identity in unlisted if identity in self._in_effect]
        for identity in unlisted:
            self._drop(identity)
        return limited

    def _drop(self, identity):
        del self._latest[identity]
        self._in_effect.pop(identity, None)


_NOT_ADVERTISED = AdvertisedLimit(NO_LIMIT, -math.inf)
