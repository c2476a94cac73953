"""Clock for the tests of requests that crash targets."""

import pytest


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that the test advances."""
    clock = Clock()
    for module in ("_guard", "_block_table"):
        monkeypatch.setattr(f"cairnferry.entry.callers.{module}.time", clock)
    return clock


class Clock:
    """Replaces the time module."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return 1e9 + self.now
