"""Which entry instances callers shall use for a service."""

import math
import time

import attrs

from cairnferry.coordination import Member, lowest_ranked
from cairnferry.entry.members._cluster import Cluster

MS_PER_S = 1000
MIN_WEIGHT = 0.05
FULL_SPARE = 1000
# Instances of the caller's zone from which those of other zones are not named.
MIN_NEAR = 2


@attrs.define
class Steering:
    """Makes the answers that callers keep for their time to live.

    The answer is an optimisation: any daemon serves any service, so that a
    stale one costs time but breaks nothing.

    Parameters
    ----------
    cluster : Cluster
        Who is there, and how it fares.
    zone : str
        Own availability zone.
    ttl : float
        Time to live in seconds.
    shard : int
        Entry instances for one service; 0 for all.
    """

    cluster: Cluster
    zone: str
    ttl: float
    shard: int

    def answer(self, service: str, zone: str | None) -> dict:
        """Give the answer for a service and the caller's availability zone."""
        near = zone or self.zone
        usable = self.cluster.usable(time.monotonic())
        members = self._shard_of(service, usable)
        members.sort(key=lambda member: (member.zone != near, member.name))
        entries = [self._entry(member) for member in members]
        return {"entries": entries, "ttl_ms": int(self.ttl * MS_PER_S)}

    def addresses(self, zone: str | None) -> list[str]:
        """Give the addresses for a caller of a zone, which picks any of them.

        Those of its own zone if there are enough, so that the loss of one does not
        leave it without any; else all.
        """
        usable = self.cluster.usable(time.monotonic())
        near = [member for member in usable if member.zone == zone]
        chosen = near if len(near) >= MIN_NEAR else usable
        return [member.caller_address for member in chosen]

    def _shard_of(self, service, members):
        """Choose a like part of each zone, so that each keeps some."""
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
