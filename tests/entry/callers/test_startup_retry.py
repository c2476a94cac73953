"""Retry-After of daemons that have no rules yet."""

import pytest

from cairnferry.entry.callers._startup_retry import StartupRetry


def startup_retry(ready=False):
    return StartupRetry(100.0, lambda: ready)


@pytest.mark.parametrize("elapsed", [0.15, 0.3, 0.45, 2.0, 60.0])
def test_callers_retry_at_once_if_other_daemons_are_ready(elapsed):
    assert startup_retry(ready=True).retry_after(100.0 + elapsed) == 0.05


def test_other_daemons_are_assumed_ready_at_first():
    assert startup_retry().retry_after(100.01) == 0.05


@pytest.mark.parametrize("takes", [0.4, 0.6, 0.9])
def test_while_all_daemons_start_many_callers_retry_after_the_start(takes):
    """Guards against callers that use up their retries before any daemon has rules."""
    moments = [takes * n / 100 for n in range(100)]
    retry_times = [at + startup_retry().retry_after(100.0 + at) for at in moments]
    assert sum(at >= takes for at in retry_times) >= 40
    assert max(retry_times) <= takes + 0.5


def test_the_retry_delay_is_bounded_during_a_long_start():
    assert startup_retry().retry_after(130.0) == 0.5
