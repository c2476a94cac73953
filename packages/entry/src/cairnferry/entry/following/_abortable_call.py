"""Calls that another task may abort without an effect on the task that waits."""

from collections.abc import Callable

import attrs
import gevent
from expression import Error, Ok, Result


@attrs.frozen
class CallAborted:
    """A call was aborted; whether the other side has answered it is not known."""


@attrs.define(eq=False)
class AbortableCall:
    """Runs calls, one at a time, each in a task of its own.

    Ending that task ends the call and nothing else. An exception in the waiting task
    would be raised at the next point at which it waits. If the answer has just arrived,
    this point is behind the call.
    """

    _task: gevent.Greenlet | None = None

    @property
    def is_running(self) -> bool:
        """Whether a call is in progress, or its result has not been returned yet."""
        return self._task is not None

    def run(self, function: Callable[[], object]) -> Result[object, CallAborted]:
        """Run a function and wait for its result.

        An exception of the function is raised here.

        Parameters
        ----------
        function : callable
            The call. It may be ended at any point at which it waits.

        Returns
        -------
        Result
            Result of the function, or `CallAborted`.
        """
        task = self._task = gevent.spawn(_capture, function)
        try:
            outcome = task.get()
        finally:
            self._task = None
            task.kill(block=False)
        if isinstance(outcome, gevent.GreenletExit):
            return Error(CallAborted())
        if outcome.is_error():
            raise outcome.error
        return outcome

    def abort(self) -> None:
        """Abort the call in progress; one that has ended keeps its result."""
        if self._task is not None:
            self._task.kill(block=False)


def _capture(function):
    """Return what a function returns or raises, without gevent's own traceback."""
    try:
        return Ok(function())
    except Exception as exc:
        return Error(exc)
