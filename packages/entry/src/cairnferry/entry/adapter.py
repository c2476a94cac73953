"""What an adapter to a platform builds the daemon from.

It stands beside the package's own `__init__` since it imports modules that use
sockets: a program patches these first.
"""

from cairnferry.entry._callers import BodyLimits
from cairnferry.entry._conventions import (
    CallerConvention,
    CheckResult,
    TargetConvention,
)
from cairnferry.entry._core import Core
from cairnferry.entry._core_settings import (
    Conventions,
    CoreSettings,
    LeavingTimes,
    PeerSettings,
)
from cairnferry.entry._disposable import disposable_instance
from cairnferry.entry._enrolment import Enrolment
from cairnferry.entry._followed import FollowedRecords
from cairnferry.entry._handover import HANDOVER_PATH, Newcomer
from cairnferry.entry._headers import FieldNames, RequestHead, read_request_head
from cairnferry.entry._http_server import HANDLER_KEY, Limits
from cairnferry.entry._logs import configure as configure_logs
from cairnferry.entry._ports import (
    Batch,
    CallerLimits,
    ChangeFeed,
    DecodeFault,
    Enrolled,
    EntryRow,
    FeedFault,
    FeedUnavailable,
    HistoryLost,
    Item,
    KeyExists,
    RecordDecoders,
    Registry,
    Rules,
)
from cairnferry.entry._settings_watch import SettingsWatch
from cairnferry.entry._small_apps import Page, PagesApp
from cairnferry.entry._steering import Steering

__all__ = [
    "HANDLER_KEY",
    "HANDOVER_PATH",
    "Batch",
    "BodyLimits",
    "CallerConvention",
    "CallerLimits",
    "ChangeFeed",
    "CheckResult",
    "Conventions",
    "Core",
    "CoreSettings",
    "DecodeFault",
    "Enrolled",
    "Enrolment",
    "EntryRow",
    "FeedFault",
    "FeedUnavailable",
    "FieldNames",
    "FollowedRecords",
    "HistoryLost",
    "Item",
    "KeyExists",
    "Newcomer",
    "LeavingTimes",
    "Limits",
    "Page",
    "PagesApp",
    "PeerSettings",
    "RecordDecoders",
    "Registry",
    "RequestHead",
    "Rules",
    "SettingsWatch",
    "Steering",
    "TargetConvention",
    "configure_logs",
    "disposable_instance",
    "read_request_head",
]
