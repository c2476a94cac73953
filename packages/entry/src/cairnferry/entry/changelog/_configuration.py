"""Records in force at this daemon, whose revision never decreases."""

import logging
from collections import deque
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from cairnferry.coordination import LogRow
from cairnferry.records import Change, RecordError, RecordSet

# Number of the latest rows that are kept for peers.
MAX_KEPT_ROWS = 256

log = logging.getLogger(__name__)


@attrs.frozen
class Gap:
    """Rows are missing between the revision in force and the offered one.

    Attributes
    ----------
    held : int
        Revision in force.
    offered : int
        Revision of the offered row.
    """

    held: int
    offered: int


@attrs.frozen
class CannotApply:
    """The log contains a revision that this release cannot apply.

    Attributes
    ----------
    revision : int
        Number of the revision.
    fault : RecordError
        Reason why it cannot be applied.
    """

    revision: int
    fault: RecordError


ApplyError = Gap | CannotApply


@attrs.define
class Configuration:
    """The record set in force and the latest rows that led to it.

    Parameters
    ----------
    on_change : callable
        Called with each new record set.

    Attributes
    ----------
    records : RecordSet
        Records in force.
    behind : CannotApply or None
        Set if a revision could not be applied; the records in force stay.
    """

    on_change: Callable[[RecordSet], None]
    records: RecordSet = attrs.field(factory=RecordSet)
    behind: CannotApply | None = None
    _rows: deque = attrs.field(factory=lambda: deque(maxlen=MAX_KEPT_ROWS))

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.records.revision

    def apply(self, row: LogRow) -> Result[bool, ApplyError]:
        """Put the next revision in force.

        Parameters
        ----------
        row : LogRow
            Any row. A row that is not newer is skipped, because a late answer or a
            lagging peer must not restore an older configuration.

        Returns
        -------
        Result
            Whether the row was applied.
        """
        if row.revision <= self.revision:
            return Ok(False)
        if row.revision > self.revision + 1:
            return Error(Gap(self.revision, row.revision))
        applied = self._parse_and_apply(row)
        if applied.is_error():
            return self._reject_revision(row.revision, applied.error)
        self._rows.append(row)
        self._install(applied.ok)
        return Ok(True)

    def _parse_and_apply(self, row):
        changes = []
        for document in row.changes:
            parsed = Change.from_json(document)
            if parsed.is_error():
                return parsed
            changes.append(parsed.ok)
        return self.records.apply(row.revision, tuple(changes))

    def _reject_revision(self, revision, fault):
        # A newer release accepted a revision that this release does not support.
        # Skipping it or rolling back would put records in force that no operator
        # submitted.
        if self.behind is None:
            log.error(
                "cannot apply a revision",
                extra={"revision": revision, "why": str(fault)},
            )
        self.behind = CannotApply(revision, fault)
        return Error(self.behind)

    def install_snapshot(self, data: bytes) -> Result[bool, RecordError]:
        """Put a snapshot in force, if it is newer than the records in force.

        Parameters
        ----------
        data : bytes
            Encoded record set.

        Returns
        -------
        Result
            Whether the snapshot was put in force.
        """
        decoded = RecordSet.from_snapshot(data)
        if decoded.is_error():
            return decoded
        if decoded.ok.revision <= self.revision:
            return Ok(False)
        self._rows.clear()
        self._install(decoded.ok)
        return Ok(True)

    def _install(self, records):
        self.records = records
        self.behind = None
        self.on_change(records)
        log.info("in force", extra={"revision": records.revision})

    def rows_from(self, first: int) -> list[LogRow]:
        """Return the kept rows from a revision on; empty if it is no longer kept."""
        if not self._rows or self._rows[0].revision > first:
            return []
        return [row for row in self._rows if row.revision >= first]
