"""Tasks that end early, from inside or from outside, and are started again."""

import gevent
import pytest
from gevent.event import Event

from cairnferry.entry import _restarting_task
from cairnferry.entry._restarting_task import RestartingTask


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.01)


class Work:
    """Counts its starts, and runs until it is told what to raise."""

    def __init__(self):
        self.starts = 0
        self.started = Event()
        self.failure = None
        self.wake = Event()

    def run(self):
        self.starts += 1
        self.started.set()
        self.wake.wait()
        self.wake.clear()
        failure, self.failure = self.failure, None
        if failure is not None:
            raise failure

    def wait_for_start(self):
        assert self.started.wait(5)
        self.started.clear()


class Interruption(BaseException):
    """An exception that is none of the usual ones."""


@pytest.fixture
def work():
    work = Work()
    restarts = []
    work.task = RestartingTask(work.run, restarts.append)
    work.restarts = restarts
    work.task.ensure_running()
    yield work
    work.task.stop()


ENDS = {
    "error": ValueError("x"),
    "timeout": gevent.Timeout(1),
    "interruption": Interruption(),
    "exit": gevent.GreenletExit(),
}


@pytest.mark.parametrize("failure", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("way", ["inside", "outside"])
def test_a_task_that_ends_early_is_started_again(work, failure, way, caplog):
    """Guards against a daemon that goes on without one of its tasks."""
    for count in range(1, 4):
        work.wait_for_start()
        if way == "inside":
            work.failure = failure
            work.wake.set()
        else:
            work.task._greenlet.kill(failure, block=False)
        work.started.wait(5)
        assert work.restarts == ["Work.run"] * count
    work.wait_for_start()
    assert work.starts == 4
    assert [line.task for line in caplog.records] == ["Work.run"] * 3


@pytest.mark.parametrize("failure", ENDS.values(), ids=ENDS)
def test_a_task_that_is_killed_before_it_begins_is_started_again(work, failure):
    """Guards against a task that is missing since its start."""
    work.task._greenlet.kill(failure, block=False)
    work.wait_for_start()
    assert work.starts == 1


def test_a_task_that_is_killed_in_the_pause_is_started_again(work, monkeypatch):
    """Guards against a task whose second start is lost."""
    monkeypatch.setattr(_restarting_task, "RETRY_S", 30)
    work.wait_for_start()
    work.failure = ValueError("x")
    work.wake.set()
    while not work.restarts:
        gevent.sleep(0)
    assert work.task.is_running
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.01)
    work.task._greenlet.kill(block=False)
    work.wait_for_start()


def test_a_task_that_returns_is_started_only_on_demand(work):
    work.wait_for_start()
    work.wake.set()
    while work.task.is_running:
        gevent.sleep(0)
    gevent.sleep(0.05)
    assert work.starts == 1
    work.task.ensure_running()
    work.task.ensure_running()
    work.wait_for_start()
    assert work.starts == 2
    assert not work.restarts


def test_a_stopped_task_is_not_started_again(work):
    work.wait_for_start()
    work.task.stop()
    work.task.ensure_running()
    gevent.sleep(0.05)
    assert not work.task.is_running
    assert work.starts == 1
