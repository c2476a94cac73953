"""Callers' requests: forwarding to targets, and blocking of harmful requests."""

from cairnferry.entry.callers._callers import BodyLimits, CallersApp
from cairnferry.entry.callers._cut_log import CutLog
from cairnferry.entry.callers._detour_app import DetourApp
from cairnferry.entry.callers._forward import Forwarder
from cairnferry.entry.callers._guard import CrashGuard
from cairnferry.entry.callers._quarantine_notes import quarantine_note_registry
from cairnferry.entry.callers._startup_hold import StartupHold
from cairnferry.entry.callers._startup_retry import StartupRetry

__all__ = [
    "BodyLimits",
    "CallersApp",
    "CrashGuard",
    "CutLog",
    "DetourApp",
    "Forwarder",
    "StartupHold",
    "StartupRetry",
    "quarantine_note_registry",
]
