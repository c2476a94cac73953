"""Selection of usable targets.

Draining, evacuated, ejected and paused targets and those that back off are excluded;
limited and cold targets need a permit.
"""

from cairnferry.policy.usable._limited_targets import CandidateLists, LimitedTargets
from cairnferry.policy.usable._usable import UsableTargets

__all__ = ["LimitedTargets", "CandidateLists", "UsableTargets"]
