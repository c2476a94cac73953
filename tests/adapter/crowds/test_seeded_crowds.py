"""Crowds of any shape at any listener, drawn from seeds, while the daemon changes."""

import contextlib
import signal

import gevent
import pytest

from cairnferry.standins import wait_for
from tests.adapter._standins import configuration

from ._generator import draw
from ._table import DESCRIPTORS, MEMORY_BYTES
from .conftest import LARGEST_BODY, RULES, running_crowd

pytestmark = pytest.mark.alone

# Seconds between two events.
STEP_S = 0.7


def pytest_generate_tests(metafunc):
    metafunc.parametrize("seed", metafunc.config.getoption("--crowd-seeds"))


def test_daemon_outlasts_drawn_crowds(small_daemon, store, seed):
    """Guards against crowds of shapes that nobody has thought of together.

    The crowds overlap. Meanwhile the rules change and settings are read again, and at
    last the daemon is stopped, while its callers go on.
    """
    daemon = small_daemon
    with contextlib.ExitStack() as crowds:
        for crowd in draw(seed):
            crowds.enter_context(running_crowd(daemon, crowd, STEP_S))
        assert daemon.serves_others()
        limits = {"max_body_bytes": LARGEST_BODY}
        store.put("op", "config", configuration(4, rules=RULES, **limits))
        daemon.process.send_signal(signal.SIGHUP)
        gevent.sleep(STEP_S)
        assert daemon.serves_others()
        assert daemon.descriptors() < DESCRIPTORS
    assert daemon.serves_others()
    assert daemon.peak_memory() < MEMORY_BYTES
    with contextlib.ExitStack() as crowds:
        for crowd in draw(seed):
            crowds.enter_context(running_crowd(daemon, crowd, STEP_S))
        assert daemon.serves_others()
        assert daemon.is_alive()
        assert daemon.peak_memory() < MEMORY_BYTES
        daemon.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not daemon.is_alive())
    assert daemon.process.returncode in (0, 1)
