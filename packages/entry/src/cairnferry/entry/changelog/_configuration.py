"""Records in force at this daemon: revisions go forwards only."""

import logging
from collections import deque
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from cairnferry.coordination import LogRow
from cairnferry.records import Change, RecordError, RecordSet

KEPT_ROWS = 256

log = logging.getLogger(__name__)


@attrs.frozen
class Gap:
    """Rows between the revision held and the one offered are missing."""

    held: int
    offered: int


@attrs.frozen
class CannotApply:
    """A revision was accepted that this release cannot apply.

    Attributes
    ----------
    revision : int
        The revision.
    fault : RecordError
        What it stumbled over.
    """

    revision: int
    fault: RecordError


ApplyError = Gap | CannotApply


@attrs.define
class Configuration:
    """The record set in force and the last rows that led to it.

    Parameters
    ----------
    on_change : callable
        Called with each new record set.

    Attributes
    ----------
    records : RecordSet
        In force.
    behind : CannotApply or None
        Set once a revision could not be applied; what is in force stays.
    """

    on_change: Callable[[RecordSet], None]
    records: RecordSet = attrs.field(factory=RecordSet)
    behind: CannotApply | None = None
    _rows: deque = attrs.field(factory=lambda: deque(maxlen=KEPT_ROWS))

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.records.revision

    def apply(self, row: LogRow) -> Result[bool, ApplyError]:
        """Put the next revision in force.

        Parameters
        ----------
        row : LogRow
            Any row. One that is not newer is passed over: a late answer, or a
            peer that lags, must not bring back an older configuration.

        Returns
        -------
        Result
            Whether the row was applied.
        """
        if row.revision <= self.revision:
            return Ok(False)
        if row.revision > self.revision + 1:
            return Error(Gap(self.revision, row.revision))
        applied = self._try(row)
        if applied.is_error():
            return self._fall_behind(row.revision, applied.error)
        self._rows.append(row)
        self._install(applied.ok)
        return Ok(True)

    def _try(self, row):
        changes = []
        for document in row.changes:
            parsed = Change.from_json(document)
            if parsed.is_error():
                return parsed
            changes.append(parsed.ok)
        return self.records.apply(row.revision, tuple(changes))

    def _fall_behind(self, revision, fault):
        # A newer release accepted what this one does not know. Skipping it, or
        # going back, would put something in force that nobody submitted.
        if self.behind is None:
            log.error(
                "cannot apply a revision",
                extra={"revision": revision, "why": str(fault)},
            )
        self.behind = CannotApply(revision, fault)
        return Error(self.behind)

    def install_snapshot(self, data: bytes) -> Result[bool, RecordError]:
        """Put a snapshot in force, if it is newer than what is held."""
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
        """Give the kept rows from a revision on; none if it is no longer kept."""
        if not self._rows or self._rows[0].revision > first:
            return []
        return [row for row in self._rows if row.revision >= first]
