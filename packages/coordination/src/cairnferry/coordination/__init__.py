"""Coordination of daemons without a consensus protocol of their own.

State that must be agreed on or must persist is stored in a table with conditional
transactions. All other work is assigned by rendezvous rank, and two members that do
the same work at the same time do no harm. The clock and the random source are
parameters, and no module here opens a socket, so that other programs can embed each
part.
"""

from cairnferry.coordination._budgets import TokenBucket
from cairnferry.coordination._changelog import (
    Appended,
    AppendError,
    ChangeIdReused,
    ChangeLog,
    ChangeStatus,
    HeadMoved,
    LogRow,
    LogTooLarge,
    OutcomeUnknown,
)
from cairnferry.coordination._confirmation import HeadConfirmation
from cairnferry.coordination._continuity import RETURN_GRACE_S, CallContinuity
from cairnferry.coordination._documents import (
    NO_DOCUMENT_NEWS,
    DocumentFault,
    DocumentHistory,
    DocumentNews,
    apply_delta,
    encode_delta,
)
from cairnferry.coordination._eras import (
    MAX_ERA,
    MAX_VERSION,
    era_of,
    stamp,
    version_of,
)
from cairnferry.coordination._groupcommit import GroupCommit, PendingChange
from cairnferry.coordination._membership import (
    RANK_KEY,
    REPRESENTATIVES,
    Member,
    Membership,
    MembershipTimes,
    MemberState,
)
from cairnferry.coordination._notes import Note, NoteRegistry
from cairnferry.coordination._rendezvous import lowest_ranked, rank
from cairnferry.coordination._retention import Hold, RowRetention, VersionSpan
from cairnferry.coordination._table import (
    ConditionFailed,
    Item,
    Table,
    TableError,
    TableUnavailable,
    Write,
    WriteUnknown,
)
from cairnferry.coordination._table_replica import Batch, Row, TableReplica, TableUpdate

__all__ = [
    "AppendError",
    "Appended",
    "Batch",
    "CallContinuity",
    "ChangeIdReused",
    "ChangeLog",
    "ChangeStatus",
    "ConditionFailed",
    "DocumentFault",
    "DocumentHistory",
    "DocumentNews",
    "GroupCommit",
    "HeadConfirmation",
    "HeadMoved",
    "Hold",
    "Item",
    "LogRow",
    "LogTooLarge",
    "MAX_ERA",
    "MAX_VERSION",
    "Member",
    "MemberState",
    "Membership",
    "MembershipTimes",
    "NO_DOCUMENT_NEWS",
    "TableUpdate",
    "Note",
    "NoteRegistry",
    "OutcomeUnknown",
    "PendingChange",
    "RETURN_GRACE_S",
    "Row",
    "RowRetention",
    "Table",
    "TableReplica",
    "TableError",
    "TableUnavailable",
    "TokenBucket",
    "VersionSpan",
    "Write",
    "WriteUnknown",
    "encode_delta",
    "era_of",
    "RANK_KEY",
    "REPRESENTATIVES",
    "lowest_ranked",
    "apply_delta",
    "rank",
    "stamp",
    "version_of",
]
