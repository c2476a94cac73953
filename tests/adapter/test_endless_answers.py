"""Targets that send bytes without end, in a head, a body or a status check."""

import pytest
from gevent.server import StreamServer

from cairnferry.entry.targets._upstreams import MAX_CHECK_BYTES
from cairnferry.standins import wait_for
from cairnferry.wire._exchange import MAX_HEAD_BYTES

from ._standins import HOST, target_row
from .conftest import outcome

# Bytes that wait in the buffers of both sockets of a loopback connection.
SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024
CHUNK = b"a" * 65536
SIGNED = b"Cairnferry-Request-Id: req-1\r\nCairnferry-Response-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SIGNED

FORMS = {
    "status line": (b"HTTP/1.1 200 ", CHUNK),
    "garbage": (b"", b"\x00\xff" * 32768),
    "head line": (OK + b"X: ", CHUNK),
    "head lines": (OK, b"X-More: a\r\n" * 6000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2600),
    "chunked body": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + CHUNK + b"\r\n",
    ),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", CHUNK),
    "body to the close": (OK + b"\r\n", CHUNK),
}
BODIES = ("chunked body", "body to the close")


class EndlessTarget:
    """Target that answers status checks, and requests without end."""

    def __init__(self, form, checks_too):
        self.form = form
        self.checks_too = checks_too
        # Bytes sent in answer to each request, and to each status check.
        self.sent = []
        self.sent_to_checks = []
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        file = sock.makefile("rb")
        try:
            while line := file.readline():
                while file.readline() not in (b"\r\n", b""):
                    pass
                if line.startswith(b"GET /health") and not self.checks_too:
                    sock.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        b"Cairnferry-Instance-Id: i-1\r\n"
                        b"Cairnferry-Server-Load: 1,0,4,100\r\n\r\n"
                    )
                    continue
                is_check = line.startswith(b"GET /health")
                self._send_forever(sock, self.sent_to_checks if is_check else self.sent)
        except OSError:
            # The daemon has closed the connection.
            return
        finally:
            file.close()

    def _send_forever(self, sock, sent):
        start, repeated = self.form
        sent.append(0)
        number = len(sent) - 1
        sock.sendall(start)
        while True:
            sock.sendall(repeated)
            sent[number] += len(repeated)


@pytest.fixture
def start_endless(store):
    started = []

    def start(form, checks_too=False):
        target = EndlessTarget(FORMS[form], checks_too)
        started.append(target)
        store.put("servers", "i-1", target_row(target.port))
        return target

    yield start
    for target in started:
        target.stop()


@pytest.mark.parametrize("form", FORMS)
def test_endless_answer_is_abandoned_at_its_bound(
    daemon, start_endless, wait_for_targets, form
):
    """Guards against a daemon whose memory a target in trouble fills."""
    target = start_endless(form)
    wait_for_targets(daemon, "i-1")
    reply = daemon.call()
    assert reply.status in (502, 504)
    assert outcome(reply) == "unknown"
    bound = MAX_HEAD_BYTES
    if form in BODIES:
        bound = daemon.core.cfg.max_answer_bytes
    assert max(target.sent) <= bound + SOCKET_BUFFERS_BYTES


@pytest.mark.parametrize("form", FORMS)
def test_endless_answer_to_a_status_check_is_abandoned_at_its_bound(
    daemon, start_endless, wait_for_targets, form
):
    """Guards against a status check that never ends, or fills a daemon's memory."""
    target = start_endless(form, checks_too=True)
    wait_for_targets(daemon, "i-1")
    daemon.call(deadline_ms=1_000)
    wait_for(lambda: target.sent_to_checks)
    assert max(target.sent_to_checks) <= MAX_CHECK_BYTES + SOCKET_BUFFERS_BYTES
