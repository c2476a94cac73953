"""Callers on plain sockets that record what became of each request."""

import socket
import time

import attrs
import gevent
import gevent.select
import gevent.socket

from bench.stopping._receive_queue import ReceiveQueues
from bench.stopping._system import HOST_NAME

CONNECT_S = 1.0
# Seconds after its time at which a caller leaves.
LEAVE_S = 1.0
# Seconds between two looks at what daemons have not read.
LOOK_S = 0.02
SIGNATURE = "cairnferry-response-signature"


@attrs.define(eq=False)
class Sent:
    """A request and its answer.

    Attributes
    ----------
    request_id : str
        Its ID.
    daemon : Daemon
        To which it was sent.
    is_safe : bool
        Whether its route is safe.
    first_at, last_at, slack_from : float or None
        Monotonic times in seconds right before the first and the last byte were sent,
        and right after the last one.
    read_at : float or None
        When the daemon was first seen to have taken the whole request from the socket.
    status : int or None
        Status of the answer.
    is_targets : bool
        Whether the answer is a target's and complete.
    ended_at : float or None
        When the answer was complete, or its connection ended.
    end : str
        "answer", or how the connection ended: "fin", "reset", "refused" (no connection
        could be opened), "closed" (found closed before it was sent) or "left" (the
        caller's time was over).
    """

    request_id: str
    daemon: object
    is_safe: bool
    first_at: float | None = None
    last_at: float | None = None
    slack_from: float | None = None
    read_at: float | None = None
    status: int | None = None
    is_targets: bool = False
    ended_at: float | None = None
    end: str = ""


class Callers:
    """Sends requests and keeps the record of them.

    Parameters
    ----------
    caller_time_s : float
        Seconds that callers wait.
    """

    def __init__(self, caller_time_s):
        self.sent = []
        self._caller_time_s = caller_time_s
        self._conns = set()

    def connect(self, daemon):
        """Return a new connection, or None if it is refused."""
        try:
            sock = gevent.socket.create_connection(daemon.address, CONNECT_S)
        except OSError:
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(sock, daemon, self._caller_time_s)
        self._conns.add(conn)
        return conn

    def look_forever(self):
        """Note which requests the daemons have read."""
        queues = ReceiveQueues()
        try:
            while True:
                for conn in list(self._conns):
                    if conn.is_open:
                        conn.look(queues)
                    else:
                        self._conns.discard(conn)
                gevent.sleep(LOOK_S)
        finally:
            queues.close()

    def connect_used(self, daemon, number):
        """Return a connection that has been used for one request."""
        conn = self.connect(daemon)
        first = Sent(f"use-{daemon.name}-{number}", daemon, True)
        if conn is None or not conn.exchange(first, 0.0) or first.status != 200:
            raise RuntimeError(f"{daemon.name} did not serve before its stop: {first}")
        return conn

    def begin(self, daemon, is_safe):
        """Return the record of a new request."""
        sent = Sent(f"req-{len(self.sent)}", daemon, is_safe)
        self.sent.append(sent)
        return sent

    def refused(self, daemon, is_safe):
        """Record a request for which there was no connection."""
        sent = self.begin(daemon, is_safe)
        sent.first_at = sent.ended_at = time.monotonic()
        sent.end = "refused"


class Connection:
    """A connection to a daemon."""

    def __init__(self, sock, daemon, caller_time_s):
        self.daemon = daemon
        self.is_open = True
        self._sock = sock
        self._file = sock.makefile("rb")
        self._caller_time_s = caller_time_s
        self._pending = 0
        # The kernel reports a reset once, so that a later read finds an orderly end.
        self._is_reset = False
        self._last_end = ""
        self._sent_bytes = 0
        # Requests not seen to be read yet, with the number of their last byte.
        self._unread = []

    def look(self, queues):
        """Note the requests that the daemon has taken from the socket."""
        if not self._unread:
            return
        waiting = queues.unread(self.daemon.address, self._sock.getsockname())
        if waiting is None:
            return
        now = time.monotonic()
        for sent, last in self._unread:
            if last <= self._sent_bytes - waiting:
                sent.read_at = now
        self._unread = [each for each in self._unread if each[0].read_at is None]

    def exchange(self, sent, work_s, body=b"", pause_s=0.0):
        """Send a request and read its answer; return whether the connection stays."""
        self.send(sent, work_s, body, pause_s)
        self.read(sent)
        return self.is_open

    def send(self, sent, work_s, body=b"", pause_s=0.0):
        """Send a request.

        With a pause, the head and the first byte of the body are sent that long before
        the other bytes. Nothing is sent if an idle connection was closed.
        """
        sent.first_at = time.monotonic()
        if self._is_closed():
            self._end(sent, "closed")
            return
        data = self._encode(sent, work_s, body)
        self._pending += 1
        try:
            if pause_s:
                first, data = data[: 1 - len(body)], data[1 - len(body) :]
                self._sock.sendall(first)
                self._sent_bytes += len(first)
                gevent.sleep(pause_s)
            sent.last_at = time.monotonic()
            self._sock.sendall(data)
            sent.slack_from = time.monotonic()
            self._sent_bytes += len(data)
            self._unread.append((sent, self._sent_bytes))
        except OSError:
            # There may be an answer to read all the same.
            self._is_reset = True

    def _is_closed(self):
        if not self.is_open:
            return True
        is_idle = not self._pending
        return is_idle and bool(gevent.select.select([self._sock], [], [], 0)[0])

    def _encode(self, sent, work_s, body):
        method, route = ("GET", "s") if sent.is_safe else ("POST", "u")
        lines = [
            f"{method} /{route}/{round(work_s * 1000)}/{sent.request_id} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Cairnferry-Request-Id: {sent.request_id}",
            f"Cairnferry-Deadline-Ms: {round(self._caller_time_s * 1000)}",
        ]
        if not sent.is_safe:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def read(self, sent):
        """Read the answer to the oldest request that has none yet."""
        if sent.end:
            return
        if not self.is_open:
            self._end(sent, self._last_end)
            return
        left = sent.first_at + self._caller_time_s + LEAVE_S - time.monotonic()
        self._sock.settimeout(max(0.01, left))
        try:
            if not self._read_answer(sent):
                self._end(sent, "reset" if self._is_reset else "fin")
        except TimeoutError:
            self._end(sent, "left")
        except OSError:
            self._end(sent, "reset")

    def _read_answer(self, sent):
        """Read an answer; return whether it is complete."""
        line = self._file.readline()
        if not line.endswith(b"\n"):
            return False
        status = int(line.split()[1])
        headers = {}
        while (line := self._file.readline()) != b"\r\n":
            if not line.endswith(b"\n"):
                return False
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(self._file.read(length)) < length:
            return False
        sent.ended_at = time.monotonic()
        sent.end = "answer"
        sent.status = status
        receipt = headers.get(SIGNATURE, "")
        sent.is_targets = receipt.endswith(f".{sent.request_id}")
        self._pending -= 1
        if headers.get("connection", "").lower() == "close" and not self._pending:
            self.close()
        return True

    def _end(self, sent, how):
        sent.ended_at = time.monotonic()
        sent.end = self._last_end = how
        self.close()

    def close(self):
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self._file.close()
            self._sock.close()
