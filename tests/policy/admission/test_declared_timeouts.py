"""Time that callers have spent on earlier attempts, from their time limits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import DeclaredTimeouts


@pytest.fixture
def timeouts():
    known = DeclaredTimeouts()
    for _ in range(3):
        known.note("reads", 5000)
    return known


def test_caller_that_returns_has_spent_the_difference(timeouts):
    assert timeouts.note("reads", 3800) == 1.2


def test_first_attempts_have_spent_nothing(timeouts):
    assert timeouts.note("reads", 5000) == 0.0
    assert timeouts.note("reads", 9000) == 0.0
    assert timeouts.note("orders", 3800) == 0.0


def test_second_kind_of_caller_is_not_taken_for_one_that_returns(timeouts):
    """Guards against callers with a shorter time limit that always go last."""
    for _ in range(2):
        timeouts.note("reads", 2000)
    assert timeouts.note("reads", 2000) == 0.0


def test_time_to_connect_differs_between_first_attempts():
    """Guards against first attempts that are never recognized, as no time recurs."""
    timeouts = DeclaredTimeouts()
    assert [timeouts.note("reads", 5000 - late) for late in (3, 9, 17)][0] == 0.0
    assert timeouts.note("reads", 3997) == 1.0


def test_time_limits_that_are_no_longer_used_are_forgotten(timeouts):
    for _ in range(40):
        timeouts.note("reads", 2000)
    assert timeouts.note("reads", 1500) == 0.5


@given(st.lists(st.integers(1, 600_000)))
def test_spent_time_is_never_negative_or_beyond_a_declared_limit(values):
    timeouts = DeclaredTimeouts()
    for index, value in enumerate(values):
        spent = timeouts.note("reads", value)
        assert 0 <= spent <= (max(values[: index + 1]) - value) / 1000
