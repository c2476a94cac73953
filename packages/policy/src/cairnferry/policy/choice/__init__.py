"""Choice of targets to check and of the target to send a request to."""

from cairnferry.policy.choice._choice import (
    Chooser,
    LeastInFlight,
    LoadAware,
    RandomChoice,
    RoundRobin,
    Strategy,
    TwoChoices,
)
from cairnferry.policy.choice._queue_bound import QueueBound
from cairnferry.policy.choice._status_checks import (
    StatusCheckChooser,
    StatusCheckSettings,
)
from cairnferry.policy.choice._work import WorkEstimates

__all__ = [
    "Chooser",
    "LeastInFlight",
    "LoadAware",
    "QueueBound",
    "RandomChoice",
    "RoundRobin",
    "StatusCheckSettings",
    "StatusCheckChooser",
    "Strategy",
    "TwoChoices",
    "WorkEstimates",
]
