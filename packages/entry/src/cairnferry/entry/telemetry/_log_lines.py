"""Writing log lines without waiting for whoever reads them."""

import collections
import logging
import os
import stat
import time

import gevent
from gevent.event import Event
from gevent.os import nb_write

# Bytes of lines that may wait for their reader; a line has some 300, so that a reader
# may stand still for a minute at the most lines that are written. Beyond the first part
# only failures are kept: they are what somebody will look for.
MAX_WAITING_BYTES = 1_000_000
MAX_SUCCESS_BYTES = 500_000
# Seconds for which the end of the process waits for lines to be read.
LAST_LINES_S = 0.5
# Seconds between two looks at whether the last lines are read.
LAST_LOOK_S = 0.01

log = logging.getLogger(__name__)


class LineHandler(logging.Handler):
    """Hands lines to a task that writes them as they are read.

    A pipe holds 64 KB. Written to directly, a full one would stop the whole process,
    and with it every request, until its reader goes on. Lines that find no room are
    dropped and counted.

    Parameters
    ----------
    fd : int
        File descriptor to write to; a pipe or socket is set to not block.

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
        self._waiting = 0
        self._dropped_before = 0
        self._has_reader = True
        self._wake = Event()
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(fd, False)
        self._task = gevent.spawn(self._run)

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, unless there is no room for it."""
        try:
            line = (self.format(record) + "\n").encode()
        except (ValueError, TypeError):
            self.handleError(record)
            return
        is_failure = record.levelno >= logging.WARNING
        room = MAX_WAITING_BYTES if is_failure else MAX_SUCCESS_BYTES
        if not self._has_reader or self._waiting + len(line) > room:
            self.dropped += 1
            return
        self._lines.append(line)
        self._waiting += len(line)
        self._wake.set()

    def close(self) -> None:
        """Wait a moment for the last lines to be read."""
        end = time.monotonic() + LAST_LINES_S
        while self._lines and self._has_reader and time.monotonic() < end:
            gevent.sleep(LAST_LOOK_S)
        self._task.kill(block=False)
        super().close()

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write(self._lines[0])
                self._waiting -= len(self._lines.popleft())
            self._tell_dropped()

    def _write(self, line):
        while line and self._has_reader:
            try:
                line = line[nb_write(self._fd, line) :]
            except OSError:
                # Nobody reads any more, and there is nowhere to say so but the count.
                self._has_reader = False
                self.dropped += len(self._lines)

    def _tell_dropped(self):
        count = self.dropped - self._dropped_before
        if count and self._has_reader:
            self._dropped_before = self.dropped
            log.warning("log lines dropped", extra={"count": count})
