"""Polling for a condition, with a timeout."""

import time

# Seconds after which an awaited event counts as missing, and seconds between two
# evaluations of its condition.
EVENT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


class EventTimeout(AssertionError):
    """The awaited event did not occur within the timeout."""


def wait_for(condition, timeout: float = EVENT_TIMEOUT_S):
    """Wait until a condition is true, and return its value.

    Parameters
    ----------
    condition : callable
        Evaluated repeatedly, without arguments.
    timeout : float, optional
        Time limit in seconds. It is far longer than any event takes and only ends the
        wait in a broken system.

    Raises
    ------
    EventTimeout
        If the condition is not true within the time limit.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise EventTimeout("the awaited event did not occur")
        time.sleep(POLL_INTERVAL_S)
