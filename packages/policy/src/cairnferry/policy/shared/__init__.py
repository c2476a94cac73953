"""What binds all daemons together: limits, permits, blocked requests, checks."""

from cairnferry.policy.shared._blocks import (
    EVERYBODY,
    SAME_END_S,
    Barred,
    Block,
    BlockRef,
    End,
    Free,
    Suspect,
)
from cairnferry.policy.shared._cold import Cold, ColdBook
from cairnferry.policy.shared._holds import HoldBook, TargetHolds
from cairnferry.policy.shared._identity import RequestIdentity
from cairnferry.policy.shared._limits import NO_LIMIT, LimitBook, NamedLimit
from cairnferry.policy.shared._permits import HOLD_S, Grant, PermitSchedule
from cairnferry.policy.shared._probes import ProbePlan, ProbeShare, probe_share
from cairnferry.policy.shared._quarantine import (
    ALONE_RETRY_S,
    MEMORY_S,
    TRIAL_RETRY_S,
    Quarantine,
)
from cairnferry.policy.shared._target_limits import Permit, TargetLimits, Wanted

__all__ = [
    "ALONE_RETRY_S",
    "Barred",
    "Block",
    "BlockRef",
    "Cold",
    "ColdBook",
    "EVERYBODY",
    "End",
    "Free",
    "Grant",
    "HOLD_S",
    "HoldBook",
    "LimitBook",
    "MEMORY_S",
    "NO_LIMIT",
    "NamedLimit",
    "Permit",
    "PermitSchedule",
    "ProbePlan",
    "ProbeShare",
    "Quarantine",
    "RequestIdentity",
    "SAME_END_S",
    "Suspect",
    "TRIAL_RETRY_S",
    "TargetHolds",
    "TargetLimits",
    "Wanted",
    "probe_share",
]
