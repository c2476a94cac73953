"""Daemon processes that are killed repeatedly, and targets that refuse requests."""

from collections import Counter

import pytest

from cairnferry.entry.core import _core
from cairnferry.standins import wait_for

from ._processes import ALIVE_METRIC, running_fleet
from ._standins import HostedTarget, configuration, rule, target_row

DAEMONS = ("hall", "yard")
TARGETS = 8
RESTARTS = 5
# Calls to each daemon before each restart.
CALLS = 10
RATIO = 0.2
SLACK = 10
# The window is longer than the test, so that the whole test is in one window.
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


def count_further_arrivals(targets):
    ids = Counter(
        headers["cairnferry-request-id"]
        for target in targets
        for _, _, headers, _ in target.seen
    )
    return sum(count - 1 for count in ids.values())


def test_restarted_daemons_do_not_spend_retry_budget_twice(store, targets, tmp_path):
    """Guards against a restarted process that spends the same budget again."""
    store.put("op", "config", configuration(rules=[rule(attempts=2)]))
    settings = [WINDOW, BUDGET]
    with running_fleet(store.port, DAEMONS, tmp_path, settings) as fleet:
        refuse_all(targets)
        sent = 0
        for restart_number in range(RESTARTS):
            for index, process in enumerate(fleet):
                for number in range(CALLS):
                    process.call(
                        "/a/x", request_id=f"r-{restart_number}-{index}-{number}"
                    )
                    sent += 1
            for index, process in enumerate(fleet):
                process.kill()
                fleet[index] = process.restart()
            for process in fleet:
                wait_for(lambda each=process: each.metric(ALIVE_METRIC) == len(DAEMONS))
    further = count_further_arrivals(targets)
    assert 0 < further <= RATIO * sent + SLACK


def test_newly_enrolled_daemon_counts_other_instances_at_once(
    store, start_daemon, monkeypatch
):
    """Guards against a new daemon that uses the slack of all instances alone."""
    monkeypatch.setattr(_core, "SHARE_UPDATE_S", 3600.0)
    first, second = (start_daemon(name, wait=False) for name in ("front-1", "front-2"))
    for daemon in (first, second):
        wait_for(lambda each=daemon: len(each.core.cluster.listed) == 2)
        assert daemon.core.instances == 2
