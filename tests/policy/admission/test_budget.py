"""Retry budgets: no window exceeds them, however many instances share them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy.admission._budget import WindowBudget

WINDOW_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), min_size=1, max_size=400)
)
def test_no_window_exceeds_the_budget(steps):
    budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
    now = 100.0
    first_attempts, further_attempts = [], []
    for pause, is_further in steps:
        now += pause
        if not is_further:
            budget.earn(now)
            first_attempts.append(now)
        elif budget.spend(now):
            further_attempts.append(now)
        start = now - WINDOW_S
        first_count = sum(at > start for at in first_attempts)
        assert sum(at > start for at in further_attempts) <= 0.2 * first_count + 3


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.sampled_from(["first", "further", "lost"])),
        min_size=1,
        max_size=400,
    )
)
def test_instance_that_restarts_repeatedly_stays_within_the_budget(steps):
    """Guards against a new process that spends again what its predecessor spent."""
    budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
    now = 100.0
    first_attempts, further_attempts = [], []
    for pause, step in steps:
        now += pause
        match step:
            case "first":
                budget.earn(now)
                first_attempts.append(now)
            case "further" if budget.spend(now):
                further_attempts.append(now)
            case "lost":
                budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
        start = now - WINDOW_S
        first_count = sum(at > start for at in first_attempts)
        assert sum(at > start for at in further_attempts) <= 0.2 * first_count + 3


def test_new_instance_has_no_tokens():
    """Guards against a slack that each start of an instance renews."""
    budget = WindowBudget(ratio=0.2, slack=64.0, window=WINDOW_S)
    assert not budget.spend(1.0)


def test_refunded_token_can_be_spent_again():
    budget = WindowBudget(ratio=1.0, slack=1.0, window=WINDOW_S)
    budget.earn(1.0)
    assert budget.spend(1.0)
    assert not budget.spend(1.0)
    budget.refund()
    assert budget.spend(1.0)


def test_idle_window_allows_a_burst_and_the_rest_of_the_slack_over_time():
    budget = WindowBudget(ratio=0.0, slack=10.0, window=WINDOW_S)
    budget.earn(0.0)
    at_once = 0
    while budget.spend(100.0):
        at_once += 1
    assert at_once == 7
    later = sum(budget.spend(100.0 + index) for index in range(1, 10))
    assert at_once + later <= 10


@pytest.mark.parametrize("instances", [1, 3, 18])
def test_instances_together_spend_no_more_than_the_slack(instances):
    """Guards against more retries than the budget allows.

    Without requests the ratio earns no tokens, and each instance spends from the slack,
    which has to be divided among the instances.
    """
    slack = 64
    spent = 0
    for _ in range(instances):
        budget = WindowBudget(0.2, slack / instances, WINDOW_S)
        assert not budget.spend(5.0)
        for index in range(100):
            spent += budget.spend(100.0 + index * WINDOW_S / 100)
    assert 0 < spent <= slack
