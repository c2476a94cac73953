"""JSON logs on standard output or standard error."""

import logging
import sys
import time

import attrs
from pythonjsonlogger.json import JsonFormatter

from cairnferry.entry.telemetry._log_lines import LineHandler

RATE = 5.0
BURST = 20.0


def configure_logs(instance: str, debug: bool, stream=None) -> None:
    """Send all logs to a stream, one JSON object a line.

    Parameters
    ----------
    instance : str
        Named in each line.
    debug : bool
        Whether lines for debugging are written too.
    stream : file, optional
        Standard error if it is left out.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "part"},
        static_fields={"instance": instance},
    )
    handler = LineHandler((stream or sys.stderr).fileno())
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.DEBUG if debug else logging.INFO)


def dropped_lines() -> int:
    """Give the number of lines that found no room since the start."""
    handlers = logging.getLogger().handlers
    return sum(each.dropped for each in handlers if isinstance(each, LineHandler))


@attrs.define
class RateLimit:
    """Limit of log lines of one sort.

    An overload gives one line a request. Written out, they would cost more than
    the requests.

    Parameters
    ----------
    rate : float
        Lines a second.
    burst : float
        Lines at once.
    """

    rate: float = RATE
    burst: float = BURST
    _tokens: float = BURST
    _at: float = attrs.field(factory=time.monotonic)
    _left_out: int = 0

    def allows(self) -> bool:
        """Tell whether a line may be written now."""
        now = time.monotonic()
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self.rate)
        self._at = now
        if self._tokens < 1:
            self._left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Give the number of lines left out since the last one."""
        left_out = self._left_out
        self._left_out = 0
        return left_out
