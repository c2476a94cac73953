"""Polling for a condition, with a timeout."""

import inspect
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
        If the condition is not true within the time limit. The message has the source
        of the condition, its last value and the number of evaluations.
    """
    evaluations = 0
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        evaluations += 1
        if value:
            return value
        if time.monotonic() >= deadline:
            raise EventTimeout(
                f"the awaited event did not occur within {timeout:g} s: "
                f"{_source_of(condition)}; last value {value!r} "
                f"of {evaluations} evaluations"
            )
        time.sleep(POLL_INTERVAL_S)


def _source_of(condition):
    """Return the source of a condition on one line, or its name."""
    try:
        return " ".join(inspect.getsource(condition).split())
    except (OSError, TypeError):
        return getattr(condition, "__qualname__", repr(condition))
