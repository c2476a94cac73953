"""Tasks that are started again if they end before their work is done."""

import logging
from collections.abc import Callable

import attrs
import gevent

# Seconds before a task is started again, so that a task that fails at each start fills
# neither the CPU nor the log.
RETRY_S = 1.0

log = logging.getLogger(__name__)


def _count_nothing(name):
    """Do not count the restart."""


@attrs.define(eq=False)
class RestartingTask:
    """Runs a function in a greenlet until it returns.

    If the greenlet ends in any other way, the function is started again: after an
    exception, and also if the greenlet is killed. Without it, the daemon would still
    serve and seem healthy, but might not receive changes any more.

    Parameters
    ----------
    function : callable
        The function to run.
    on_restart : callable, optional
        Called with the name of the function whenever it is started again.
    """

    function: Callable[[], None]
    on_restart: Callable[[str], None] = _count_nothing
    _greenlet: gevent.Greenlet | None = None
    _is_stopped: bool = False

    @property
    def name(self) -> str:
        """Name of the function, for logs and metrics."""
        return getattr(self.function, "__qualname__", type(self.function).__name__)

    @property
    def is_running(self) -> bool:
        """Whether the function runs, or is about to be started again."""
        return self._greenlet is not None and not self._greenlet.ready()

    def ensure_running(self) -> None:
        """Start the function unless it runs or the task was stopped."""
        if not self.is_running and not self._is_stopped:
            self._start(0.0)

    def stop(self, block: bool = True) -> None:
        """End the function for good; optionally wait until it has ended."""
        self._is_stopped = True
        if self._greenlet is not None:
            self._greenlet.kill(block=block)

    def _start(self, delay_s):
        greenlet = gevent.Greenlet(self._run)
        greenlet.rawlink(self._note_end)
        self._greenlet = greenlet
        if delay_s:
            greenlet.start_later(delay_s)
        else:
            greenlet.start()

    def _run(self):
        """Run the function; return the exception that ended it, or None."""
        try:
            self.function()
        except (KeyboardInterrupt, SystemExit):
            raise
        except BaseException as exc:
            return exc
        return None

    def _note_end(self, greenlet):
        """Start the function again unless it has returned; runs in the hub."""
        # A greenlet that was killed before it began has not caught the exception.
        exc = greenlet.exception or greenlet.value
        if exc is not None and not self._is_stopped:
            gevent.spawn(self._restart, exc)

    def _restart(self, exc):
        log.error("task failed", extra={"task": self.name}, exc_info=exc)
        self.on_restart(self.name)
        self._start(RETRY_S)
