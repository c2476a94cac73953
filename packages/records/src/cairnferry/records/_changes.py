"""Changes that operators submit, each an atomic list of edits."""

import enum

import attrs
from expression import Error, Ok, Result

from cairnferry.records._errors import MalformedChange
from cairnferry.records._model import Kind, RecordKey
from cairnferry.records._schemas import NAME_REGEX

MAX_CHANGE_ID_LENGTH = 64


class EditKind(enum.StrEnum):
    """Kind of an edit."""

    SUBMIT = "submit"
    REPLACE = "replace"
    WITHDRAW = "withdraw"


@attrs.frozen
class Put:
    """Edit that writes a record.

    Attributes
    ----------
    document : dict
        The record as submitted, in its own schema version.
    expected_revision : int
        Revision that the record must have; 0 for a new one.
    """

    document: dict
    expected_revision: int


@attrs.frozen
class Withdraw:
    """Edit that removes the record `key`, which must be at `expected_revision`."""

    key: RecordKey
    expected_revision: int


Edit = Put | Withdraw


@attrs.frozen
class Change:
    """Edits that take effect together or not at all.

    Attributes
    ----------
    change_id : str
        Identifier chosen by the submitter; used to query the outcome.
    edits : tuple of Edit
        Edits in the order submitted.
    """

    change_id: str
    edits: tuple[Edit, ...]

    def to_json(self) -> dict:
        """Return the change in the form that is stored and sent."""
        return {
            "change_id": self.change_id,
            "edits": [_edit_to_json(edit) for edit in self.edits],
        }

    @classmethod
    def from_json(cls, document: object) -> Result["Change", MalformedChange]:
        """Parse the stored form of a change; record documents stay unparsed."""
        if not isinstance(document, dict):
            return Error(MalformedChange("(document)", "must be an object"))
        change_id = document.get("change_id")
        if not isinstance(change_id, str) or not _is_change_id(change_id):
            expected = (
                f"must be 1 to {MAX_CHANGE_ID_LENGTH} letters, digits, '.' or '-'"
            )
            return Error(MalformedChange("change_id", expected))
        edits = document.get("edits")
        if not isinstance(edits, list) or not edits:
            return Error(MalformedChange("edits", "must be a non-empty list of edits"))
        return _parse_edits(change_id, edits)


def _is_change_id(text):
    return len(text) <= MAX_CHANGE_ID_LENGTH and bool(NAME_REGEX.match(text))


def _parse_edits(change_id, documents):
    edits = []
    for index, document in enumerate(documents):
        parsed = _edit_from_json(f"edits.{index}", document)
        if parsed.is_error():
            return parsed
        edits.append(parsed.ok)
    return Ok(Change(change_id, tuple(edits)))


def _edit_to_json(edit):
    match edit:
        case Put(document, 0):
            return {"op": str(EditKind.SUBMIT), "record": document}
        case Put(document, expected):
            return {
                "op": str(EditKind.REPLACE),
                "record": document,
                "expected_revision": expected,
            }
        case Withdraw(key, expected):
            return {
                "op": str(EditKind.WITHDRAW),
                "kind": str(key.kind),
                "name": key.name,
                "expected_revision": expected,
            }


def _edit_from_json(path, document):
    if not isinstance(document, dict):
        return Error(MalformedChange(path, "must be an object"))
    if document.get("op") not in tuple(EditKind):
        expected = "must be one of " + ", ".join(EditKind)
        return Error(MalformedChange(f"{path}.op", expected))
    op = EditKind(document["op"])
    expected_revision = 0
    if op is not EditKind.SUBMIT:
        expected_revision = document.get("expected_revision")
        if not _is_positive(expected_revision):
            field = f"{path}.expected_revision"
            return Error(MalformedChange(field, "must be a whole number from 1"))
    if op is EditKind.WITHDRAW:
        return _withdraw_from_json(path, document, expected_revision)
    return Ok(Put(document.get("record"), expected_revision))


def _withdraw_from_json(path, document, expected_revision):
    if document.get("kind") not in tuple(Kind):
        expected = "must be one of " + ", ".join(Kind)
        return Error(MalformedChange(f"{path}.kind", expected))
    if not isinstance(document.get("name"), str):
        return Error(MalformedChange(f"{path}.name", "must be a string"))
    key = RecordKey(Kind(document["kind"]), document["name"])
    return Ok(Withdraw(key, expected_revision))


def _is_positive(value):
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
