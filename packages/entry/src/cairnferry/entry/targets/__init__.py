"""Targets of a service: connections, status checks, limits and policy runtime."""

from cairnferry.entry.targets._advisory import read_advisory
from cairnferry.entry.targets._advisory_recorder import AdvisoryRecorder
from cairnferry.entry.targets._conventions import (
    CallerConvention,
    CheckResult,
    DefaultCallerConvention,
    DefaultTargetConvention,
    TargetConvention,
)
from cairnferry.entry.targets._crash_detector import CrashDetector, InterruptedRequest
from cairnferry.entry.targets._exchange_result import lost_result, not_run_result
from cairnferry.entry.targets._limit_header import LimitFault, read_limit
from cairnferry.entry.targets._limit_notes import limit_note_registry
from cairnferry.entry.targets._limiter import Limiter
from cairnferry.entry.targets._permits import LocalPermitIssuer, PermitRequester
from cairnferry.entry.targets._probing import HealthProber
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._services import Services
from cairnferry.entry.targets._status_checks import StatusChecks
from cairnferry.entry.targets._upstreams import OutboundRequest, Upstreams

__all__ = [
    "AdvisoryRecorder",
    "CallerConvention",
    "CheckResult",
    "CrashDetector",
    "DefaultCallerConvention",
    "DefaultTargetConvention",
    "HealthProber",
    "InterruptedRequest",
    "LimitFault",
    "Limiter",
    "LocalPermitIssuer",
    "OutboundRequest",
    "PermitRequester",
    "ServiceRuntime",
    "Services",
    "StatusChecks",
    "TargetConvention",
    "Upstreams",
    "limit_note_registry",
    "lost_result",
    "not_run_result",
    "read_advisory",
    "read_limit",
]
