"""Daemons as processes that are killed in series, and targets that refuse all."""

from collections import Counter

import pytest

from cairnferry.standins import wait_for

from ._processes import ALIVE, running_fleet
from ._standins import HostedTarget, configuration, rule, target_row

DAEMONS = ("hall", "yard")
TARGETS = 8
LIVES = 5
CALLS = 10
RATIO = 0.2
SLACK = 10
# Longer than the test, so that all of it lies in one window.
WINDOW = ("bounds.retry_window=10s", "bounds.retry_window=600s")
BUDGET = ("bounds.retry_budget_slack=64", f"bounds.retry_budget_slack={SLACK}")


@pytest.fixture
def targets(store):
    targets = [HostedTarget(f"i-{number}") for number in range(TARGETS)]
    for target in targets:
        store.put("servers", target.name, target_row(target.port))
    yield targets
    for target in targets:
        target.stop()


def refuse_all(targets):
    for target in targets:
        refusal = target.answer(
            "{id}", status="503 Full", extra=["Cairnferry-Not-Executed: 1"]
        )
        target.seen.clear()
        target.behave = lambda number, refusal=refusal: refusal


def arrivals_beyond_the_first(targets):
    ids = Counter(
        headers["cairnferry-request-id"]
        for target in targets
        for _, _, headers, _ in target.seen
    )
    return sum(count - 1 for count in ids.values())


def test_daemons_killed_in_series_spend_no_budget_twice(store, targets, tmp_path):
    """Guards against a process that starts again with what the last one has spent."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    settings = [WINDOW, BUDGET]
    with running_fleet(store.port, DAEMONS, tmp_path, settings) as fleet:
        refuse_all(targets)
        sent = 0
        for life in range(LIVES):
            for index, process in enumerate(fleet):
                for number in range(CALLS):
                    process.call("/a/x", request_id=f"r-{life}-{index}-{number}")
                    sent += 1
            for index, process in enumerate(fleet):
                process.end()
                fleet[index] = process.start_again()
            for process in fleet:
                wait_for(lambda each=process: each.metric(ALIVE) == len(DAEMONS))
    further = arrivals_beyond_the_first(targets)
    assert 0 < further <= RATIO * sent + SLACK
