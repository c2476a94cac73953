"""The search for a target: all that is known of those of a service, and its rounds."""

from cairnferry.policy.search._searcher import Found, NothingFound, Searcher
from cairnferry.policy.search._targetset import TargetSet

__all__ = ["Found", "NothingFound", "Searcher", "TargetSet"]
