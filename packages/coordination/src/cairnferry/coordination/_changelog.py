"""Append-only log of changes, stored in a table.

The head row holds the last revision. One transaction writes revision r + 1 and a row
for each change ID, on the condition that the head is r. This condition puts all changes
into a total order. The revisions of single records need no rows of their own, as they
can be derived from the log up to r.
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
# The table service allows 400 KB per row and 100 rows per transaction. The margins
# leave space for the key, the version and the head row.
MAX_ROW_BYTES = 350 * 1024
MAX_GROUP_CHANGES = 90
# Maximum number of times that one transaction is sent.
MAX_ATTEMPTS = 4
# Maximum number of rows that one read of a range returns.
RANGE_PAGE_ROWS = 100


@attrs.frozen
class LogRow:
    """One revision of the log.

    Attributes
    ----------
    revision : int
        Number of the revision; consecutive from 1.
    changes : tuple of dict
        JSON documents of the changes, each with its `change_id`.
    """

    revision: int
    changes: tuple[dict, ...]

    def to_body(self) -> str:
        """Return the changes as JSON, for the table or a peer."""
        return json.dumps(list(self.changes), separators=(",", ":"))

    @classmethod
    def from_body(cls, revision: int, body: str) -> "LogRow":
        """Return the row that `to_body` encoded."""
        return cls(revision, tuple(json.loads(body)))


@attrs.frozen
class Appended:
    """The changes are accepted permanently, at `revision`."""

    revision: int


@attrs.frozen
class HeadMoved:
    """Another change was accepted first; nothing was written."""

    def __str__(self):
        return "other changes were accepted first in every attempt"


@attrs.frozen
class ChangeIdReused:
    """The log holds another change under this ID; nothing was written."""

    change_id: str

    def __str__(self):
        return f"change ID {self.change_id!r} was used for another change"


@attrs.frozen
class OutcomeUnknown:
    """Whether the changes were accepted could not be determined in time."""

    reason: str

    def __str__(self):
        return f"it is unknown whether the change was accepted: {self.reason}"


@attrs.frozen
class LogTooLarge:
    """The changes do not fit into one row; nothing was written."""

    size: int
    limit: int = MAX_ROW_BYTES

    def __str__(self):
        return f"the change has {self.size} bytes, the limit is {self.limit}: split it"


AppendError = (
    HeadMoved | ChangeIdReused | OutcomeUnknown | LogTooLarge | TableUnavailable
)


@attrs.frozen
class ChangeStatus:
    """Status of a change ID.

    Attributes
    ----------
    revision : int or None
        Revision that accepted the change; None if the log has no row for the ID yet.
    """

    revision: int | None


@attrs.define
class ChangeLog:
    """Reader and writer of the log.

    Parameters
    ----------
    table : Table
        Table that stores the log.
    backoff : callable
        Called with the number of the attempt, from 1. Waits with jitter before the
        next attempt and returns whether there is time left for it.
    """

    table: Table
    backoff: Callable[[int], bool]

    def head(self) -> Result[int, TableUnavailable]:
        """Return the last accepted revision; 0 for an empty log."""
        return self.table.read(HEAD_KEY).map(lambda item: item.version if item else 0)

    def rows(self, first: int, last: int) -> Result[list[LogRow], TableUnavailable]:
        """Return revisions `first` to `last`, at most one page of them."""
        last = min(last, first + RANGE_PAGE_ROWS - 1)
        found = self.table.read_range(LOG_PREFIX, first, last)
        return found.map(lambda items: [_row_of(item) for item in items])

    def status(self, change_id: str) -> Result[ChangeStatus, TableUnavailable]:
        """Return the status of a change ID."""
        found = self.table.read(f"{ID_PREFIX}/{change_id}")
        return found.map(lambda item: ChangeStatus(item.version if item else None))

    def append(
        self, head: int, changes: tuple[dict, ...]
    ) -> Result[Appended, AppendError]:
        """Write the changes as revision `head` + 1.

        Parameters
        ----------
        head : int
            Revision on which the changes were validated.
        changes : tuple of dict
            JSON documents of the changes, each with its `change_id`.

        Notes
        -----
        A response may be lost after the write took effect. Submitting the same
        content under another ID would then apply it twice. Instead, the same
        transaction is sent again: if its ID rows are absent, it can take effect only
        once, and if they are present, it has taken effect.
        """
        row = LogRow(head + 1, changes)
        body = row.to_body()
        if len(body) > MAX_ROW_BYTES:
            return Error(LogTooLarge(len(body)))
        writes = _transaction(head, body, changes)
        may_be_written = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            written = self.table.transact(writes)
            if written.is_ok():
                return Ok(Appended(head + 1))
            match written.error:
                case ConditionFailed():
                    return self._resolve_failed_condition(head, changes)
                case TableUnavailable() as unavailable:
                    if not may_be_written:
                        return Error(unavailable)
                case _:
                    may_be_written = True
            if not self.backoff(attempt):
                break
        return self._resolve_unknown(changes)

    def _resolve_failed_condition(self, head, changes):
        """Determine whether an own earlier attempt or another writer moved the head."""
        status = self.status(changes[0]["change_id"])
        if status.is_error():
            return Error(OutcomeUnknown(status.error.reason))
        if status.ok.revision == head + 1:
            return Ok(Appended(head + 1))
        return Error(HeadMoved())

    def _resolve_unknown(self, changes):
        """Read the ID row once more; its absence proves nothing."""
        status = self.status(changes[0]["change_id"])
        if status.is_ok() and status.ok.revision is not None:
            return Ok(Appended(status.ok.revision))
        return Error(OutcomeUnknown("the response was lost"))


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
