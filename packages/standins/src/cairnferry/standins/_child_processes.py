"""Child processes that end with the process that started them."""

import ctypes
import os
import signal
import subprocess

# Option of prctl(2): signal that a process receives when its parent ends.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


def start_child(command: list[str], **options) -> subprocess.Popen:
    """Start a process that is killed when this process ends.

    A test run that is ended by a signal cannot stop the processes that it started.
    They would keep their ports and use the processor.

    Parameters
    ----------
    command : list of str
        Program and arguments.
    **options
        Options of `subprocess.Popen`.
    """
    parent = os.getpid()
    return subprocess.Popen(
        command, preexec_fn=lambda: _end_with_parent(parent), **options
    )


def _end_with_parent(parent):
    """Request a SIGKILL at the end of the parent; runs in the child."""
    if _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        # The parent ended before the request was made.
        os._exit(1)
