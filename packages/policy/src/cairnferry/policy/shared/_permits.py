"""Permits that limit a rate over all daemons, issued by one of them.

A permit sets the time from which one request may be sent. Permits are issued in the
order in which they are requested and a short time ahead, so that a daemon has one when
its next request arrives and that request needs no message. Unused permits are returned.

All times are monotonic seconds of one clock.
"""

import random

import attrs

# Seconds ahead for which permits are issued. It is several times the duration of a call
# to a peer in another zone, and a fraction of the time in which limits may change.
ISSUE_AHEAD_S = 0.5
# Seconds for which a permit may be used. Most of 300 daemons get a request for a
# service in that time. As a permit stays valid that long, a window of 4 s can contain
# the permits of a period that is longer by a fifth.
PERMIT_LIFETIME_S = 1.0
# Seconds for which a new permit issuer issues none. Permits of the previous issuer may
# still be used, and would add to those of the new one.
ISSUER_HOLD_OFF_S = 0.5
# Seconds for which a daemon counts as a requester after its last request for permits.
REQUESTER_RETENTION_S = 3.0
# Minimum and maximum seconds until a daemon that got no permits requests them again.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0


@attrs.frozen
class PermitGrant:
    """Response to a request for permits.

    Attributes
    ----------
    delays : tuple of float
        Seconds from now after which each permit may be used.
    retry_s : float
        Seconds after which to request permits again.
    """

    delays: tuple[float, ...]
    retry_s: float


@attrs.define
class PermitSchedule:
    """Issues permits for one target, evenly spaced at its rate.

    Parameters
    ----------
    next_at : float
        Time in seconds of the next permit.
    rng : random.Random
        Source of randomness that spreads the retries of requesters.
    """

    next_at: float
    rng: random.Random
    _requesters: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def begin(
        cls, now: float, rng: random.Random, hold_off_s: float = ISSUER_HOLD_OFF_S
    ) -> "PermitSchedule":
        """Return a schedule that issues permits after `hold_off_s` seconds."""
        return cls(now + hold_off_s, rng)

    def grant(
        self, requester: str, rate: float, requested: int, now: float
    ) -> PermitGrant:
        """Issue permits to a daemon.

        Parameters
        ----------
        requester : str
            Name of the daemon.
        rate : float
            Permits per second.
        requested : int
            Number of permits that it requests.
        now : float
            Time in seconds.

        Returns
        -------
        PermitGrant
            The permits issued, and the delay until the next request.
        """
        requesters = self._count_requesters(requester, now)
        # Permits that no daemon requested expire, except the latest one, which the
        # current requester gets at once.
        self.next_at = max(self.next_at, now - 1 / rate)
        # A daemon that requests many permits leaves some to the other requesters.
        max_count = max(1, int(rate * ISSUE_AHEAD_S / requesters))
        delays = []
        while (
            len(delays) < min(requested, max_count)
            and self.next_at <= now + ISSUE_AHEAD_S
        ):
            delays.append(max(0.0, self.next_at - now))
            self.next_at += 1 / rate
        return PermitGrant(tuple(delays), self._retry_after(requesters, rate, now))

    def _count_requesters(self, requester, now):
        self._requesters[requester] = now
        if len(self._requesters) > 1:
            self._requesters = {
                name: at
                for name, at in self._requesters.items()
                if at > now - REQUESTER_RETENTION_S
            }
        return len(self._requesters)

    def _retry_after(self, requesters, rate, now):
        """Return a retry delay that spreads the requesters over the issued permits."""
        first = max(MIN_RETRY_S, self.next_at - ISSUE_AHEAD_S - now)
        spread = min(MAX_RETRY_S - first, (requesters - 1) / rate)
        return min(MAX_RETRY_S, first + self.rng.random() * max(0.0, spread))

    def return_unused(self, count: int, rate: float) -> None:
        """Take back unused permits, for the next requests."""
        self.next_at -= count / rate

    def restart(self, rate: float, now: float) -> None:
        """Continue at another rate; permits issued earlier are void."""
        self.next_at = now + 1 / rate
