"""A caller's request: its way to a target and back."""

from cairnferry.entry.callers._callers import BodyLimits, CallersApp
from cairnferry.entry.callers._forward import Forwarder
from cairnferry.entry.callers._guard import Guard
from cairnferry.entry.callers._suspicions import BLOCK_NOTE_S

__all__ = [
    "BLOCK_NOTE_S",
    "BodyLimits",
    "CallersApp",
    "Forwarder",
    "Guard",
]
