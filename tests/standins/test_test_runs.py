"""Test runs that share a machine, and test runs that are ended by a signal."""

import pathlib
import signal
import subprocess
import sys

import pytest

from cairnferry.standins import start_child, wait_for
from cairnferry.standins._ports import BLOCK_PORTS, PortBlock

# Starts a child, prints its process ID and waits. Under nohup, SIGHUP is ignored, and
# processes that are started inherit that.
PARENT = """
import signal, sys, time
from cairnferry.standins import start_child
signal.signal(signal.SIGHUP, signal.SIG_DFL)
child = start_child([sys.executable, "-c", "import time; time.sleep(600)"])
print(child.pid, flush=True)
time.sleep(600)
"""


def test_concurrent_test_runs_use_different_ports():
    """Guards against a daemon that ends at its start as another run took its port."""
    blocks = [PortBlock() for _ in range(3)]
    try:
        ports = [block.next_port() for block in blocks for _ in range(BLOCK_PORTS)]
    finally:
        for block in blocks:
            block.release()
    assert len(set(ports)) == 3 * BLOCK_PORTS


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGHUP])
def test_processes_end_with_a_killed_test_run(number):
    """Guards against processes that a test run leaves behind when it is killed."""
    parent = start_child(
        [sys.executable, "-c", PARENT], stdout=subprocess.PIPE, text=True
    )
    child = int(parent.stdout.readline())
    assert is_running(child)
    parent.send_signal(number)
    parent.wait()
    wait_for(lambda: not is_running(child))


def is_running(process_id):
    """Return whether a process exists and has not ended."""
    try:
        stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"
