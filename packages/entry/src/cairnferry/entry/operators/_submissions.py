"""Queue of the changes that operators submit."""

import attrs
import gevent
from expression import Error, Result
from gevent.event import AsyncResult
from gevent.queue import Queue

from cairnferry.coordination import GroupCommit, OutcomeUnknown, PendingChange
from cairnferry.entry.changelog import ChangeLogSync, Configuration
from cairnferry.records import Change

# Maximum number of changes that are committed together.
MAX_GROUP_SIZE = 256


@attrs.define
class Submissions:
    """Queue of submissions, and the single task that commits them.

    Parameters
    ----------
    change_log_sync : ChangeLogSync
        Updates this daemon to the head of the log before a change is checked.
    configuration : Configuration
        Configuration in force at this daemon.
    on_accepted : callable
        Called after a commit, to notify other daemons at once.
    """

    change_log_sync: ChangeLogSync
    configuration: Configuration
    on_accepted: object
    _queue: Queue = attrs.field(factory=Queue)

    def submit(self, change: Change, timeout: float) -> Result:
        """Submit a change and wait for its outcome.

        Parameters
        ----------
        change : Change
            Change to submit.
        timeout : float
            Seconds after which the outcome is reported as unknown.
        """
        result = AsyncResult()
        self._queue.put(PendingChange(change.to_json(), result.set))
        try:
            return result.get(timeout=timeout)
        except gevent.Timeout:
            return Error(OutcomeUnknown("no outcome in time"))

    def run(self) -> None:
        """Commit the queued changes in groups."""
        group = GroupCommit(
            self.change_log_sync.changes,
            self.change_log_sync.refresh,
            self._start_draft,
        )
        while True:
            waiting = [self._queue.get()]
            while self._queue.qsize() and len(waiting) < MAX_GROUP_SIZE:
                waiting.append(self._queue.get())
            group.commit(waiting)
            self.on_accepted()

    def _start_draft(self):
        draft = self.configuration.records.draft()

        def check(document):
            return Change.from_json(document).bind(draft.add)

        return check
