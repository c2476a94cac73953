"""The records in force at one revision."""

import json
import zlib

import attrs
from expression import Error, Ok, Result

from cairnferry.records._changes import Change, Put, Withdraw
from cairnferry.records._errors import (
    MalformedChange,
    RecordError,
    RecordExists,
    RevisionConflict,
    UnknownReference,
)
from cairnferry.records._model import Kind, Record, RecordKey
from cairnferry.records._parse import parse_record

# Kinds whose records name no service.
_STAND_ALONE = (Kind.SERVICE, Kind.ZONE)


@attrs.frozen
class Entry:
    """One record in force.

    Attributes
    ----------
    revision : int
        Revision that wrote it.
    document : dict
        As submitted.
    record : Record
        Internal form.
    """

    revision: int
    document: dict
    record: Record


@attrs.frozen
class RecordSet:
    """Immutable set of the records in force.

    Attributes
    ----------
    revision : int
        Revision of the last change applied; 0 before the first.
    entries : dict of RecordKey to Entry
        Never changed in place.
    """

    revision: int = 0
    entries: dict[RecordKey, Entry] = attrs.field(factory=dict)

    def apply(
        self, revision: int, changes: tuple[Change, ...]
    ) -> Result["RecordSet", RecordError]:
        """Apply all changes of one revision, or none.

        Parameters
        ----------
        revision : int
            Must be the successor of this set's revision.
        changes : tuple of Change
            Applied in order; a later one sees what an earlier one wrote.

        Returns
        -------
        Result
            The new set, or the first fault.
        """
        if revision != self.revision + 1:
            expected = f"must be {self.revision + 1}, the next one"
            return Error(MalformedChange("revision", expected))
        draft = self.draft()
        for change in changes:
            added = draft.add(change)
            if added.is_error():
                return added
        return Ok(RecordSet(revision, draft.entries))

    def draft(self) -> "Draft":
        """Start the next revision, to try changes on."""
        return Draft(self.revision + 1, self.entries)

    def to_snapshot(self) -> bytes:
        """Encode the whole set: JSON, compressed by zlib."""
        entries = [[e.revision, e.document] for e in self.entries.values()]
        document = {"revision": self.revision, "entries": entries}
        return zlib.compress(json.dumps(document, separators=(",", ":")).encode())

    @classmethod
    def from_snapshot(cls, data: bytes) -> Result["RecordSet", RecordError]:
        """Decode what `to_snapshot` gave."""
        try:
            document = json.loads(zlib.decompress(data))
            revision = document["revision"]
            pairs = [(int(number), entry) for number, entry in document["entries"]]
        except (zlib.error, ValueError, KeyError, TypeError):
            return Error(MalformedChange("snapshot", "cannot be decoded"))
        entries = {}
        for number, entry in pairs:
            parsed = parse_record(entry)
            if parsed.is_error():
                return parsed
            entries[parsed.ok.key] = Entry(number, entry, parsed.ok)
        return Ok(cls(revision, entries))

    def of_kind(self, kind: Kind) -> list[Record]:
        """List the records of one kind in the order of their names."""
        found = [
            entry.record for key, entry in self.entries.items() if key.kind == kind
        ]
        return sorted(found, key=lambda record: record.name)


@attrs.define
class Draft:
    """A revision that is being put together.

    Attributes
    ----------
    revision : int
        Its number.
    entries : dict of RecordKey to Entry
        What it holds so far; never changed in place.
    """

    revision: int
    entries: dict[RecordKey, Entry]

    def add(self, change: Change) -> Result[None, RecordError]:
        """Add a change, whole or, if it does not hold, not at all."""
        entries = dict(self.entries)
        fault = _apply_change(entries, self.revision, change)
        if fault is not None:
            return Error(fault)
        self.entries = entries
        return Ok(None)


def _apply_change(entries, revision, change):
    """Write a change into `entries`; give back the first fault or None."""
    touched = set()
    for edit in change.edits:
        fault = _apply_edit(entries, revision, edit, touched)
        if fault is not None:
            return fault
    return _check_references(entries, touched)


def _apply_edit(entries, revision, edit, touched):
    match edit:
        case Put(document, expected):
            parsed = parse_record(document)
            if parsed.is_error():
                return parsed.error
            key = parsed.ok.key
            written = Entry(revision, document, parsed.ok)
        case Withdraw(key, expected):
            written = None
    if key in touched:
        return MalformedChange("edits", f"{key} is edited twice")
    touched.add(key)
    fault = _check_revision(entries, key, expected)
    if fault is not None:
        return fault
    if written is None:
        del entries[key]
    else:
        entries[key] = written
    return None


def _check_revision(entries, key, expected):
    entry = entries.get(key)
    actual = entry.revision if entry else 0
    if actual == expected:
        return None
    if expected == 0:
        return RecordExists(key, actual)
    return RevisionConflict(key, expected, actual)


def _check_references(entries, touched):
    """Find a record that names a service which does not exist."""
    withdrawn = {
        key.name for key in touched if key.kind is Kind.SERVICE and key not in entries
    }
    suspects = entries if withdrawn else touched
    for key in suspects:
        entry = entries.get(key)
        if entry is None or key.kind in _STAND_ALONE:
            continue
        service = entry.record.service
        if RecordKey(Kind.SERVICE, service) not in entries:
            return UnknownReference(key, service)
    return None
