"""Non-blocking writing of log lines."""

import collections
import logging
import os
import stat
import time

import gevent
from gevent.event import Event
from gevent.os import nb_write

from cairnferry.entry._restarting_task import RestartingTask

# Total size in bytes of the lines that may wait for the reader of the log. A line has
# some 300 bytes, so a reader may stall for a minute at the highest rate of lines. Above
# MAX_SUCCESS_BYTES only warnings and errors are kept, as operators look for these.
MAX_WAITING_BYTES = 1_000_000
MAX_SUCCESS_BYTES = 500_000
# Seconds for which `close` waits for the remaining lines to be read.
CLOSE_WAIT_S = 0.5
# Seconds between two checks whether the remaining lines are read.
CLOSE_CHECK_S = 0.01

log = logging.getLogger(__name__)


class LineHandler(logging.Handler):
    """Log handler that queues lines for a task, which writes them as they are read.

    A pipe holds 64 KB. A direct write to a full pipe would block the whole process, and
    with it every request, until the reader continues. Lines that exceed the capacity of
    the queue are dropped and counted.

    Parameters
    ----------
    fd : int
        File descriptor to write to; a pipe or socket is set to non-blocking mode.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, fd: int):
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._lines = collections.deque()
        self._waiting_bytes = 0
        self._reported_dropped = 0
        self._has_reader = True
        self._wake = Event()
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(fd, False)
        self._task = RestartingTask(self._run)
        self._task.ensure_running()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            line = (self.format(record) + "\n").encode()
        except (ValueError, TypeError):
            self.handleError(record)
            return
        is_failure = record.levelno >= logging.WARNING
        limit = MAX_WAITING_BYTES if is_failure else MAX_SUCCESS_BYTES
        if not self._has_reader or self._waiting_bytes + len(line) > limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._waiting_bytes += len(line)
        self._wake.set()

    def close(self) -> None:
        """Wait for a short time until the remaining lines are read."""
        end = time.monotonic() + CLOSE_WAIT_S
        while self._lines and self._has_reader and time.monotonic() < end:
            gevent.sleep(CLOSE_CHECK_S)
        self._task.stop(block=False)
        super().close()

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write(self._lines[0])
                self._waiting_bytes -= len(self._lines.popleft())
            self._report_dropped()

    def _write(self, line):
        while line and self._has_reader:
            try:
                line = line[nb_write(self._fd, line) :]
            except OSError:
                # The reader is gone, so the loss is only visible in the counter.
                self._has_reader = False
                self.dropped += len(self._lines)

    def _report_dropped(self):
        count = self.dropped - self._reported_dropped
        if count and self._has_reader:
            self._reported_dropped = self.dropped
            log.warning("log lines dropped", extra={"count": count})
