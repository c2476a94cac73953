"""Kinds of records, their schema versions, validation and internal form."""

from cairnferry.records._changes import Change, Edit, EditKind, Put, Withdraw
from cairnferry.records._errors import (
    DuplicateKeyDigest,
    MalformedChange,
    MalformedRecord,
    RecordError,
    RecordExists,
    RevisionConflict,
    UnknownReference,
    UnknownSchemaVersion,
)
from cairnferry.records._model import (
    Backend,
    Kind,
    Lifecycle,
    Priority,
    Record,
    RecordKey,
    RefusalContract,
    Route,
    Service,
    Target,
    Workspace,
    Zone,
    digest_key,
)
from cairnferry.records._parse import parse_record
from cairnferry.records._recordset import Draft, Entry, RecordSet

__all__ = [
    "Backend",
    "Change",
    "Draft",
    "DuplicateKeyDigest",
    "Edit",
    "EditKind",
    "Entry",
    "Kind",
    "Lifecycle",
    "MalformedChange",
    "MalformedRecord",
    "Priority",
    "Put",
    "Record",
    "RecordError",
    "RecordExists",
    "RecordKey",
    "RecordSet",
    "RefusalContract",
    "RevisionConflict",
    "Route",
    "Service",
    "Target",
    "UnknownReference",
    "UnknownSchemaVersion",
    "Withdraw",
    "Workspace",
    "Zone",
    "digest_key",
    "parse_record",
]
