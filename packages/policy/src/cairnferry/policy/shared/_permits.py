"""Permits for what all daemons together may do so often, given out by one of them.

A permit says when one request may be sent. They are given in the order in which they
are asked for, a little ahead, so that a daemon has one when its next request comes, and
no message lies in that request's path. What is not used comes back.

All times are monotonic seconds of one clock.
"""

import random

import attrs

# Seconds ahead for which permits are given: several times what a call to a peer of
# another zone takes, and a part of the time in which limits may change.
AHEAD_S = 0.5
# Seconds for which a permit may be used: most daemons of 300 get a request for a
# service in that time. A window of 4 s holds what a fifth more time gives.
PERMIT_S = 1.0
# Seconds for which one that has just begun to give permits gives none: those of the one
# before may be about to be used, and what these two give adds up.
ISSUER_HOLD_OFF_S = 0.5
# Seconds for which one that asked counts among those that do.
ASKER_S = 3.0
# Least and most seconds after which one that got none asks again.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0


@attrs.frozen
class PermitGrant:
    """The answer to one that asks for permits.

    Attributes
    ----------
    delays : tuple of float
        Seconds from now after which each permit may be used.
    retry_s : float
        Seconds after which to ask again.
    """

    delays: tuple[float, ...]
    retry_s: float


@attrs.define
class PermitSchedule:
    """Gives out permits for one target, one after the other, at its rate.

    Parameters
    ----------
    next_at : float
        Time in seconds of the next permit.
    rng : random.Random
        Spreads those that come again.
    """

    next_at: float
    rng: random.Random
    _askers: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def begin(
        cls, now: float, rng: random.Random, hold_s: float = ISSUER_HOLD_OFF_S
    ) -> "PermitSchedule":
        """Begin to give permits, after the hold."""
        return cls(now + hold_s, rng)

    def grant(self, asker: str, rate: float, wanted: int, now: float) -> PermitGrant:
        """Give permits to one that asks.

        Parameters
        ----------
        asker : str
            Name of the daemon.
        rate : float
            Permits a second.
        wanted : int
            How many it asks for.
        now : float
            Time in seconds.
        """
        askers = self._count_askers(asker, now)
        # What was not asked for is lost, but for the last one: who asks comes by.
        self.next_at = max(self.next_at, now - 1 / rate)
        # One that asks for many leaves some to the others.
        most = max(1, int(rate * AHEAD_S / askers))
        delays = []
        while len(delays) < min(wanted, most) and self.next_at <= now + AHEAD_S:
            delays.append(max(0.0, self.next_at - now))
            self.next_at += 1 / rate
        return PermitGrant(tuple(delays), self._retry_after(askers, rate, now))

    def _count_askers(self, asker, now):
        self._askers[asker] = now
        if len(self._askers) > 1:
            self._askers = {
                name: at for name, at in self._askers.items() if at > now - ASKER_S
            }
        return len(self._askers)

    def _retry_after(self, askers, rate, now):
        """Bring back as many as there are permits, spread over the time of all."""
        first = max(MIN_RETRY_S, self.next_at - AHEAD_S - now)
        spread = min(MAX_RETRY_S - first, (askers - 1) / rate)
        return min(MAX_RETRY_S, first + self.rng.random() * max(0.0, spread))

    def return_unused(self, count: int, rate: float) -> None:
        """Take back permits that were not used, for the next that ask."""
        self.next_at -= count / rate

    def restart(self, rate: float, now: float) -> None:
        """Go on at another rate: what was given before is void."""
        self.next_at = now + 1 / rate
