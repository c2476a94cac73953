"""Retry budgets: none is exceeded in any window, however many instances share it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy.admission._budget import WindowBudget

WINDOW_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), min_size=1, max_size=400)
)
def test_no_window_holds_more_than_the_budget(steps):
    budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
    now = 100.0
    firsts, further = [], []
    for pause, wants_more in steps:
        now += pause
        if not wants_more:
            budget.earn(now)
            firsts.append(now)
        elif budget.spend(now):
            further.append(now)
        start = now - WINDOW_S
        with_retry_tokens = sum(at > start for at in firsts)
        assert sum(at > start for at in further) <= 0.2 * with_retry_tokens + 3


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.sampled_from(["first", "further", "lost"])),
        min_size=1,
        max_size=400,
    )
)
def test_an_instance_that_is_lost_again_and_again_keeps_the_budget(steps):
    """Guards against a process that starts with what the one before it has spent."""
    budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
    now = 100.0
    firsts, further = [], []
    for pause, step in steps:
        now += pause
        match step:
            case "first":
                budget.earn(now)
                firsts.append(now)
            case "further" if budget.spend(now):
                further.append(now)
            case "lost":
                budget = WindowBudget(ratio=0.2, slack=3.0, window=WINDOW_S)
        start = now - WINDOW_S
        with_retry_tokens = sum(at > start for at in firsts)
        assert sum(at > start for at in further) <= 0.2 * with_retry_tokens + 3


def test_one_that_starts_spends_nothing_before_requests_have_earned_it():
    """Guards against a slack that each start of an instance brings anew."""
    budget = WindowBudget(ratio=0.2, slack=64.0, window=WINDOW_S)
    assert not budget.spend(1.0)


def test_what_was_not_sent_is_given_back():
    budget = WindowBudget(ratio=1.0, slack=1.0, window=WINDOW_S)
    budget.earn(1.0)
    assert budget.spend(1.0)
    assert not budget.spend(1.0)
    budget.give_back()
    assert budget.spend(1.0)


def test_after_a_window_without_repeats_a_burst_and_a_rest_are_there():
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
    """Symptom: targets get more repeats than the budget allows, all from restarts.

    Events: no requests, so that the ratio gives nothing; each instance spends the
    whole slack. Cause: the slack was not divided.
    """
    slack = 64
    spent = 0
    for _ in range(instances):
        budget = WindowBudget(0.2, slack / instances, WINDOW_S)
        assert not budget.spend(5.0)
        for tenth in range(100):
            spent += budget.spend(100.0 + tenth * WINDOW_S / 100)
    assert 0 < spent <= slack
