"""Which daemon gives the permits for a limited target."""

import time
from collections.abc import Iterable

import attrs

from cairnferry.coordination import MemberState, lowest_ranked
from cairnferry.entry.members._cluster import Cluster

# Seconds for which one that did not answer is passed over. Its zone knows sooner, and
# the next one of it gives permits then.
DOUBT_S = 2.0


@attrs.frozen
class PermitIssuer:
    """A daemon that gives permits.

    Attributes
    ----------
    name, zone, peer_address : str
        Its name, availability zone, and "IP:port" for other daemons.
    """

    name: str
    zone: str
    peer_address: str


@attrs.define
class PermitIssuers:
    """Finds the one by rank, in the target's availability zone.

    The daemons of a zone know each other in full and hear soon who is lost. Those of
    other zones go by the platform's list; whoever they ask gives nothing unless it is
    the first of its zone by its own view.

    Parameters
    ----------
    cluster : Cluster
        Who is there.
    """

    cluster: Cluster
    _doubted: dict[str, float] = attrs.field(factory=dict)

    def issuer_for(self, target: str, zone: str) -> PermitIssuer | None:
        """Give the one to ask about a target; None if nobody is left."""
        now = time.monotonic()
        names = [
            name
            for name in self._candidates(zone)
            if self._doubted.get(name, now) <= now
        ]
        first = lowest_ranked(target, names, 1)
        return self._giver(first[0]) if first else None

    def is_issuer(self, target: str, zone: str) -> bool:
        """Tell whether this daemon gives the permits for a target."""
        me = self.cluster.membership.me.name
        return lowest_ranked(target, self._candidates(zone), 1) == [me]

    def mark_unresponsive(self, name: str) -> None:
        """Take in that one did not answer."""
        now = time.monotonic()
        self._doubted = {n: until for n, until in self._doubted.items() if until > now}
        self._doubted[name] = now + DOUBT_S

    def visible_share(self, zone: str) -> float:
        """Give the part of a target's limit that this daemon may give permits for.

        In a zone that is cut in two each part has a first one by rank. Were both to
        give permits for the whole limit, the target would get twice what it takes; so
        each gives what falls to those that it sees, of those that are listed.
        """
        membership = self.cluster.membership
        live = len(membership.own_zone_names())
        listed = self._listed_in(membership.me.zone)
        return max(1, live) / max(1, live, len(listed))

    def _candidates(self, zone) -> Iterable[str]:
        """List the daemons of a zone; all, if the zone has none."""
        membership = self.cluster.membership
        if zone == membership.me.zone:
            return membership.own_zone_names()
        return self._usable(self._listed_in(zone)) or self._everywhere()

    def _everywhere(self):
        mine = self.cluster.membership.me.zone
        others = [n for n, each in self.cluster.listed.items() if each.zone != mine]
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

    def _giver(self, name):
        member = self.cluster.membership.get(name)
        if member is not None:
            return PermitIssuer(name, member.zone, member.peer_address)
        listed = self.cluster.listed[name]
        return PermitIssuer(name, listed.zone, listed.peer_address)
