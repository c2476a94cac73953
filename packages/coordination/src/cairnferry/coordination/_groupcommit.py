"""Group commit of waiting submissions in few transactions."""

from collections.abc import Callable

import attrs
from expression import Error, Ok

from cairnferry.coordination._changelog import (
    MAX_GROUP_CHANGES,
    MAX_ROW_BYTES,
    Appended,
    ChangeIdReused,
    ChangeLog,
    HeadMoved,
    LogRow,
    LogTooLarge,
)

# Each lost race means that the change of another daemon was accepted, so the system as
# a whole makes progress. The limit keeps a single submission from waiting for ever.
MAX_REBASES = 20


@attrs.define(eq=False)
class PendingChange:
    """Submitted change that waits for its outcome.

    Attributes
    ----------
    change : dict
        JSON document of the change, with its `change_id`.
    resolve : callable
        Called once with a Result: Appended, an AppendError, or the error of the
        validation that `GroupCommit.begin` returned.
    """

    change: dict
    resolve: Callable


@attrs.define
class GroupCommit:
    """Commits the waiting submissions, as one revision where possible.

    Parameters
    ----------
    log : ChangeLog
        The log of changes.
    refresh : callable
        Updates the local state to the head of the log; returns the revision of that
        state as a Result.
    begin : callable
        Starts a group on top of the local state. Returns a callable that validates a
        change on top of those accepted into the group before and returns a Result. A
        change that fails validation leaves the group unchanged.
    """

    log: ChangeLog
    refresh: Callable
    begin: Callable

    def commit(self, waiting: list[PendingChange]) -> None:
        """Commit the submissions and resolve each exactly once.

        Notes
        -----
        When operators release a frozen batch of changes at the same time, all daemons
        compete for the head row. With one transaction for all submissions that wait at
        a daemon, the number of writes grows with the number of daemons, not with the
        number of submissions.
        """
        remaining = _merge_duplicates(waiting)
        for attempt in range(1, MAX_REBASES + 1):
            remaining = self._commit_group(remaining)
            if not remaining or not self.log.backoff(attempt):
                break
        _resolve_all(remaining, Error(HeadMoved()))

    def _commit_group(self, waiting):
        """Try one transaction; return the submissions that still wait."""
        refreshed = self.refresh()
        if refreshed.is_error():
            _resolve_all(waiting, refreshed)
            return []
        head = refreshed.ok
        waiting = self._resolve_known(waiting)
        group, deferred = self._select_group(waiting)
        if not group:
            return deferred
        changes = tuple(pending.change for pending in group)
        appended = self.log.append(head, changes)
        if appended.is_error() and isinstance(appended.error, HeadMoved):
            return group + deferred
        if appended.is_ok():
            # An operator whose change was reported as accepted must find it in a read
            # at this daemon.
            self.refresh()
        _resolve_all(group, appended)
        return deferred

    def _resolve_known(self, waiting):
        """Resolve submissions whose ID the log already holds.

        An operator who did not receive the response sends the same change again.
        Without this check the change would be refused as a conflict with itself.
        """
        new = []
        for pending in waiting:
            status = self.log.status(pending.change["change_id"])
            if status.is_error():
                pending.resolve(status)
            elif status.ok.revision is None:
                new.append(pending)
            else:
                pending.resolve(self._outcome_of_known(pending, status.ok.revision))
        return new

    def _outcome_of_known(self, pending, revision):
        """Return the outcome of a repeated change; an error if its content differs."""
        rows = self.log.rows(revision, revision)
        if rows.is_error():
            return rows
        if any(pending.change in row.changes for row in rows.ok):
            return Ok(Appended(revision))
        return Error(ChangeIdReused(pending.change["change_id"]))

    def _select_group(self, waiting):
        """Select the changes that fit into one row; refuse those that are invalid."""
        group = []
        deferred = []
        size = 0
        check = self.begin()
        for pending in waiting:
            length = len(LogRow(0, (pending.change,)).to_body())
            if length > MAX_ROW_BYTES:
                pending.resolve(Error(LogTooLarge(length)))
                continue
            if len(group) == MAX_GROUP_CHANGES or size + length > MAX_ROW_BYTES:
                deferred.append(pending)
                continue
            checked = check(pending.change)
            if checked.is_error():
                pending.resolve(checked)
                continue
            group.append(pending)
            size += length
        return group, deferred


def _merge_duplicates(waiting):
    """Merge submissions of the same change, so that they share one outcome.

    A tool that timed out sends the change again while the first submission waits.
    """
    by_id = {}
    for pending in waiting:
        change_id = pending.change["change_id"]
        earlier = by_id.get(change_id)
        if earlier is None:
            by_id[change_id] = pending
        elif earlier.change == pending.change:
            by_id[change_id] = _share_outcome(earlier, pending)
        else:
            pending.resolve(Error(ChangeIdReused(change_id)))
    return list(by_id.values())


def _share_outcome(first, second):
    def resolve(result):
        first.resolve(result)
        second.resolve(result)

    return PendingChange(first.change, resolve)


def _resolve_all(waiting, result):
    for pending in waiting:
        pending.resolve(result)
