"""The other daemons: who lives, what each tells, and which of them callers use."""

from cairnferry.entry.members._cluster import Cluster, new_membership
from cairnferry.entry.members._duty import NO_STORE, WatchDuty
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.entry.members._gossip import Gossip
from cairnferry.entry.members._joining import JOIN_PATH, Joiner
from cairnferry.entry.members._permit_givers import Giver, PermitGivers
from cairnferry.entry.members._steering import Steering

__all__ = [
    "JOIN_PATH",
    "NO_STORE",
    "Joiner",
    "WatchDuty",
    "Cluster",
    "Enrolment",
    "Giver",
    "Gossip",
    "PermitGivers",
    "Steering",
    "new_membership",
]
