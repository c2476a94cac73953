"""Time for requests that end targets."""

import pytest


@pytest.fixture
def clock(monkeypatch):
    """Give a clock that the test moves."""
    clock = Clock()
    for module in ("_guard", "_block_table"):
        monkeypatch.setattr(f"cairnferry.entry.callers.{module}.time", clock)
    return clock


class Clock:
    """Stands in for the time module."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return 1e9 + self.now
