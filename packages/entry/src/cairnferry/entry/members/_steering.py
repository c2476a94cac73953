"""Steering of callers to entry instances."""

import math
import time

import attrs

from cairnferry.coordination import Member, lowest_ranked
from cairnferry.entry.members._cluster import Cluster

MS_PER_S = 1000
# Weight of an instance without spare capacity, as a share of that of an idle one.
MIN_WEIGHT = 0.05
# Spare capacity of an idle instance, in thousandths.
FULL_SPARE = 1000
# Number of instances in the caller's zone from which instances of other zones are not
# returned.
MIN_SAME_ZONE = 2


@attrs.define
class Steering:
    """Builds steering answers, which callers cache for their time to live.

    An answer is an optimisation: any daemon serves any service, so that a stale answer
    costs time but breaks nothing.

    Parameters
    ----------
    cluster : Cluster
        Members and their health.
    zone : str
        Availability zone of this instance.
    ttl : float
        Time to live of an answer in seconds.
    shard : int
        Number of entry instances for one service; 0 for all.
    """

    cluster: Cluster
    zone: str
    ttl: float
    shard: int

    def answer(self, service: str, zone: str | None) -> dict:
        """Return the answer for a service and the caller's availability zone."""
        caller_zone = zone or self.zone
        usable = self.cluster.usable(time.monotonic())
        members = self._shard_of(service, usable)
        members.sort(key=lambda member: (member.zone != caller_zone, member.name))
        entries = [self._entry(member) for member in members]
        return {"entries": entries, "ttl_ms": int(self.ttl * MS_PER_S)}

    def addresses(self, zone: str | None) -> list[str]:
        """Return the addresses for a caller of a zone, which uses any of them.

        These are the instances of the caller's zone if there are at least
        `MIN_SAME_ZONE`, so that it still has one after a loss; otherwise all instances.
        """
        usable = self.cluster.usable(time.monotonic())
        near = [member for member in usable if member.zone == zone]
        chosen = near if len(near) >= MIN_SAME_ZONE else usable
        return [member.caller_address for member in chosen]

    def _shard_of(self, service, members):
        """Select the shard of a service, with the same number from each zone."""
        if not self.shard or len(members) <= self.shard:
            return list(members)
        by_zone: dict[str, dict[str, Member]] = {}
        for member in members:
            by_zone.setdefault(member.zone, {})[member.name] = member
        count = math.ceil(self.shard / len(by_zone))
        chosen = []
        for in_zone in by_zone.values():
            names = lowest_ranked(service, in_zone, count)
            chosen.extend(in_zone[name] for name in names)
        return chosen

    def _entry(self, member):
        spare = self.cluster.spare_of(member.name) / FULL_SPARE
        return {
            "address": member.caller_address,
            "zone": member.zone,
            "weight": round(max(MIN_WEIGHT, spare), 2),
        }
