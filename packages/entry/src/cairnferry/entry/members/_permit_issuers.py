"""Selection of the daemon that counts for all daemons.

It issues the permits for a limited target, or grants the tokens of a workspace.
"""

import bisect
import time
from collections.abc import Callable, Iterable

import attrs

from cairnferry.coordination import (
    RANK_KEY,
    REPRESENTATIVES,
    MemberState,
    lowest_ranked,
    rank,
)
from cairnferry.entry.members._cluster import Cluster

# Seconds for which an issuer that did not answer is skipped. Its own zone detects the
# loss earlier, so that the next daemon by rank issues permits by then.
UNRESPONSIVE_S = 2.0
# Workspaces for which the candidates are kept while the members do not change.
MAX_COMPUTED = 2048
# Seconds after the start in which listed instances count as live unless they are known
# to be lost. A daemon that starts learns of the other members within this time. By the
# members that it knows at first, it would take itself for the owner of most workspaces.
LEARNING_S = 5.0


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
    clock : callable, optional
        Returns monotonic seconds.
    """

    cluster: Cluster
    clock: Callable[[], float] = time.monotonic
    _unresponsive: dict[str, float] = attrs.field(factory=dict)
    _started: float = attrs.field(init=False)
    _view: tuple = ()
    _computed: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._started = self.clock()

    def issuer_for(self, target: str, zone: str) -> PermitIssuer | None:
        """Return the issuer of a target; None if there is no candidate."""
        now = self.clock()
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
        now = self.clock()
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

    # -- workspaces ------------------------------------------------------------------

    def owner_candidates(self, workspace: str) -> list[str]:
        """Return the responsive daemons that may own a workspace, the first first.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        """
        now = self.clock()
        ranked = self._computed_once(workspace, lambda: self._ranked_names(workspace))
        return [name for name in ranked if self._unresponsive.get(name, now) <= now]

    def owner_of(self, workspace: str) -> str | None:
        """Return the name of a workspace's owner in this daemon's view."""
        ranked = self._computed_once(workspace, lambda: self._ranked_names(workspace))
        return ranked[0] if ranked else None

    def _ranked_names(self, workspace):
        names = self._owner_names(self.zone_of(workspace))
        return lowest_ranked(workspace, names, len(names))

    def view(self) -> tuple:
        """Return a value that differs if the members or the list have changed."""
        cluster = self.cluster
        return (
            cluster.membership.version,
            cluster.listed,
            cluster.reported_instances,
            self._is_learning,
        )

    def _computed_once(self, key, compute):
        """Return what follows from the members and the list, computed once for each.

        A zone of 100 members is ranked in some 100 us, several times for each request.
        """
        view = self.view()
        if view != self._view or len(self._computed) > MAX_COMPUTED:
            self._view, self._computed = view, {}
        if key not in self._computed:
            self._computed[key] = compute()
        return self._computed[key]

    def zone_of(self, workspace: str) -> str:
        """Return the availability zone of a workspace's owner."""
        return lowest_ranked(workspace, self.live_zones(), 1)[0]

    def is_first_zone(self, workspace: str, zones: set[str]) -> bool:
        """Return whether the own zone is the workspace's first of some zones."""
        own_zone = self.cluster.membership.me.zone
        return lowest_ranked(workspace, {*zones, own_zone}, 1) == [own_zone]

    def live_zones(self) -> set[str]:
        """Return the availability zones that have live members."""
        return self._computed_once(("zones",), self._find_live_zones)

    def _find_live_zones(self):
        membership = self.cluster.membership
        zones = {member.zone for member in membership.live()} | {membership.me.zone}
        if self._is_learning:
            listed = {each.zone for each in self.cluster.listed.values()}
            zones |= {zone for zone in listed if self._usable(self._listed_in(zone))}
        return zones

    def find(self, name: str) -> PermitIssuer | None:
        """Return a daemon by its name; None if it is not known."""
        if self.cluster.membership.get(name) or name in self.cluster.listed:
            return self._issuer(name)
        return None

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a daemon is skipped because it did not answer."""
        now = self.clock()
        return self._unresponsive.get(name, now) > now

    def is_alone(self) -> bool:
        """Return whether this daemon has no live peer although others may exist."""
        return self._computed_once(("alone",), self._find_if_alone)

    def _find_if_alone(self):
        cluster = self.cluster
        own_name = cluster.membership.me.name
        if any(member.name != own_name for member in cluster.membership.live()):
            return False
        return cluster.listed.keys() != {own_name} or cluster.reported_instances > 1

    def share_of_all(self) -> float:
        """Return the part of a workspace's limit that an owner here grants.

        It belongs to the daemons that this daemon sees. Of other zones it knows some
        members only, the first by rank, from which the others are estimated. If all
        listed instances of a zone counted, both parts of a zone that is split would
        count in full for one part of the others.
        """
        return self._computed_once(("share",), self._find_share)

    def _find_share(self):
        membership = self.cluster.membership
        own_zone = membership.me.zone
        listed = [e.zone for e in self.cluster.listed.values() if not e.leaving]
        count = max(len(listed), self.cluster.reported_instances)
        if self._is_learning or not count:
            return 1.0
        seen = min(len(membership.own_zone_names()), listed.count(own_zone))
        for zone in self.live_zones() - {own_zone}:
            seen += listed.count(zone) * self._live_part(zone)
        return min(1.0, max(1, seen) / count)

    def _live_part(self, zone):
        """Return the estimated part of another zone's listed instances that is live.

        Known are the live instances of lowest rank. Those of lower rank than the last
        of them are live, or lost.
        """
        names = self._listed_in(zone)
        ranks = sorted(rank(RANK_KEY, name) for name in names)
        known = [m for m in map(self.cluster.membership.get, names) if m is not None]
        live = sorted(
            rank(RANK_KEY, m.name) for m in known if m.state is MemberState.ALIVE
        )[:REPRESENTATIVES]
        if not known:
            return 1.0
        if len(live) < REPRESENTATIVES:
            last = max(rank(RANK_KEY, member.name) for member in known)
        else:
            last = live[-1]
        return len(live) / bisect.bisect_right(ranks, last)

    @property
    def _is_learning(self):
        return self.clock() < self._started + LEARNING_S

    def _owner_names(self, zone):
        membership = self.cluster.membership
        live = [member.name for member in membership.live() if member.zone == zone]
        if zone == membership.me.zone and not self._is_learning:
            return live
        return list({*live, *self._usable(self._listed_in(zone))})

    # -- targets ---------------------------------------------------------------------

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
