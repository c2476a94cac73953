"""Bytes without end from the store, from other daemons and from many targets."""

import itertools

import gevent
import pytest
from gevent.pool import Group
from gevent.server import StreamServer
from gevent.socket import create_connection

from cairnferry.standins import unique_loopback_host, wait_for

from ._processes import DaemonProcess
from ._standins import HOST, configuration, rule, target_row
from .conftest import settings_text
from .test_endless_answers import FORMS, EndlessTarget

MEMORY_MB = 300
# Seconds for which the store sends without end.
ENDLESS_S = 4.0
MANY = 8
CALLERS = 24
REQUESTS = 120

STORE_FORMS = {
    "status line": (b"HTTP/1.1 200 ", b"a" * 65536),
    "garbage": (b"", b"\x00\xff" * 32768),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: a\r\n" * 6000),
    "body to the close": (b"HTTP/1.1 200 OK\r\n\r\n", b'{"a":' * 13000),
    "chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"[" * 65536 + b"\r\n",
    ),
    "announced body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
        b" " * 65536,
    ),
}


class EndlessRelay:
    """Relay to the store that answers by itself without end while `form` is set."""

    def __init__(self, port):
        self._port = port
        self._conns = Group()
        self._form = None
        self.pause_s = 0.0
        self.answers = 0
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def set_form(self, form):
        """Break all connections, and answer new ones in a form; None to relay."""
        self._form = form
        self._conns.kill()

    def stop(self):
        self._server.stop(timeout=0)
        self._conns.kill()

    def _serve(self, sock, address):
        task = self._conns.spawn(self._run, sock)
        task.join()
        sock.close()

    def _run(self, sock):
        try:
            if self._form is None:
                self._relay(sock)
                return
            sock.recv(65536)
            self.answers += 1
            start, repeated = self._form
            sock.sendall(start)
            while True:
                gevent.sleep(self.pause_s)
                sock.sendall(repeated)
        except OSError:
            return

    def _relay(self, sock):
        with create_connection((HOST, self._port)) as far:
            tasks = [
                gevent.spawn(_copy, sock, far),
                gevent.spawn(_copy, far, sock),
            ]
            try:
                gevent.wait(tasks, count=1)
            finally:
                gevent.killall(tasks)


def _copy(source, sink):
    while data := source.recv(65536):
        sink.sendall(data)


@pytest.fixture
def relay(store):
    relay = EndlessRelay(store.port)
    yield relay
    relay.stop()


@pytest.fixture
def start_process(tmp_path):
    started = []

    def start(store_port):
        host = unique_loopback_host(1)
        text = settings_text(store_port, host=host)
        daemon = DaemonProcess(tmp_path, host, f"{text}limits.memory_mb={MEMORY_MB}\n")
        started.append(daemon)
        return daemon

    yield start
    for daemon in started:
        daemon.kill()


@pytest.mark.parametrize("form", STORE_FORMS.values(), ids=STORE_FORMS)
def test_answers_of_the_store_without_end_leave_the_daemon_whole(
    form, store, relay, start_process, start_target
):
    """Guards against a daemon that runs out of memory by answers of the store."""
    store.put("op", "config", configuration())
    start_target()
    daemon = start_process(relay.port)
    wait_for(lambda: daemon.serves("/a/x"))
    relay.set_form(form)
    ends = gevent.spawn(gevent.sleep, ENDLESS_S)
    while not ends.ready():
        assert daemon.serves("/a/x")
        gevent.sleep(0.05)
    assert relay.answers > 0
    relay.set_form(None)
    store.put("op", "config", configuration(4, rules=[rule(prefix="/b/")]))
    wait_for(lambda: daemon.serves("/b/x"))
    assert daemon.is_alive()
    assert daemon.peak_memory() < MEMORY_MB * 1_000_000
    assert daemon.metric("cairnferry_task_restarts_total") is None


def test_an_answer_of_the_store_byte_by_byte_is_a_failed_call(
    store, relay, start_process, start_target
):
    """Guards against a daemon that waits for an answer for as long as it goes on."""
    store.put("op", "config", configuration())
    start_target()
    daemon = start_process(relay.port)
    wait_for(lambda: daemon.serves("/a/x"))
    relay.pause_s = 0.2
    relay.set_form((b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", b"{"))
    wait_for(lambda: daemon.logged("feed lost"))
    relay.set_form(None)
    store.put("op", "config", configuration(4, rules=[rule(prefix="/b/")]))
    wait_for(lambda: daemon.serves("/b/x"))


@pytest.mark.parametrize("form", FORMS)
def test_endless_answers_of_many_targets_leave_memory_for_others(
    form, store, start_process, start_target
):
    """Guards against requests that end with the daemon as many targets send forever."""
    rules = [rule(timeout="3s", attempts=2), rule("r-2", "/b/", service="two")]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    endless = [EndlessTarget(FORMS[form], checks_too=False) for _ in range(MANY)]
    for number, target in enumerate(endless):
        store.put("servers", f"e-{number}", target_row(target.port))
    other = start_target("i-1", service="two", load="1,0,200,100")
    store.put("servers", "i-1", target_row(other.port, "two", max_concurrency=200))
    daemon = start_process(store.port)
    wait_for(lambda: daemon.serves("/b/x"))
    numbers = itertools.count()
    statuses = []

    def call():
        for number in numbers:
            if number >= REQUESTS:
                return
            path = "/b/x" if number % 4 == 0 else "/a/x"
            reply = daemon.call(path, request_id=f"r-{number}")
            statuses.append((path, reply.status))

    gevent.joinall([gevent.spawn(call) for _ in range(CALLERS)], raise_error=True)
    for target in endless:
        target.stop()
    assert len(statuses) == REQUESTS
    others = [status for path, status in statuses if path == "/b/x"]
    assert set(others) == {200}
    assert {status for path, status in statuses if path == "/a/x"} <= {502, 503, 504}
    assert daemon.is_alive()
    assert daemon.peak_memory() < MEMORY_MB * 1_000_000
