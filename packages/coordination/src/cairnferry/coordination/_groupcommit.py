"""Many waiting submissions, few transactions."""

from collections.abc import Callable

import attrs
from expression import Error, Ok

from cairnferry.coordination._changelog import (
    MAX_GROUP,
    MAX_ROW_BYTES,
    Appended,
    ChangeIdReused,
    ChangeLog,
    HeadMoved,
    LogRow,
    LogTooLarge,
)

# Each lost race means that another daemon's change was accepted, so that the
# whole makes progress; the bound keeps a single submission from waiting for ever.
MAX_REBASES = 20


@attrs.define(eq=False)
class PendingChange:
    """A submission that waits for its outcome.

    Attributes
    ----------
    change : dict
        JSON document of the change, with its `change_id`.
    resolve : callable
        Called once with a Result: Appended, an AppendError, or the error that
        `check` gave.
    """

    change: dict
    resolve: Callable


@attrs.define
class GroupCommit:
    """Commits what waits, as one revision where it can.

    Parameters
    ----------
    log : ChangeLog
        The log of changes.
    refresh : callable
        Brings the local state up to the log's head; gives the revision that is
        held, as a Result.
    begin : callable
        Starts a group on top of the state that is held. Gives a callable that
        takes a change and gives a Result: an error if the change does not hold
        on top of those taken before, which it then leaves as they were.
    """

    log: ChangeLog
    refresh: Callable
    begin: Callable

    def commit(self, waiting: list[PendingChange]) -> None:
        """Commit the submissions and resolve each exactly once.

        Notes
        -----
        When operators release a frozen batch at once, every daemon races for
        the head row. One transaction for all that wait at a daemon keeps the
        number of writes near the number of daemons, not of submissions.
        """
        remaining = _join_repeated_ids(waiting)
        for attempt in range(1, MAX_REBASES + 1):
            remaining = self._commit_group(remaining)
            if not remaining or not self.log.pause(attempt):
                break
        _resolve_all(remaining, Error(HeadMoved()))

    def _commit_group(self, waiting):
        """Try one transaction; give back what still waits."""
        refreshed = self.refresh()
        if refreshed.is_error():
            _resolve_all(waiting, refreshed)
            return []
        head = refreshed.ok
        waiting = self._drop_known(waiting)
        group, rest = self._select(waiting)
        if not group:
            return rest
        changes = tuple(pending.change for pending in group)
        appended = self.log.append(head, changes)
        if appended.is_error() and isinstance(appended.error, HeadMoved):
            return group + rest
        if appended.is_ok():
            # Who reads at this daemon after it was told "accepted" shall find it.
            self.refresh()
        _resolve_all(group, appended)
        return rest

    def _drop_known(self, waiting):
        """Resolve submissions whose ID the log already holds.

        An operator whose answer was lost sends the same change again. Without
        this it would be refused as a conflict with itself.
        """
        unknown = []
        for pending in waiting:
            status = self.log.status(pending.change["change_id"])
            if status.is_error():
                pending.resolve(status)
            elif status.ok.revision is None:
                unknown.append(pending)
            else:
                pending.resolve(self._accepted_before(pending, status.ok.revision))
        return unknown

    def _accepted_before(self, pending, revision):
        """Tell the same change, sent again, from another under the same ID."""
        rows = self.log.rows(revision, revision)
        if rows.is_error():
            return rows
        if any(pending.change in row.changes for row in rows.ok):
            return Ok(Appended(revision))
        return Error(ChangeIdReused(pending.change["change_id"]))

    def _select(self, waiting):
        """Choose what goes into one row; refuse what does not hold."""
        group = []
        rest = []
        size = 0
        check = self.begin()
        for pending in waiting:
            length = len(LogRow(0, (pending.change,)).to_body())
            if length > MAX_ROW_BYTES:
                pending.resolve(Error(LogTooLarge(length)))
                continue
            if len(group) == MAX_GROUP or size + length > MAX_ROW_BYTES:
                rest.append(pending)
                continue
            checked = check(pending.change)
            if checked.is_error():
                pending.resolve(checked)
                continue
            group.append(pending)
            size += length
        return group, rest


def _join_repeated_ids(waiting):
    """Let submissions of the same change share one outcome.

    A tool that timed out sends again while the first copy still waits.
    """
    first = {}
    for pending in waiting:
        change_id = pending.change["change_id"]
        known = first.get(change_id)
        if known is None:
            first[change_id] = pending
        elif known.change == pending.change:
            first[change_id] = _both(known, pending)
        else:
            pending.resolve(Error(ChangeIdReused(change_id)))
    return list(first.values())


def _both(one, other):
    def resolve(result):
        one.resolve(result)
        other.resolve(result)

    return PendingChange(one.change, resolve)


def _resolve_all(waiting, result):
    for pending in waiting:
        pending.resolve(result)
