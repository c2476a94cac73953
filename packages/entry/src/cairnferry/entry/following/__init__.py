"""Records in force where the platform keeps them in tables that are followed."""

from cairnferry.entry.following._followed import FollowedRecords
from cairnferry.entry.following._handover import HANDOVER_PATH, Newcomer

__all__ = [
    "FollowedRecords",
    "HANDOVER_PATH",
    "Newcomer",
]
