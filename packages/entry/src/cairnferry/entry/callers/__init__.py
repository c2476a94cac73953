"""A caller's request: its way to a target and back."""

from cairnferry.entry.callers._callers import BodyLimits, CallersApp
from cairnferry.entry.callers._forward import Forwarder

__all__ = [
    "BodyLimits",
    "CallersApp",
    "Forwarder",
]
