"""Choice of the peer that serves a request in place of this daemon."""

import math
import random
from collections import Counter

import attrs

# Seconds for which a peer that reaches no target either is not asked again for the
# service. A partition of it may end at any time.
DECLINED_S = 0.5
# Seconds for which a peer to which no connection could be opened is not asked again.
UNCONNECTED_S = 2.0
# Seconds for which a peer that served a request shows that the service is reachable.
SERVED_S = 2.0
# Seconds for which no further request that found no room here is passed on, after no
# peer found any either, and how often that is doubled if it happens again.
FULL_S = 0.3
MAX_FULL_DOUBLINGS = 3
# Weight of a peer of the own availability zone, relative to one of another zone.
NEAR_WEIGHT = 3.0
# Factor of a peer's weight for each other one of its zone that has declined lately: a
# partition often affects all of a zone.
DECLINED_ZONE_FACTOR = 0.5
# Weight of a peer without spare capacity, as a share of that of an idle one.
MIN_SPARE = 0.05
# Factor of the weight of a peer that asks for callers to be sent elsewhere.
AVOIDED_FACTOR = 0.01


@attrs.frozen
class Peer:
    """Another daemon that may serve requests for this one.

    Attributes
    ----------
    name, zone, address : str
        Name, availability zone, and "IP:port" for other daemons.
    spare : float
        Spare capacity, 0 to 1.
    is_avoided : bool
        Whether it asks for callers to be sent to other daemons.
    """

    name: str
    zone: str
    address: str
    spare: float = 1.0
    is_avoided: bool = False


@attrs.define
class PeerChoice:
    """Chooses peers by zone, spare capacity and what they answered before.

    The choice is random, so that the daemons of a zone that is cut off spread their
    requests over all others.

    Parameters
    ----------
    zone : str
        Own availability zone.
    rng : random.Random
        Source of randomness.
    """

    zone: str
    rng: random.Random
    _declined: dict[tuple[str, str], tuple[float, str]] = attrs.field(factory=dict)
    _served_at: dict[str, float] = attrs.field(factory=dict)
    _full_until: dict[str, float] = attrs.field(factory=dict)
    _full_times: Counter = attrs.field(factory=Counter)
    _unconnected: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self, service: str, peers: list[Peer], tried: set[str], now: float
    ) -> Peer | None:
        """Return the peer to ask next; None if none is left.

        Parameters
        ----------
        service : str
            Name of the service.
        peers : list of Peer
            Live peers.
        tried : set of str
            Names of the peers that were asked for this request.
        now : float
            Time in seconds.
        """
        self._drop_expired(now)
        declined = {name for kind, name in self._declined if kind == service}
        zones = Counter(
            zone for (kind, _), (_, zone) in self._declined.items() if kind == service
        )
        excluded = tried | declined | self._unconnected.keys()
        left = [peer for peer in peers if peer.name not in excluded]
        if not left:
            return None
        weights = [self._weight(peer, zones) for peer in left]
        return self.rng.choices(left, weights)[0]

    def _weight(self, peer, declined_by_zone):
        weight = max(MIN_SPARE, peer.spare)
        if peer.zone == self.zone:
            weight *= NEAR_WEIGHT
        if peer.is_avoided:
            weight *= AVOIDED_FACTOR
        return weight * DECLINED_ZONE_FACTOR ** declined_by_zone[peer.zone]

    def note_declined(self, service: str, peer: Peer, now: float) -> None:
        """Record that a peer cannot serve requests for a service now."""
        self._declined[service, peer.name] = (now + DECLINED_S, peer.zone)

    def note_unconnected(self, peer: Peer, now: float) -> None:
        """Record that no connection to a peer could be opened."""
        self._unconnected[peer.name] = now + UNCONNECTED_S

    def note_served(self, service: str, now: float) -> None:
        """Record that a peer got an answer from a target of a service."""
        self._served_at[service] = now
        self._full_times[service] = 0

    def note_full(self, service: str, now: float) -> None:
        """Record that no peer found room at a service's targets either."""
        doublings = min(self._full_times[service], MAX_FULL_DOUBLINGS)
        self._full_times[service] += 1
        self._full_until[service] = now + FULL_S * 2**doublings

    def may_have_room(self, service: str, now: float) -> bool:
        """Return whether a peer may find room at targets that this daemon lacks."""
        return now >= self._full_until.get(service, now)

    def is_served_elsewhere(self, service: str, now: float) -> bool:
        """Return whether a peer has reached a service's targets lately."""
        return now - self._served_at.get(service, -math.inf) < SERVED_S

    def ask_again_s(self, service: str, now: float) -> float:
        """Return the seconds until the first peer that declined is asked again."""
        ends = [
            until for (kind, _), (until, _) in self._declined.items() if kind == service
        ]
        return max(0.0, min(ends, default=now) - now)

    def _drop_expired(self, now):
        self._declined = {
            key: value for key, value in self._declined.items() if value[0] > now
        }
        self._unconnected = {
            name: until for name, until in self._unconnected.items() if until > now
        }
