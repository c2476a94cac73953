"""Changes that operators submit, on their way into the log."""

import attrs
import gevent
from expression import Error, Result
from gevent.event import AsyncResult
from gevent.queue import Queue

from cairnferry.coordination import GroupCommit, OutcomeUnknown, PendingChange
from cairnferry.entry.changelog import ChangeLogSync, Configuration
from cairnferry.records import Change

MAX_GATHERED = 256


@attrs.define
class Submissions:
    """Queue of submissions and the one task that commits them.

    Parameters
    ----------
    distribution : ChangeLogSync
        Brings this daemon up to the head before it checks a change.
    configuration : Configuration
        What is in force here.
    on_accepted : callable
        Called after a commit, to tell others at once.
    """

    distribution: ChangeLogSync
    configuration: Configuration
    on_accepted: object
    _queue: Queue = attrs.field(factory=Queue)

    def submit(self, change: Change, timeout: float) -> Result:
        """Wait for the outcome of a change.

        Parameters
        ----------
        change : Change
            The change.
        timeout : float
            Seconds after which the outcome is called unknown.
        """
        result = AsyncResult()
        self._queue.put(PendingChange(change.to_json(), result.set))
        try:
            return result.get(timeout=timeout)
        except gevent.Timeout:
            return Error(OutcomeUnknown("no outcome in time"))

    def run(self) -> None:
        """Commit what waits, group after group."""
        group = GroupCommit(
            self.distribution.changes, self.distribution.refresh, self._begin
        )
        while True:
            waiting = [self._queue.get()]
            while self._queue.qsize() and len(waiting) < MAX_GATHERED:
                waiting.append(self._queue.get())
            group.commit(waiting)
            self.on_accepted()

    def _begin(self):
        draft = self.configuration.records.draft()

        def check(document):
            return Change.from_json(document).bind(draft.add)

        return check
