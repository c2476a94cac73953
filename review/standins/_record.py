"""Record of a case, and its exit code."""

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

MAX_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Lines of what was sent, answered and run, with seconds from the start."""

    def __init__(self):
        self._started = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line; the time is monotonic, in seconds, and defaults to now."""
        at = time.monotonic() if at is None else at
        self._lines.append((at - self._started, text))

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        lines = [f"{at:9.3f} s  {text}" for at, text in sorted(self._lines)]
        path.write_text("\n".join(lines) + "\n")


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case, write its record, and exit with its result.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    case : callable
        Coroutine function called with the record and whether the disruption happens;
        returns whether the rule held.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(trouble)}")
    try:
        held = asyncio.run(_run(case(record, trouble)))
        code = HELD if held else BROKEN
        record.add("the rule held" if held else "the rule was broken")
    except (Exception, asyncio.CancelledError):
        code = CANNOT_RUN
        record.add("the case could not run: " + traceback.format_exc())
    record.write(folder / "record.txt")
    sys.exit(code)


async def _run(running):
    """Run a case within its time; end it, with its processes, on SIGTERM."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(running, MAX_S)
