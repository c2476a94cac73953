"""A caller's request: its way to a target and back."""

from cairnferry.entry.callers._callers import BodyLimits, CallersApp
from cairnferry.entry.callers._forward import Forwarder
from cairnferry.entry.callers._guard import CrashGuard
from cairnferry.entry.callers._quarantine_notes import quarantine_board
from cairnferry.entry.callers._startup_retry import StartupRetry

__all__ = [
    "BodyLimits",
    "CallersApp",
    "Forwarder",
    "CrashGuard",
    "StartupRetry",
    "quarantine_board",
]
