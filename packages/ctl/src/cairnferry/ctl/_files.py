"""Record files: one record, a list of records, or a folder of such files."""

import pathlib

import attrs
from expression import Error, Ok, Result

from cairnferry.decoding import decode, load_json
from cairnferry.records import MalformedRecord, parse_record


@attrs.frozen
class FileFault:
    """Error in a record file.

    Attributes
    ----------
    path : str
        Path of the file.
    reason : str
        Why the file cannot be used.
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


@attrs.frozen
class RecordFile:
    """Record read from a file.

    Attributes
    ----------
    path : str
        Path of the file.
    document : dict
        The record.
    kind, name : str
        Key of the record.
    revision : int or None
        Revision that the file is based on, as in the output of `show --json`; None if
        the file contains none.
    """

    path: str
    document: dict
    kind: str
    name: str
    revision: int | None


def read_records(paths: list[str]) -> Result[list[RecordFile], list[FileFault]]:
    """Read and check all record files; return the records, or all errors."""
    records = []
    faults = []
    for path in _expand(paths):
        _read_file(path, records, faults)
    if not records and not faults:
        faults.append(FileFault(", ".join(paths) or "-", "no record files"))
    return Error(faults) if faults else Ok(records)


def _expand(paths):
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            yield from sorted(path.rglob("*.json"))
        else:
            yield path


def _read_file(path, records, faults):
    try:
        data = path.read_bytes()
    except OSError as exc:
        faults.append(FileFault(str(path), f"cannot be read: {exc.strerror}"))
        return
    decoded = decode(lambda: load_json(data))
    if decoded.is_error():
        faults.append(FileFault(str(path), f"is not JSON: {decoded.error}"))
        return
    document = decoded.ok
    entries = document if isinstance(document, list) else [document]
    for entry in entries:
        _read_entry(str(path), entry, records, faults)


def _read_entry(path, entry, records, faults):
    revision = None
    if isinstance(entry, dict) and isinstance(entry.get("record"), dict):
        revision = entry.get("revision")
        entry = entry["record"]
    parsed = parse_record(entry)
    if parsed.is_error():
        faults.append(FileFault(path, _describe_error(parsed.error)))
        return
    key = parsed.ok.key
    records.append(RecordFile(path, entry, str(key.kind), key.name, revision))


def _describe_error(error):
    if isinstance(error, MalformedRecord):
        return f"{error.record}: field {error.field}: {error.expected}"
    return str(error)
