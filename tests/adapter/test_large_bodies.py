"""Many senders of large bodies at one daemon with little memory."""

import contextlib
import resource

import gevent
import pytest
from gevent.socket import create_connection

from cairnferry.standins import unique_loopback_host, wait_for

from ._processes import DaemonProcess
from ._standins import configuration, rule
from .conftest import settings_text

MEMORY_BYTES = 152_000_000
MEMORY = f"limits.memory_mb={MEMORY_BYTES // 1_000_000}\n"
LARGEST_BODY = 64 * 1024 * 1024
LARGEST_HELD = MEMORY_BYTES // 5
SENDERS = 40
PEAK_METRIC = "cairnferry_memory_peak_bytes"
HELD_METRIC = "cairnferry_bodies_bytes"
REFUSED_METRIC = "cairnferry_bodies_refused_total"


@pytest.fixture
def small_daemon(store, start_target, tmp_path):
    """Return a daemon process with a limit on the memory that it can allocate."""
    rules = [rule(kind="unsafe", timeout="60s")]
    store.put("op", "config", configuration(rules=rules, max_body_bytes=LARGEST_BODY))
    start_target()
    text = settings_text(store.port, host=unique_loopback_host(1))
    daemon = DaemonProcess(tmp_path, unique_loopback_host(1), f"{text}{MEMORY}")
    limits = (MEMORY_BYTES, MEMORY_BYTES)
    resource.prlimit(daemon.process.pid, resource.RLIMIT_DATA, limits)
    wait_for(lambda: daemon.serves("/a/first"))
    yield daemon
    daemon.kill()


def read_answer(conn):
    """Return the head and the beginning of the body of an answer."""
    received = b""
    with contextlib.suppress(OSError):
        while b"\r\n\r\n" not in received or received.endswith(b"\r\n\r\n"):
            data = conn.recv(4096)
            if not data:
                break
            received += data
    return received


def send_body(daemon, size):
    """Send a request with a body of a size, and return the answer."""
    head = (
        "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nCairnferry-Request-Id: r\r\n"
        f"Cairnferry-Deadline-Ms: 60000\r\nContent-Length: {size}\r\n\r\n"
    )
    part = bytes(1 << 16)
    address = (daemon.host, daemon.cfg.callers.port)
    with create_connection(address) as conn:
        reader = gevent.spawn(read_answer, conn)
        # A refused sender goes on until the daemon has closed the connection.
        with contextlib.suppress(OSError):
            conn.sendall(head.encode())
            for start in range(0, size, len(part)):
                conn.sendall(part[: size - start])
        return reader.get()


@pytest.mark.parametrize("size", [LARGEST_BODY, LARGEST_HELD])
def test_large_bodies_leave_memory_and_service_for_others(small_daemon, size):
    """Guards against a daemon that runs out of memory under large uploads.

    40 callers send the largest body that the rules allow, or the largest one that the
    daemon holds. The others get an answer to each request meanwhile.
    """
    daemon = small_daemon
    senders = [gevent.spawn(send_body, daemon, size) for _ in range(SENDERS)]
    served = 0
    while not all(sender.ready() for sender in senders):
        assert daemon.serves("/a/other")
        served += 1
    statuses = [sender.get().split(b" ", 2)[1] for sender in senders]
    refused = [s.get() for s in senders if b"bodies-full" in s.get()]
    assert statuses.count(b"200") + len(refused) == SENDERS
    assert all(b"Retry-After: 0." in answer for answer in refused)
    assert served
    assert daemon.metric(REFUSED_METRIC) == len(refused)
    wait_for(lambda: daemon.metric(HELD_METRIC) == 0)
    assert daemon.metric(PEAK_METRIC) < MEMORY_BYTES
    assert send_body(daemon, LARGEST_HELD).startswith(b"HTTP/1.1 200 ")
    assert daemon.process.poll() is None
