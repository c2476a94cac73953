"""The registry's rows, followed like other tables: who is listed, at every daemon."""

from collections.abc import Callable

import attrs
from expression import Result

from cairnferry.coordination import Row
from cairnferry.entry._ports import DecodeFault, EntryRow
from cairnferry.entry.members import Enrolment
from cairnferry.entry.telemetry import FaultyRows

# What the table of instances is called among daemons.
INSTANCES = "instances"
# Seconds between two calls for instances. They come and go rarely, or many at once, and
# heartbeats tell who lives.
INSTANCES_COALESCE_S = 1.0


@attrs.define
class FollowedInstances:
    """Tells the enrolment which instances the registry lists.

    Parameters
    ----------
    decode : callable
        From the name and the bytes of a row; None for a row that is no instance's.
    enrolment : Enrolment
        Takes in who is listed.
    faulty_rows : FaultyRows
        Takes note of rows that cannot be read.
    """

    decode: Callable[[str, bytes], Result[EntryRow | None, DecodeFault]]
    enrolment: Enrolment
    faulty_rows: FaultyRows
    _rows: dict[str, Row] = attrs.field(factory=dict)
    _entries: dict[str, EntryRow] = attrs.field(factory=dict)

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Take in all rows by key; those that changed are read anew."""
        entries = {}
        for key, row in rows.items():
            known = self._rows.get(key) is row
            entry = self._entries.get(key) if known else self._read(key, row)
            if entry is not None:
                entries[key] = entry
        self._rows = rows
        self._entries = entries
        self.enrolment.take_all(entries.values())

    def _read(self, key, row):
        decoded = self.decode(key, row.value)
        if decoded.is_error():
            self.faulty_rows.note(INSTANCES, key, str(decoded.error))
            return None
        return decoded.ok
