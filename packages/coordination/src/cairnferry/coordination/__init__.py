"""Coordination parts that need no consensus of their own.

Everything that must be agreed or must last goes through a table with
conditional transactions; everything else is done by rank, with duplicates that
do no harm. Clock and random source are passed in, and nothing here opens a
socket, so that others can embed each part.
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
from cairnferry.coordination._documents import (
    NO_DOCUMENT_NEWS,
    DocumentFault,
    DocumentHistory,
    DocumentNews,
    difference,
    patched,
)
from cairnferry.coordination._eras import MAX_ERA, era_of, stamp, version_of
from cairnferry.coordination._groupcommit import GroupCommit, PendingChange
from cairnferry.coordination._membership import (
    Member,
    Membership,
    MembershipTimes,
    MemberState,
)
from cairnferry.coordination._notes import Note, NoteRegistry
from cairnferry.coordination._rendezvous import lowest_ranked, rank
from cairnferry.coordination._table import (
    ConditionFailed,
    Item,
    Table,
    TableError,
    TableUnavailable,
    Write,
    WriteUnknown,
)
from cairnferry.coordination._tablecopy import Batch, Row, TableReplica, TableUpdate

__all__ = [
    "AppendError",
    "Appended",
    "Batch",
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
    "Item",
    "LogRow",
    "LogTooLarge",
    "MAX_ERA",
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
    "Row",
    "Table",
    "TableReplica",
    "TableError",
    "TableUnavailable",
    "TokenBucket",
    "Write",
    "WriteUnknown",
    "difference",
    "era_of",
    "lowest_ranked",
    "patched",
    "rank",
    "stamp",
    "version_of",
]
