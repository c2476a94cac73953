"""Tasks of a daemon that all end at once, from inside or from outside."""

import gevent
import pytest

from cairnferry.entry import _restarting_task
from cairnferry.standins import wait_for

from ._standins import configuration, rule


class Interruption(BaseException):
    """An exception that no task expects."""


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.05)


WAYS = {
    "error": ValueError("x"),
    "timeout": gevent.Timeout(1),
    "interruption": Interruption(),
    "kill": gevent.GreenletExit(),
}


@pytest.mark.parametrize("failure", WAYS.values(), ids=WAYS)
def test_a_daemon_whose_tasks_all_end_goes_on(
    failure, store, daemon, start_target, wait_for_targets
):
    """Guards against a daemon that serves, but follows the store no longer.

    All tasks end at once, and again after they were started.
    """
    start_target("i-1")
    wait_for_targets(daemon, "i-1")
    core = daemon.core
    running = [task for task in core._tasks if task.is_running]
    assert len(running) >= 10
    for count in (1, 2):
        ended = [task._greenlet for task in running]
        for greenlet in ended:
            greenlet.kill(failure, block=False)
        gevent.joinall(ended)
        wait_for(lambda old=ended: not {t._greenlet for t in running} & set(old))
        assert core.metrics.task_restarts.total() == count * len(running)
    start_target("i-2")
    wait_for_targets(daemon, "i-1", "i-2")
    store.drop("servers", "i-1")
    wait_for_targets(daemon, "i-2")
    store.put("op", "config", configuration(7, rules=[rule(prefix="/b/")]))
    wait_for(lambda: core.services.revision == 7)
    assert daemon.call("/b/x").status == 200
    assert all(task.is_running for task in running)
    text = core.state_view.metrics_page("/metrics").body.decode()
    assert 'cairnferry_task_restarts_total{task="Follower.run"} 6' in text
