"""State of targets: load, latency, ejection, advisories and events."""

from cairnferry.policy.targets._advisory import (
    NO_ADVISORY,
    AdvisoryFault,
    TargetAdvisory,
)
from cairnferry.policy.targets._ejection import Ejector
from cairnferry.policy.targets._events import EventLog, TargetCondition, TargetEvent
from cairnferry.policy.targets._latency import LatencyEstimate
from cairnferry.policy.targets._report import LoadReport
from cairnferry.policy.targets._target import (
    SLOW_TARGET_FACTOR,
    DrainSource,
    ReportWeighting,
    TargetState,
)

__all__ = [
    "TargetCondition",
    "SLOW_TARGET_FACTOR",
    "DrainSource",
    "Ejector",
    "EventLog",
    "LatencyEstimate",
    "LoadReport",
    "NO_ADVISORY",
    "ReportWeighting",
    "TargetEvent",
    "TargetState",
    "TargetAdvisory",
    "AdvisoryFault",
]
