"""JSON logs on standard output or standard error."""

import logging
import sys
import time

import attrs
from pythonjsonlogger.json import JsonFormatter

from cairnferry.entry.telemetry._log_lines import LineHandler

# Log lines of one kind per second, and in one burst.
RATE = 5.0
BURST = 20.0


def configure_logs(instance: str, debug: bool, stream=None) -> None:
    """Send all logs to a stream, one JSON object per line.

    Parameters
    ----------
    instance : str
        Name of the instance, which is added to each line.
    debug : bool
        Whether to log at debug level.
    stream : file, optional
        Stream to write to; the default is standard error.
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
    """Return the number of lines dropped since the start."""
    handlers = logging.getLogger().handlers
    return sum(each.dropped for each in handlers if isinstance(each, LineHandler))


@attrs.define
class RateLimit:
    """Rate limit for log lines of one kind.

    During an overload there is one line per request, and writing all of them would cost
    more than the requests.

    Parameters
    ----------
    rate : float
        Lines per second.
    burst : float
        Lines that may be written at once.
    """

    rate: float = RATE
    burst: float = BURST
    _tokens: float = BURST
    _refilled_at: float = attrs.field(factory=time.monotonic)
    _suppressed: int = 0

    def allows(self) -> bool:
        """Return whether a line may be written now."""
        now = time.monotonic()
        self._tokens = min(
            self.burst, self._tokens + (now - self._refilled_at) * self.rate
        )
        self._refilled_at = now
        if self._tokens < 1:
            self._suppressed += 1
            return False
        self._tokens -= 1
        return True

    def take_suppressed(self) -> int:
        """Return the number of lines suppressed since the last call, and reset it."""
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed
