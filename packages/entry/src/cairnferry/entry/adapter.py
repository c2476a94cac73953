"""What an adapter to a platform builds the daemon from.

It stands beside the package's own `__init__` since it imports modules that use
sockets: a program patches these first.
"""

from cairnferry.coordination import MAX_ERA, Batch, Row, era_of, stamp, version_of
from cairnferry.entry._ports import (
    CallerLimits,
    ChangeFeed,
    DecodeFault,
    Enrolled,
    EntryRow,
    FeedFault,
    FeedUnavailable,
    HistoryLost,
    KeyExists,
    RecordDecoders,
    Registry,
    Rules,
)
from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.core import (
    Conventions,
    Core,
    CoreSettings,
    LeavingTimes,
    PeerSettings,
    SettingsWatch,
    ephemeral_instance_settings,
)
from cairnferry.entry.following import (
    HANDOVER_PATH,
    INSTANCES,
    INSTANCES_COALESCE_S,
    FollowedInstances,
    FollowedRecords,
    HandoverClient,
)
from cairnferry.entry.http import (
    HANDLER_KEY,
    FieldNames,
    Limits,
    Page,
    PagesApp,
    RequestHead,
    read_request_head,
)
from cairnferry.entry.members import JOIN_PATH, Enrolment, Joiner, Steering
from cairnferry.entry.targets import (
    CallerConvention,
    CheckResult,
    LimitFault,
    TargetConvention,
    lost_result,
    not_run_result,
    read_advisory,
    read_limit,
)
from cairnferry.entry.telemetry import configure_logs

__all__ = [
    "HANDLER_KEY",
    "HANDOVER_PATH",
    "INSTANCES",
    "INSTANCES_COALESCE_S",
    "JOIN_PATH",
    "MAX_ERA",
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
    "FollowedInstances",
    "FollowedRecords",
    "HistoryLost",
    "Joiner",
    "KeyExists",
    "LeavingTimes",
    "LimitFault",
    "Limits",
    "HandoverClient",
    "Page",
    "PagesApp",
    "PeerSettings",
    "RecordDecoders",
    "Registry",
    "RequestHead",
    "Row",
    "Rules",
    "SettingsWatch",
    "Steering",
    "TargetConvention",
    "configure_logs",
    "ephemeral_instance_settings",
    "era_of",
    "lost_result",
    "not_run_result",
    "read_limit",
    "read_request_head",
    "read_advisory",
    "stamp",
    "version_of",
]
