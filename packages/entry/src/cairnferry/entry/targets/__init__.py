"""The targets of a service: connections, status checks, and the policy at work."""

from cairnferry.entry.targets._asking import StatusChecks
from cairnferry.entry.targets._conventions import (
    CallerConvention,
    CheckResult,
    OwnCallers,
    OwnTargets,
    TargetConvention,
)
from cairnferry.entry.targets._endings import Endings, LostRun
from cairnferry.entry.targets._exchange_result import lost, not_run
from cairnferry.entry.targets._limit_notes import limit_board
from cairnferry.entry.targets._limit_words import LimitFault, read_limit
from cairnferry.entry.targets._limiter import Limiter
from cairnferry.entry.targets._permits import PermitAsking, PermitGiving
from cairnferry.entry.targets._probing import Probing
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._services import Services
from cairnferry.entry.targets._target_words import read_words
from cairnferry.entry.targets._upstreams import OutboundRequest, Upstreams
from cairnferry.entry.targets._word_listener import WordListener

__all__ = [
    "CallerConvention",
    "CheckResult",
    "Endings",
    "LimitFault",
    "Limiter",
    "LostRun",
    "OutboundRequest",
    "OwnCallers",
    "OwnTargets",
    "PermitAsking",
    "PermitGiving",
    "Probing",
    "ServiceRuntime",
    "Services",
    "StatusChecks",
    "TargetConvention",
    "Upstreams",
    "WordListener",
    "limit_board",
    "lost",
    "not_run",
    "read_limit",
    "read_words",
]
