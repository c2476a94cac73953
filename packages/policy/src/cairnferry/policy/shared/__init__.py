"""State shared by all daemons: limits, permits, blocked requests and probe shares."""

from cairnferry.policy.shared._advisories import AdvisoryRegistry, ExpiryRegistry
from cairnferry.policy.shared._blocks import (
    ALL_CALLERS,
    SAME_CRASH_S,
    Block,
    BlockRef,
    Quarantined,
    Suspect,
    TargetCrash,
    Unrestricted,
)
from cairnferry.policy.shared._cold import ColdPeriod, ColdRegistry
from cairnferry.policy.shared._fallback_bucket import FallbackBucket
from cairnferry.policy.shared._identity import RequestIdentity
from cairnferry.policy.shared._limits import NO_LIMIT, AdvertisedLimit, LimitRegistry
from cairnferry.policy.shared._permits import (
    ISSUER_HOLD_OFF_S,
    PermitGrant,
    PermitSchedule,
)
from cairnferry.policy.shared._probes import ProbePlan, ProbeShare, probe_share
from cairnferry.policy.shared._quarantine import (
    EVIDENCE_RETENTION_S,
    ISOLATED_RETRY_S,
    TRIAL_RETRY_S,
    Quarantine,
)
from cairnferry.policy.shared._target_limits import Permit, PermitRequest, TargetLimits
from cairnferry.policy.shared._workspace_bucket import (
    OVERDUE_RANKS,
    LimitTolerance,
    TokenGrant,
    WorkspaceBucket,
    WorkspaceLimit,
)

__all__ = [
    "OVERDUE_RANKS",
    "ISOLATED_RETRY_S",
    "Quarantined",
    "Block",
    "BlockRef",
    "ColdPeriod",
    "ColdRegistry",
    "ALL_CALLERS",
    "TargetCrash",
    "Unrestricted",
    "PermitGrant",
    "ISSUER_HOLD_OFF_S",
    "ExpiryRegistry",
    "LimitRegistry",
    "EVIDENCE_RETENTION_S",
    "NO_LIMIT",
    "AdvertisedLimit",
    "Permit",
    "PermitSchedule",
    "ProbePlan",
    "ProbeShare",
    "Quarantine",
    "RequestIdentity",
    "SAME_CRASH_S",
    "Suspect",
    "TRIAL_RETRY_S",
    "AdvisoryRegistry",
    "TargetLimits",
    "PermitRequest",
    "FallbackBucket",
    "LimitTolerance",
    "TokenGrant",
    "WorkspaceBucket",
    "WorkspaceLimit",
    "probe_share",
]
