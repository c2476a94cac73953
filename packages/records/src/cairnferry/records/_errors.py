"""Errors of records and of changes."""

import attrs

from cairnferry.records._model import RecordKey


@attrs.frozen
class MalformedRecord:
    """A record does not conform to its schema.

    Attributes
    ----------
    record : str
        Kind and name of the record, as far as they could be read.
    field : str
        Path of the invalid field.
    expected : str
        Requirement of the schema on the field.
    """

    record: str
    field: str
    expected: str

    def __str__(self):
        return f"{self.record}: field {self.field}: {self.expected}"


@attrs.frozen
class UnknownSchemaVersion:
    """A record has a schema version that this release does not support."""

    record: str
    version: str
    field: str = "schema"

    def __str__(self):
        return f"{self.record}: schema version {self.version} is not known (1 or 2)"


@attrs.frozen
class MalformedChange:
    """The envelope of a change is invalid, regardless of its records."""

    field: str
    expected: str

    def __str__(self):
        return f"change: field {self.field}: {self.expected}"


@attrs.frozen
class RecordExists:
    """A new record has a name that is already in use."""

    key: RecordKey
    revision: int
    field: str = "name"

    def __str__(self):
        return (
            f"{self.key} exists at revision {self.revision}: replace it, "
            "or choose another name"
        )


@attrs.frozen
class RevisionConflict:
    """A record has changed since the operator read it.

    Attributes
    ----------
    key : RecordKey
        The record.
    expected : int
        Revision that the operator had read.
    actual : int
        Current revision; 0 if the record does not exist.
    field : str
        Name of the field that conflicts.
    """

    key: RecordKey
    expected: int
    actual: int
    field: str = "expected_revision"

    def __str__(self):
        if not self.actual:
            return f"{self.key} does not exist (expected revision {self.expected})"
        return (
            f"{self.key} is at revision {self.actual}, not {self.expected}: "
            "read it again and decide anew"
        )


@attrs.frozen
class UnknownReference:
    """A record refers to a service that would not exist after the change."""

    key: RecordKey
    service: str
    field: str = "service"

    def __str__(self):
        return f"{self.key} names service {self.service!r}, which would not exist then"


@attrs.frozen
class DuplicateKeyDigest:
    """A workspace has a key that another workspace holds.

    Attributes
    ----------
    key, other : RecordKey
        The submitted workspace, and the one that holds the key.
    field : str
        Name of the field with the digest.
    """

    key: RecordKey
    other: RecordKey
    field: str = "key_digests"

    def __str__(self):
        return f"{self.key} has a key that {self.other} holds"


RecordError = (
    MalformedRecord
    | UnknownSchemaVersion
    | MalformedChange
    | RecordExists
    | RevisionConflict
    | UnknownReference
    | DuplicateKeyDigest
)
