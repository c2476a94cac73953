"""A daemon in a process with the limits of a small machine, and crowds for it."""

import contextlib
import itertools
import os
import resource

import gevent
import pytest
from gevent.socket import create_connection

from cairnferry.standins import unique_loopback_host, wait_for
from tests.adapter._processes import METRICS_PORT, DaemonProcess
from tests.adapter._standins import HostedTarget, configuration, rule, target_row
from tests.adapter.conftest import settings_text

from ._shapes import call_again_and_again, head
from ._table import MAX_FILES, MEMORY_MB, ORDER_BYTES

RULES = [
    rule("r-1", "/a/", timeout="60s", attempts=2),
    rule("r-2", "/o/", kind="unsafe", timeout="60s", attempts=2),
]
LARGEST_BODY = 64 * 1024 * 1024
TARGETS = 6
SLOTS = 100
# Seconds for which a crowd is at it before an ordinary caller comes.
CROWD_S = 3.0
ANSWER_S = 40


class WatchedDaemon(DaemonProcess):
    """A daemon whose descriptors are read from the kernel."""

    _numbers = itertools.count()

    def address(self, listener):
        """Return the address of a listener by its name in the table of crowds."""
        match listener:
            case "peers":
                return self.host, self.cfg.peer_port
            case "metrics":
                return self.host, METRICS_PORT
        return getattr(self.cfg, listener).as_tuple()

    def descriptors(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def ask(self, method, path, body=b"", pause_s=0.0, part=1 << 16):
        """Send a request on a new connection; return the status and the body's size.

        `pause_s` is the time between two parts of the answer, and of the body.
        """
        name = f"ordinary-{next(self._numbers)}"
        length = f"Content-Length: {len(body)}"
        with (
            gevent.Timeout(ANSWER_S),
            create_connection(self.address("callers")) as conn,
        ):
            conn.sendall(head(method, path, name, length, "Connection: close"))
            for start in range(0, len(body), part):
                conn.sendall(body[start : start + part])
                gevent.sleep(pause_s)
            received, taken = b"", 0
            while data := conn.recv(part):
                # Only the head is kept.
                received = received if b"\r\n\r\n" in received else received + data
                taken += len(data)
                gevent.sleep(pause_s)
        status = received.split(b" ", 2)[1].decode() if received else ""
        if status != "200":
            # Shown in the report of the test.
            print(f"{method} {path}: {received!r}")
        return status, taken - received.find(b"\r\n\r\n") - 4

    def serves_others(self):
        """Return whether an order and a GET of ordinary callers are answered."""
        order = self.ask("POST", "/o/10", bytes(ORDER_BYTES))
        look = self.ask("GET", "/a/10")
        return order == look == ("200", 10)


@contextlib.contextmanager
def running_crowd(daemon, crowd, seconds=CROWD_S):
    """Let a crowd call a daemon for some seconds, and on in the context."""
    address = daemon.address(crowd.listener)
    callers = [
        gevent.spawn(call_again_and_again, address, crowd, f"{crowd.name}-{number}")
        for number in range(crowd.count)
    ]
    try:
        gevent.sleep(seconds)
        yield
    finally:
        gevent.killall(callers)


def answer_by_path(target):
    """Answer with as many bytes as the last part of the path says."""

    def behave(number):
        size = int(target.seen[-1][1].rpartition("/")[2])
        del target.seen[:]
        return target.answer("{id}", bytes(size), proof=True)

    return behave


@pytest.fixture
def start_targets(store):
    """Start targets that answer with as many bytes as the path says."""
    targets = []
    for number in range(TARGETS):
        target = HostedTarget(f"i-{number}", load=f"1,0,{SLOTS},100")
        target.behave = answer_by_path(target)
        targets.append(target)
        row = target_row(target.port, max_concurrency=SLOTS)
        store.put("servers", target.name, row)
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def start_watched(store, start_targets, tmp_path):
    """Start daemons with the limits of a small machine."""
    daemons = []

    def start(max_body_bytes=LARGEST_BODY, number=1, seeds=()):
        limits = {"max_body_bytes": max_body_bytes}
        store.put("op", "config", configuration(rules=RULES, **limits))
        host = unique_loopback_host(number)
        text = settings_text(store.port, f"front-{number}", seeds, host)
        text = text.replace("max_fds=4100", f"max_fds={MAX_FILES}")
        text += f"limits.memory_mb={MEMORY_MB}\n"
        daemon = WatchedDaemon(tmp_path, host, text)
        daemons.append(daemon)
        files = (MAX_FILES, MAX_FILES)
        resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, files)
        wait_for(lambda: daemon.serves("/a/1"))
        return daemon

    yield start
    for daemon in daemons:
        daemon.kill()


@pytest.fixture
def small_daemon(start_watched):
    return start_watched()


@pytest.fixture(autouse=True, scope="session")
def enough_descriptors():
    """Let the process of the tests open a connection for each caller of a crowd."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
