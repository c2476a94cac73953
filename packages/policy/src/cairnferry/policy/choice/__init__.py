"""Whom to ask, and whom to take, of the targets that may be used."""

from cairnferry.policy.choice._choice import (
    Chooser,
    LeastInFlight,
    LoadAware,
    RandomChoice,
    RoundRobin,
    Strategy,
    TwoChoices,
)
from cairnferry.policy.choice._seeking import Seeker, StatusCheckSettings
from cairnferry.policy.choice._work import WorkEstimates

__all__ = [
    "Chooser",
    "LeastInFlight",
    "LoadAware",
    "RandomChoice",
    "RoundRobin",
    "StatusCheckSettings",
    "Seeker",
    "Strategy",
    "TwoChoices",
    "WorkEstimates",
]
