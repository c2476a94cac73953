"""Which targets may be used: leaving, evacuated, ejected, limited and cold ones."""

from cairnferry.policy.usable._limited_targets import CandidateLists, LimitedTargets
from cairnferry.policy.usable._usable import UsableTargets

__all__ = ["LimitedTargets", "CandidateLists", "UsableTargets"]
