"""Callers of daemons that know no rules yet."""

import pytest

from cairnferry.entry.callers._startup_retry import StartupRetry


def starting(ready=False):
    return StartupRetry(100.0, lambda: ready)


@pytest.mark.parametrize("elapsed", [0.15, 0.3, 0.45, 2.0, 60.0])
def test_with_others_ready_a_caller_goes_to_one_of_them_at_once(elapsed):
    assert starting(ready=True).retry_after(100.0 + elapsed) == 0.05


def test_at_first_others_are_taken_for_ready():
    assert starting().retry_after(100.01) == 0.05


@pytest.mark.parametrize("takes", [0.4, 0.6, 0.9])
def test_while_all_start_most_come_back_when_that_is_over(takes):
    """Guards against callers that use up their tries before any daemon has rules."""
    moments = [takes * n / 100 for n in range(100)]
    back = [at + starting().retry_after(100.0 + at) for at in moments]
    assert sum(at >= takes for at in back) >= 40
    assert max(back) <= takes + 0.5


def test_a_long_start_is_asked_about_now_and_then():
    assert starting().retry_after(130.0) == 0.5
