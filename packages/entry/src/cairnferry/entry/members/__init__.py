"""The other daemons: who lives, what each tells, and which of them callers use."""

from cairnferry.entry.members._cluster import Cluster, new_membership
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.entry.members._gossip import Gossip
from cairnferry.entry.members._joining import JOIN_PATH, Joiner
from cairnferry.entry.members._permit_issuers import PermitIssuer, PermitIssuers
from cairnferry.entry.members._steering import Steering
from cairnferry.entry.members._watcher_role import NO_STORE, WatcherRole

__all__ = [
    "JOIN_PATH",
    "NO_STORE",
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
