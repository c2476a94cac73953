"""The log of changes in a table: accepted once, never back.

A head row holds the last revision. Revision r + 1 is written by one transaction
on the condition that the head is r, together with a row for each change ID. The
head's condition puts all changes into one order, so that the revisions of single
records need no rows of their own: they follow from the log up to r.
"""

import json
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from cairnferry.coordination._table import (
    ConditionFailed,
    Item,
    Table,
    TableUnavailable,
    Write,
)

HEAD_KEY = "head"
LOG_PREFIX = "log"
ID_PREFIX = "id"
# The published limits of the table service are 400 KB a row and 100 rows a
# transaction; the margins leave room for key, version and head row.
MAX_ROW_BYTES = 350 * 1024
MAX_GROUP = 90
MAX_ATTEMPTS = 4
RANGE_PAGE = 100


@attrs.frozen
class LogRow:
    """One revision of the log.

    Attributes
    ----------
    revision : int
        From 1, without gaps.
    changes : tuple of dict
        JSON documents of the changes, each with its `change_id`.
    """

    revision: int
    changes: tuple[dict, ...]

    def to_body(self) -> str:
        """Encode for the table or a peer."""
        return json.dumps(list(self.changes), separators=(",", ":"))

    @classmethod
    def from_body(cls, revision: int, body: str) -> "LogRow":
        """Decode what `to_body` gave."""
        return cls(revision, tuple(json.loads(body)))


@attrs.frozen
class Appended:
    """The changes are accepted at `revision`, and stay so."""

    revision: int


@attrs.frozen
class HeadMoved:
    """Another change was accepted first; nothing was written."""

    def __str__(self):
        return "other changes were accepted first, again and again"


@attrs.frozen
class ChangeIdReused:
    """The log holds another change under this ID; nothing was written."""

    change_id: str

    def __str__(self):
        return f"change ID {self.change_id!r} was used for another change"


@attrs.frozen
class OutcomeUnknown:
    """Whether the changes were accepted could not be learnt in time."""

    reason: str

    def __str__(self):
        return f"it is unknown whether the change was accepted: {self.reason}"


@attrs.frozen
class LogTooLarge:
    """The changes do not fit into one row; nothing was written."""

    size: int
    limit: int = MAX_ROW_BYTES

    def __str__(self):
        return f"the change has {self.size} bytes, of {self.limit}: split it"


AppendError = (
    HeadMoved | ChangeIdReused | OutcomeUnknown | LogTooLarge | TableUnavailable
)


@attrs.frozen
class ChangeStatus:
    """What is known of a change ID.

    Attributes
    ----------
    revision : int or None
        Revision that accepted it; None if no such row stands so far.
    """

    revision: int | None


@attrs.define
class ChangeLog:
    """Reader of and writer to the log.

    Parameters
    ----------
    table : Table
        The platform's table.
    pause : callable
        Takes the number of the attempt from 1; waits before the next one, with
        jitter, and tells whether there is time for it.
    """

    table: Table
    pause: Callable[[int], bool]

    def head(self) -> Result[int, TableUnavailable]:
        """Read the last accepted revision; 0 for an empty log."""
        return self.table.read(HEAD_KEY).map(lambda item: item.version if item else 0)

    def rows(self, first: int, last: int) -> Result[list[LogRow], TableUnavailable]:
        """Read revisions `first` to `last`, a page of them at the most."""
        last = min(last, first + RANGE_PAGE - 1)
        found = self.table.read_range(LOG_PREFIX, first, last)
        return found.map(lambda items: [_row_of(item) for item in items])

    def status(self, change_id: str) -> Result[ChangeStatus, TableUnavailable]:
        """Ask what became of a change ID."""
        found = self.table.read(f"{ID_PREFIX}/{change_id}")
        return found.map(lambda item: ChangeStatus(item.version if item else None))

    def append(
        self, head: int, changes: tuple[dict, ...]
    ) -> Result[Appended, AppendError]:
        """Write the changes as revision `head` + 1.

        Parameters
        ----------
        head : int
            Revision against which the changes were checked.
        changes : tuple of dict
            JSON documents of the changes, each with its `change_id`.

        Notes
        -----
        An answer may be lost after the write took effect. Submitting the same
        content under another ID would then apply it twice. Here the same
        transaction is sent again: while its ID rows are absent it can take
        effect once only, and when they are present it has.
        """
        row = LogRow(head + 1, changes)
        body = row.to_body()
        if len(body) > MAX_ROW_BYTES:
            return Error(LogTooLarge(len(body)))
        writes = _transaction(head, body, changes)
        doubtful = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            written = self.table.transact(writes)
            if written.is_ok():
                return Ok(Appended(head + 1))
            match written.error:
                case ConditionFailed():
                    return self._resolve_condition(head, changes)
                case TableUnavailable() as unavailable:
                    if not doubtful:
                        return Error(unavailable)
                case _:
                    doubtful = True
            if not self.pause(attempt):
                break
        return self._resolve_doubt(changes)

    def _resolve_condition(self, head, changes):
        """Tell an own write that had taken effect from another's."""
        status = self.status(changes[0]["change_id"])
        if status.is_error():
            return Error(OutcomeUnknown(status.error.reason))
        if status.ok.revision == head + 1:
            return Ok(Appended(head + 1))
        return Error(HeadMoved())

    def _resolve_doubt(self, changes):
        """Read the ID row a last time; its absence proves nothing."""
        status = self.status(changes[0]["change_id"])
        if status.is_ok() and status.ok.revision is not None:
            return Ok(Appended(status.ok.revision))
        return Error(OutcomeUnknown("the answer was lost"))


def _transaction(head, body, changes):
    revision = head + 1
    writes = [
        Write(Item(HEAD_KEY, revision, ""), head or None),
        Write(Item(f"{LOG_PREFIX}/{revision}", revision, body), None),
    ]
    for change in changes:
        item = Item(f"{ID_PREFIX}/{change['change_id']}", revision, "")
        writes.append(Write(item, None))
    return tuple(writes)


def _row_of(item):
    return LogRow.from_body(item.version, item.body)
