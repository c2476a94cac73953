"""What is known of a target: its state, its load, its latency, and when it is out."""

from cairnferry.policy.targets._ejection import Ejector
from cairnferry.policy.targets._events import Belief, EventLog, TargetEvent
from cairnferry.policy.targets._latency import LatencyEstimate
from cairnferry.policy.targets._report import LoadReport
from cairnferry.policy.targets._target import (
    CLEARLY_SLOWER,
    DrainSource,
    ReportTrust,
    TargetState,
)
from cairnferry.policy.targets._words import NO_WORDS, TargetWords, WordFault

__all__ = [
    "Belief",
    "CLEARLY_SLOWER",
    "DrainSource",
    "Ejector",
    "EventLog",
    "LatencyEstimate",
    "LoadReport",
    "NO_WORDS",
    "ReportTrust",
    "TargetEvent",
    "TargetState",
    "TargetWords",
    "WordFault",
]
