"""Departure: which requests a daemon that stops still takes, and until when."""

from cairnferry.policy.departure._departure import ANSWER_S, Departure, LeavingTimes
from cairnferry.policy.departure._longest_times import LongestTimes

__all__ = ["ANSWER_S", "Departure", "LeavingTimes", "LongestTimes"]
