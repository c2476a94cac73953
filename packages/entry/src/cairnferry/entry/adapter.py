"""Public names from which an adapter to a platform builds the daemon.

They are not exported by the package's `__init__`, because this module imports modules
that use sockets, and a program must apply gevent's patches before that.
"""

from cairnferry.coordination import MAX_ERA, Batch, Row, era_of, stamp, version_of
from cairnferry.entry._ports import (
    CallerLimits,
    ChangeFeed,
    DecodeFault,
    EntryRow,
    FeedFault,
    FeedUnavailable,
    HistoryLost,
    KeyExists,
    RecordDecoders,
    Registry,
    RegistryContents,
    Rules,
)
from cairnferry.entry._steps import Steps
from cairnferry.entry.callers import BodyLimits, StartupHold
from cairnferry.entry.core import (
    Conventions,
    Core,
    CoreSettings,
    PeerSettings,
    SettingsWatch,
    answer_ttl_s,
    ephemeral_instance_settings,
    leaving_times,
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
    ListenerLimits,
    Page,
    PagesApp,
    RequestHead,
    end_to_end_headers,
    read_request_head,
    without_identity,
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
    "Enrolment",
    "EntryRow",
    "FeedFault",
    "FeedUnavailable",
    "FieldNames",
    "FollowedInstances",
    "FollowedRecords",
    "HandoverClient",
    "HistoryLost",
    "Joiner",
    "KeyExists",
    "LimitFault",
    "ListenerLimits",
    "Page",
    "PagesApp",
    "PeerSettings",
    "RecordDecoders",
    "Registry",
    "RegistryContents",
    "RequestHead",
    "Row",
    "Rules",
    "SettingsWatch",
    "StartupHold",
    "Steering",
    "Steps",
    "TargetConvention",
    "answer_ttl_s",
    "configure_logs",
    "end_to_end_headers",
    "ephemeral_instance_settings",
    "leaving_times",
    "era_of",
    "lost_result",
    "not_run_result",
    "read_advisory",
    "read_limit",
    "read_request_head",
    "stamp",
    "version_of",
    "without_identity",
]
