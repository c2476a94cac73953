"""Search for a target: the targets of a service, and rounds of status checks."""

from cairnferry.policy.search._searcher import Found, NothingFound, Searcher
from cairnferry.policy.search._targetset import TargetSet

__all__ = ["Found", "NothingFound", "Searcher", "TargetSet"]
