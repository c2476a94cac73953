"""Set of all records at one revision."""

import json
import zlib

import attrs
from expression import Error, Ok, Result

from cairnferry.decoding import decode, decompress, load_json
from cairnferry.records._changes import Change, Put, Withdraw
from cairnferry.records._errors import (
    DuplicateKeyDigest,
    MalformedChange,
    RecordError,
    RecordExists,
    RevisionConflict,
    UnknownReference,
)
from cairnferry.records._model import Kind, Record, RecordKey
from cairnferry.records._parse import parse_record

# Kinds whose records do not refer to a service.
_KINDS_WITHOUT_SERVICE = (Kind.SERVICE, Kind.ZONE, Kind.WORKSPACE)


@attrs.frozen
class Entry:
    """One record of a set.

    Attributes
    ----------
    revision : int
        Revision that wrote the record.
    document : dict
        Record as submitted.
    record : Record
        Internal form of the record.
    """

    revision: int
    document: dict
    record: Record


@attrs.frozen
class RecordSet:
    """Immutable set of the records at one revision.

    Attributes
    ----------
    revision : int
        Revision of the last change applied; 0 before the first.
    entries : dict of RecordKey to Entry
        Records by key; never changed in place.
    """

    revision: int = 0
    entries: dict[RecordKey, Entry] = attrs.field(factory=dict)

    def apply(
        self, revision: int, changes: tuple[Change, ...]
    ) -> Result["RecordSet", RecordError]:
        """Apply all changes of one revision or none.

        Parameters
        ----------
        revision : int
            Revision of the changes; must directly follow that of this set.
        changes : tuple of Change
            Changes in order; each one sees the results of the previous ones.

        Returns
        -------
        Result
            The new set, or the first error.
        """
        if revision != self.revision + 1:
            expected = f"must be the next revision, {self.revision + 1}"
            return Error(MalformedChange("revision", expected))
        draft = self.draft()
        for change in changes:
            added = draft.add(change)
            if added.is_error():
                return added
        return Ok(RecordSet(revision, draft.entries))

    def draft(self) -> "Draft":
        """Return a draft of the next revision, on which changes can be tried."""
        return Draft(self.revision + 1, self.entries)

    def to_snapshot(self) -> bytes:
        """Return the set as JSON, compressed by zlib."""
        entries = [[e.revision, e.document] for e in self.entries.values()]
        document = {"revision": self.revision, "entries": entries}
        return zlib.compress(json.dumps(document, separators=(",", ":")).encode())

    @classmethod
    def from_snapshot(cls, data: bytes) -> Result["RecordSet", RecordError]:
        """Return the set that `to_snapshot` encoded."""
        decoded = decode(lambda: _read_snapshot(load_json(decompress(data))))
        if decoded.is_error():
            return Error(MalformedChange("snapshot", "cannot be decoded"))
        revision, pairs = decoded.ok
        entries = {}
        for number, entry in pairs:
            parsed = parse_record(entry)
            if parsed.is_error():
                return parsed
            entries[parsed.ok.key] = Entry(number, entry, parsed.ok)
        return Ok(cls(revision, entries))

    def of_kind(self, kind: Kind) -> list[Record]:
        """List the records of one kind, sorted by name."""
        found = [
            entry.record for key, entry in self.entries.items() if key.kind == kind
        ]
        return sorted(found, key=lambda record: record.name)


def _read_snapshot(document):
    pairs = [(int(number), entry) for number, entry in document["entries"]]
    return document["revision"], pairs


@attrs.define
class Draft:
    """Revision under construction.

    Attributes
    ----------
    revision : int
        Number of the revision.
    entries : dict of RecordKey to Entry
        Records by key after the changes added so far; never changed in place.
    """

    revision: int
    entries: dict[RecordKey, Entry]

    def add(self, change: Change) -> Result[None, RecordError]:
        """Add a change; an invalid change leaves the draft unchanged."""
        entries = dict(self.entries)
        fault = _apply_change(entries, self.revision, change)
        if fault is not None:
            return Error(fault)
        self.entries = entries
        return Ok(None)


def _apply_change(entries, revision, change):
    """Apply a change to `entries` in place; return the first error or None."""
    edited = set()
    for edit in change.edits:
        fault = _apply_edit(entries, revision, edit, edited)
        if fault is not None:
            return fault
    return _check_references(entries, edited) or _check_digests(entries, edited)


def _apply_edit(entries, revision, edit, edited):
    match edit:
        case Put(document, expected):
            parsed = parse_record(document)
            if parsed.is_error():
                return parsed.error
            key = parsed.ok.key
            new_entry = Entry(revision, document, parsed.ok)
        case Withdraw(key, expected):
            new_entry = None
    if key in edited:
        return MalformedChange("edits", f"{key} is edited twice")
    edited.add(key)
    fault = _check_revision(entries, key, expected)
    if fault is not None:
        return fault
    if new_entry is None:
        del entries[key]
    else:
        entries[key] = new_entry
    return None


def _check_revision(entries, key, expected):
    entry = entries.get(key)
    actual = entry.revision if entry else 0
    if actual == expected:
        return None
    if expected == 0:
        return RecordExists(key, actual)
    return RevisionConflict(key, expected, actual)


def _check_references(entries, edited):
    """Return an error for the first record whose service does not exist, or None."""
    withdrawn = {
        key.name for key in edited if key.kind is Kind.SERVICE and key not in entries
    }
    to_check = entries if withdrawn else edited
    for key in to_check:
        entry = entries.get(key)
        if entry is None or key.kind in _KINDS_WITHOUT_SERVICE:
            continue
        service = entry.record.service
        if RecordKey(Kind.SERVICE, service) not in entries:
            return UnknownReference(key, service)
    return None


def _check_digests(entries, edited):
    """Return an error for the first key that two workspaces hold, or None.

    The workspace of a request with this key would depend on the order of records.
    """
    submitted = {key for key in edited if key.kind is Kind.WORKSPACE and key in entries}
    seen = {}
    for key in sorted(submitted):
        for digest in entries[key].record.key_digests:
            other = seen.setdefault(digest, key)
            if other != key:
                return DuplicateKeyDigest(key, other)
    if not seen:
        return None
    for key, entry in entries.items():
        if key.kind is not Kind.WORKSPACE or key in submitted:
            continue
        if not entry.record.key_digests.isdisjoint(seen):
            shared = next(d for d in entry.record.key_digests if d in seen)
            return DuplicateKeyDigest(seen[shared], key)
    return None
