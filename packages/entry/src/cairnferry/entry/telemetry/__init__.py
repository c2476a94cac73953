"""Logs and metrics of a daemon."""

from cairnferry.entry.telemetry._exposition import render_metrics
from cairnferry.entry.telemetry._faulty_rows import FaultyRowLog
from cairnferry.entry.telemetry._logs import RateLimit, configure_logs, dropped_lines
from cairnferry.entry.telemetry._metrics import Durations, Metrics

__all__ = [
    "Durations",
    "FaultyRowLog",
    "Metrics",
    "RateLimit",
    "configure_logs",
    "dropped_lines",
    "render_metrics",
]
