"""Logs and metrics: what a daemon tells of its work."""

from cairnferry.entry.telemetry._exposition import render_metrics
from cairnferry.entry.telemetry._faulty_rows import FaultyRows
from cairnferry.entry.telemetry._logs import RateLimit, configure_logs, dropped_lines
from cairnferry.entry.telemetry._metrics import Metrics

__all__ = [
    "FaultyRows",
    "Metrics",
    "RateLimit",
    "configure_logs",
    "dropped_lines",
    "render_metrics",
]
