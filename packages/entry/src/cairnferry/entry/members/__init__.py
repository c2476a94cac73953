"""Membership of the daemons, their gossip, and steering of callers to them."""

from cairnferry.entry.members._cluster import Cluster, new_membership
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.entry.members._gossip import Gossip
from cairnferry.entry.members._joining import JOIN_PATH, Joiner
from cairnferry.entry.members._permit_issuers import PermitIssuer, PermitIssuers
from cairnferry.entry.members._steering import Steering
from cairnferry.entry.members._watcher_role import STORE_UNREACHABLE, WatcherRole

__all__ = [
    "JOIN_PATH",
    "STORE_UNREACHABLE",
    "Joiner",
    "WatcherRole",
    "Cluster",
    "Enrolment",
    "PermitIssuer",
    "Gossip",
    "PermitIssuers",
    "Steering",
    "new_membership",
]
