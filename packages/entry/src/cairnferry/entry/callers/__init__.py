"""A caller's request: its way to a target and back."""

from cairnferry.entry.callers._callers import BodyLimits, CallersApp
from cairnferry.entry.callers._forward import Forwarder
from cairnferry.entry.callers._guard import Guard
from cairnferry.entry.callers._starting import Starting
from cairnferry.entry.callers._suspicions import suspicion_board

__all__ = [
    "BodyLimits",
    "CallersApp",
    "Forwarder",
    "Guard",
    "Starting",
    "suspicion_board",
]
