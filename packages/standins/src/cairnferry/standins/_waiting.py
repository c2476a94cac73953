"""Waiting for events, which may come at any time."""

import time

# Seconds after which an event is taken for one that does not come, and between two
# looks for it.
EVENT_TIMEOUT_S = 30.0
LOOK_S = 0.02


class EventTimeout(AssertionError):
    """An awaited event did not come."""


def wait_for(condition, timeout: float = EVENT_TIMEOUT_S):
    """Wait until a condition holds; give its value.

    Raises
    ------
    EventTimeout
        If it does not come in time; the bound is for a broken system only.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise EventTimeout("the awaited event did not come")
        time.sleep(LOOK_S)
