"""Failures of records and of changes to them."""

import attrs

from cairnferry.records._model import RecordKey


@attrs.frozen
class MalformedRecord:
    """A record does not follow its schema.

    Attributes
    ----------
    record : str
        Kind and name as far as they could be read.
    field : str
        Path of the faulty field.
    expected : str
        What the schema asks for there.
    """

    record: str
    field: str
    expected: str

    def __str__(self):
        return f"{self.record}: field {self.field}: {self.expected}"


@attrs.frozen
class UnknownSchemaVersion:
    """A record carries a schema version that this release does not know."""

    record: str
    version: str
    field: str = "schema"

    def __str__(self):
        return f"{self.record}: schema version {self.version} is not known (1 or 2)"


@attrs.frozen
class MalformedChange:
    """The envelope of a change is faulty, whatever its records."""

    field: str
    expected: str

    def __str__(self):
        return f"change: field {self.field}: {self.expected}"


@attrs.frozen
class RecordExists:
    """A new record was submitted under a name that is in use."""

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
    """A record has moved on since the operator read it.

    Attributes
    ----------
    key : RecordKey
        The record.
    expected : int
        Revision that the operator had read.
    actual : int
        Revision in force; 0 means that there is no such record.
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
    """A record names a service that would not exist after the change."""

    key: RecordKey
    service: str
    field: str = "service"

    def __str__(self):
        return f"{self.key} names service {self.service!r}, which would not exist then"


RecordError = (
    MalformedRecord
    | UnknownSchemaVersion
    | MalformedChange
    | RecordExists
    | RevisionConflict
    | UnknownReference
)
