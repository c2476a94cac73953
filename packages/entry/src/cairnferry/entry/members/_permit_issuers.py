"""Selection of the daemon that issues the permits for a limited target."""

import time
from collections.abc import Iterable

import attrs

from cairnferry.coordination import MemberState, lowest_ranked
from cairnferry.entry.members._cluster import Cluster

# Seconds for which an issuer that did not answer is skipped. Its own zone detects the
# loss earlier, so that the next daemon by rank issues permits by then.
UNRESPONSIVE_S = 2.0


@attrs.frozen
class PermitIssuer:
    """A daemon that issues permits.

    Attributes
    ----------
    name, zone, peer_address : str
        Name, availability zone, and "IP:port" for other daemons.
    """

    name: str
    zone: str
    peer_address: str


@attrs.define
class PermitIssuers:
    """Selects the issuer of a target by rank, in the target's availability zone.

    The daemons of a zone know all its members and detect a loss promptly. Daemons
    of other zones use the platform's list. A daemon issues no permits unless it is the
    first of its zone in its own view.

    Parameters
    ----------
    cluster : Cluster
        Members and listed instances.
    """

    cluster: Cluster
    _unresponsive: dict[str, float] = attrs.field(factory=dict)

    def issuer_for(self, target: str, zone: str) -> PermitIssuer | None:
        """Return the issuer of a target; None if there is no candidate."""
        now = time.monotonic()
        names = [
            name
            for name in self._candidates(zone)
            if self._unresponsive.get(name, now) <= now
        ]
        first = lowest_ranked(target, names, 1)
        return self._issuer(first[0]) if first else None

    def is_issuer(self, target: str, zone: str) -> bool:
        """Return whether this daemon issues the permits for a target."""
        own_name = self.cluster.membership.me.name
        return lowest_ranked(target, self._candidates(zone), 1) == [own_name]

    def mark_unresponsive(self, name: str) -> None:
        """Skip a daemon that did not answer, for `UNRESPONSIVE_S`."""
        now = time.monotonic()
        self._unresponsive = {
            n: until for n, until in self._unresponsive.items() if until > now
        }
        self._unresponsive[name] = now + UNRESPONSIVE_S

    def visible_share(self, zone: str) -> float:
        """Return the share of a target's limit for which this daemon issues permits.

        In a partitioned zone, each side has an issuer. If both issued permits for the
        whole limit, the target would receive twice its limit. So the share is the
        number of live members over the number of listed instances.

        Parameters
        ----------
        zone : str
            Availability zone of the target.
        """
        membership = self.cluster.membership
        live = len(membership.own_zone_names())
        listed = self._listed_in(membership.me.zone)
        return max(1, live) / max(1, live, len(listed))

    def _candidates(self, zone) -> Iterable[str]:
        """Return the daemons of a zone, or those of all zones if it has none."""
        membership = self.cluster.membership
        if zone == membership.me.zone:
            return membership.own_zone_names()
        return self._usable(self._listed_in(zone)) or self._in_all_zones()

    def _in_all_zones(self):
        own_zone = self.cluster.membership.me.zone
        others = [n for n, each in self.cluster.listed.items() if each.zone != own_zone]
        return [*self._usable(others), *self.cluster.membership.own_zone_names()]

    def _listed_in(self, zone):
        listed = self.cluster.listed.items()
        return [n for n, each in listed if each.zone == zone and not each.leaving]

    def _usable(self, names):
        members = (self.cluster.membership.get(name) for name in names)
        return [
            name
            for name, member in zip(names, members, strict=True)
            if member is None or member.state is MemberState.ALIVE
        ]

    def _issuer(self, name):
        member = self.cluster.membership.get(name)
        if member is not None:
            return PermitIssuer(name, member.zone, member.peer_address)
        listed = self.cluster.listed[name]
        return PermitIssuer(name, listed.zone, listed.peer_address)
