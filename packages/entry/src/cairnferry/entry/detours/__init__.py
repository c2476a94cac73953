"""Requests that a peer serves, as no path from here to their service works."""

from cairnferry.entry.detours._client import (
    Declined,
    DetourClient,
    DetourLost,
    DetourOutcome,
    DetourRequest,
    NoConnection,
    NotRunThere,
    Served,
    UnknownThere,
)
from cairnferry.entry.detours._fields import (
    DetourDecision,
    DetourHead,
    decision_headers,
    read_detour_head,
    without_detour_fields,
)

__all__ = [
    "Declined",
    "DetourClient",
    "DetourDecision",
    "DetourHead",
    "DetourLost",
    "DetourOutcome",
    "DetourRequest",
    "NoConnection",
    "NotRunThere",
    "Served",
    "UnknownThere",
    "decision_headers",
    "read_detour_head",
    "without_detour_fields",
]
