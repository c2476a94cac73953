"""Listed instances, from the registry's table, which each daemon follows."""

from collections.abc import Callable

import attrs
from expression import Result

from cairnferry.coordination import Row
from cairnferry.entry._ports import DecodeFault, EntryRow
from cairnferry.entry.members import Enrolment
from cairnferry.entry.telemetry import FaultyRowLog

# Name of the table of instances in messages between daemons.
INSTANCES = "instances"
# Pause in seconds between two calls for instances. They change rarely or many at once,
# and heartbeats report which of them are alive.
INSTANCES_COALESCE_S = 1.0


@attrs.define
class FollowedInstances:
    """Passes the instances listed in the registry to the enrolment.

    Parameters
    ----------
    decode : callable
        Decodes a row, given its name and bytes; returns None for other kinds of rows.
    enrolment : Enrolment
        Receives the listed instances.
    faulty_rows : FaultyRowLog
        Records rows that cannot be read.
    """

    decode: Callable[[str, bytes], Result[EntryRow | None, DecodeFault]]
    enrolment: Enrolment
    faulty_rows: FaultyRowLog
    _rows: dict[str, Row] = attrs.field(factory=dict)
    _entries: dict[str, EntryRow] = attrs.field(factory=dict)

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Apply all rows, by key; only changed rows are decoded."""
        entries = {}
        for key, row in rows.items():
            is_unchanged = self._rows.get(key) is row
            entry = self._entries.get(key) if is_unchanged else self._read(key, row)
            if entry is not None:
                entries[key] = entry
        self._rows = rows
        self._entries = entries
        self.enrolment.apply_all_entries(entries.values())

    def _read(self, key, row):
        decoded = self.decode(key, row.value)
        if decoded.is_error():
            self.faulty_rows.note(INSTANCES, key, str(decoded.error))
            return None
        return decoded.ok
