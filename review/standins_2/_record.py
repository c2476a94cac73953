"""Record of what was sent, answered and run, and of what the case did."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start; written to a file at the end."""

    def __init__(self, path: Path):
        self._path = path
        self._lines = []
        self._began = time.monotonic()

    def note(self, event: str, **facts) -> float:
        """Add a line; return its time in seconds."""
        now = time.monotonic() - self._began
        told = " ".join(f"{name}={value}" for name, value in facts.items())
        self._lines.append(f"{now:8.3f} {event} {told}".rstrip())
        return now

    def say(self, text: str) -> None:
        """Add a line of the result, and print it."""
        self._lines.append(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")
