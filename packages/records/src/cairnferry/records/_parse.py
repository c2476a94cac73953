"""Parsing of record documents in any supported schema version."""

import ipaddress

import fastjsonschema
from expression import Error, Ok, Result

from cairnferry.records import _version1, _version2
from cairnferry.records._errors import MalformedRecord, UnknownSchemaVersion
from cairnferry.records._model import Kind, Record, Target
from cairnferry.records._schemas import validator

_CONVERTERS = {
    1: _version1.CONVERTERS,
    2: _version2.CONVERTERS,
}
MAX_PORT = 65535


def parse_record(
    document: object,
) -> Result[Record, MalformedRecord | UnknownSchemaVersion]:
    """Validate a document and convert it to the internal form.

    Parameters
    ----------
    document : object
        Output of a JSON decoder, of any type.

    Returns
    -------
    Result
        The record, or the first error found.
    """
    if not isinstance(document, dict):
        return Error(MalformedRecord("record", "(document)", "must be an object"))
    label = _label(document)
    version = document.get("schema")
    if isinstance(version, bool) or not isinstance(version, int):
        return Error(MalformedRecord(label, "schema", "must be a whole number"))
    if version not in _CONVERTERS:
        return Error(UnknownSchemaVersion(label, str(version)))
    kind = document.get("kind")
    if kind not in tuple(Kind):
        expected = "must be one of " + ", ".join(Kind)
        return Error(MalformedRecord(label, "kind", expected))
    return _parse_known(label, version, Kind(kind), document)


def _parse_known(label, version, kind, document):
    try:
        validator(version, kind)(document)
    except fastjsonschema.JsonSchemaValueException as exc:
        return Error(_malformed(label, exc))
    record = _CONVERTERS[version][kind](document)
    if isinstance(record, Target):
        return _check_address(label, record)
    return Ok(record)


def _malformed(label, exc):
    """Convert an error of the validator, whose path starts with a placeholder."""
    path = [str(part) for part in exc.path[1:]]
    match exc.rule:
        case "required":
            missing = [f for f in exc.definition["required"] if f not in exc.value]
            path.append(missing[0])
            expected = "is missing"
        case "additionalProperties":
            unknown = [f for f in exc.value if f not in exc.definition["properties"]]
            path.append(unknown[0])
            expected = "is not known"
        case "pattern":
            expected = exc.definition["description"]
        case _:
            expected = exc.message.split(" ", 1)[-1]
    return MalformedRecord(label, ".".join(path) or "(document)", expected)


def _check_address(label, target):
    # The pattern accepts 999.1.1.1. Such a target would fail at each request instead of
    # once at its submission.
    try:
        ipaddress.IPv4Address(target.host)
    except ipaddress.AddressValueError:
        return Error(MalformedRecord(label, "address", "must be an IPv4 address"))
    if not 0 < target.port <= MAX_PORT:
        return Error(MalformedRecord(label, "address", "port must be 1 to 65535"))
    return Ok(target)


def _label(document):
    """Return kind and name as far as they can be read, for error messages."""
    metadata = document.get("metadata")
    name = document.get("name")
    if isinstance(metadata, dict):
        name = metadata.get("name", name)
    return f"{document.get('kind', 'record')}/{name if name else '?'}"
