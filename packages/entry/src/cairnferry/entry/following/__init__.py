"""Records from platform tables whose changes the daemon follows."""

from cairnferry.entry.following._followed import FollowedRecords
from cairnferry.entry.following._handover import HANDOVER_PATH, HandoverClient
from cairnferry.entry.following._instances import (
    INSTANCES,
    INSTANCES_COALESCE_S,
    FollowedInstances,
)

__all__ = [
    "FollowedInstances",
    "FollowedRecords",
    "HANDOVER_PATH",
    "INSTANCES",
    "INSTANCES_COALESCE_S",
    "HandoverClient",
]
