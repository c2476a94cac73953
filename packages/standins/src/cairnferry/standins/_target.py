"""Stand-in for a target: slots, service time, load reports, and faults."""

import enum
import hashlib
import json
import random
import time
from collections import deque

import attrs
import gevent
from gevent.lock import BoundedSemaphore

from cairnferry.standins._http import ReceivedRequest, SocketServer, encode_answer

CONTROL_PATH = "/_control"
HEALTH_PATH = "/health"
ID_HEADER = "x-request-id"
REFUSAL_HEADER = "X-Refused"
REPORT_HEADER = "endpoint-load-metrics"
LIMIT_HEADER = "Server-Limit"
# Colon, space and line end of a header field.
FIELD_BYTES = 4
# A probe's request and answer, as they stand on the wire.
PROBE_BYTES = 160
HANG_S = 3600.0


class Fault(enum.StrEnum):
    """What goes wrong with each request while it is switched on."""

    NONE = "none"
    FAIL_FAST = "fail-fast"
    CUT_BEFORE_RUN = "cut-before-run"
    CUT_AFTER_RUN = "cut-after-run"
    CUT_ANSWER = "cut-answer"
    HANG = "hang"
    NO_LENGTH = "no-length"
    TWO_ANSWERS = "two-answers"
    OVERSIZE = "oversize"


@attrs.define
class TargetBehaviour:
    """How the target behaves; each part is switched while it runs.

    Attributes
    ----------
    slots : int
        Requests that run at the same time; others queue.
    service_ms : float
        Time of one request in milliseconds.
    spread : float
        Share by which that time varies at random, 0 to 1.
    slow_factor : float
        Factor on the service time.
    cold_s, cold_factor : float
        Seconds from the start for which a further factor holds.
    shed : bool
        Whether it sheds all work as overloaded.
    max_queue : int
        Requests that may queue; more are shed.
    draining : bool
        Whether its health answer says that it is leaving.
    refuse_draining : bool
        Whether it refuses work while it drains.
    refuse_work : bool
        Whether it refuses work as draining while its health answer says pass.
    reports : bool
        Whether answers carry a load report.
    report_lag_ms : float
        Age of the reported load, in milliseconds.
    report_error : float
        Factor on the reported load; 1 is right.
    shed_by_contract : bool
        Whether a refusal carries the contract's header.
    fault : Fault
        What goes wrong.
    noise_ms, noise_share : float
        Time in milliseconds added to a share (0 to 1) of the requests.
    ends_on : str
        Part of a path: a request that has it ends the target as it begins to run.
    down_s : float
        Seconds after which a target that ended so is back.
    limit : str
        Requests a second that its answers say it takes; empty for none.
    answer_delay_ms : float
        Time between the end of the run and the answer, in milliseconds.
    """

    slots: int = 6
    service_ms: float = 5.0
    spread: float = 0.2
    slow_factor: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    max_queue: int = 1000
    shed: bool = False
    draining: bool = False
    refuse_draining: bool = False
    refuse_work: bool = False
    reports: bool = True
    report_lag_ms: float = 0.0
    report_error: float = 1.0
    shed_by_contract: bool = True
    fault: Fault = attrs.field(default=Fault.NONE, converter=Fault)
    noise_ms: float = 0.0
    noise_share: float = 0.0
    answer_delay_ms: float = 0.0
    ends_on: str = ""
    down_s: float = 1.0
    limit: str = ""


class TargetStandin:
    """One target on one port.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to listen.
    name : str
        Name that its answers give.
    behaviour : TargetBehaviour
        How it behaves.
    seed : int, optional
        Seed of its random choices.
    journal : file, optional
        Gets a line for each request that arrives or runs, so that both are
        known even of a target that was killed.
    """

    def __init__(self, address, name, behaviour, seed=1, journal=None):
        self.name = name
        self.behaviour = behaviour
        self.runs: list[tuple[str, str]] = []
        self.seen: list[tuple[float, str, str]] = []
        self.probes = 0
        self.measuring_bytes = 0
        self.refusals = 0
        self.failures = 0
        self.in_use = 0
        self.ends = 0
        self._journal = journal
        self._rng = random.Random(seed)
        self._slots = BoundedSemaphore(behaviour.slots)
        self._started = time.monotonic()
        self._loads = deque([(0.0, 0)], maxlen=20000)
        self.server = SocketServer(address, self._handle)

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self.server.port

    def start(self) -> None:
        """Begin to serve."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once, as a process that is killed."""
        self.server.stop()

    def leave(self, notice: float, limit: float) -> None:
        """Say that it is leaving, serve on for a while, finish, then stop.

        Parameters
        ----------
        notice : float
            Seconds for which it serves on.
        limit : float
            Longest time in seconds for requests in flight after that.
        """
        self.behaviour.draining = True
        gevent.sleep(notice)
        self.server.stop_accepting()
        with gevent.Timeout(limit, False):
            while self.in_use:
                gevent.sleep(0.01)
        self.stop()

    def _handle(self, sock, req):
        if req.path.startswith(CONTROL_PATH):
            return self._send_json(sock, 200, self._control(req))
        if req.path == HEALTH_PATH:
            self.probes += 1
            self.measuring_bytes += PROBE_BYTES
            status = "draining" if self.behaviour.draining else "pass"
            return self._send_json(sock, 200, {"status": status})
        request_id = req.headers.get(ID_HEADER, "")
        self.seen.append((time.monotonic(), req.method, request_id))
        self._write("seen", req.method, request_id)
        return self._work(sock, req, request_id)

    def _control(self, req: ReceivedRequest):
        """Change the behaviour, or report what was seen."""
        changes = json.loads(req.body) if req.body else {}
        for name, value in changes.items():
            converted = Fault(value) if name == "fault" else value
            setattr(self.behaviour, name, converted)
        return {
            "name": self.name,
            "seen": len(self.seen),
            "probes": self.probes,
            "measuring_bytes": self.measuring_bytes,
            "refusals": self.refusals,
            "failures": self.failures,
            "in_use": self.in_use,
            "ends": self.ends,
            "connections": self.server.connections,
        }

    def _write(self, event, method, request_id):
        if self._journal is not None:
            line = json.dumps([event, time.monotonic(), method, request_id])
            self._journal.write(line + "\n")
            self._journal.flush()

    def _work(self, sock, req, request_id):
        behaviour = self.behaviour
        if behaviour.fault is Fault.CUT_BEFORE_RUN:
            return False
        if behaviour.fault is Fault.FAIL_FAST:
            self.failures += 1
            return self._send_json(sock, 500, {"error": "fail-fast"})
        if behaviour.refuse_work or (behaviour.draining and behaviour.refuse_draining):
            return self._refuse(sock, "draining")
        if behaviour.shed or self.in_use >= behaviour.slots + behaviour.max_queue:
            return self._refuse(sock, "overloaded")
        if behaviour.ends_on and behaviour.ends_on in req.path:
            return self._end()
        self._count(1)
        try:
            with self._slots:
                gevent.sleep(self._service_time())
                self.runs.append((req.method, request_id))
                self._write("ran", req.method, request_id)
        finally:
            self._count(-1)
        return self._answer(sock, req, request_id)

    def _end(self):
        """End with all that runs, and be back after a while."""
        self.ends += 1
        self.server.abort()
        gevent.spawn_later(self.behaviour.down_s, self.server.start_again)
        return False

    def _service_time(self):
        behaviour = self.behaviour
        seconds = behaviour.service_ms / 1000 * behaviour.slow_factor
        seconds *= 1 + behaviour.spread * (2 * self._rng.random() - 1)
        if time.monotonic() - self._started < behaviour.cold_s:
            seconds *= behaviour.cold_factor
        if behaviour.noise_ms and self._rng.random() < behaviour.noise_share:
            seconds += behaviour.noise_ms / 1000
        return seconds

    def _count(self, step):
        self.in_use += step
        if self.behaviour.report_lag_ms:
            self._loads.append((time.monotonic(), self.in_use))

    def _refuse(self, sock, reason):
        self.refusals += 1
        headers = [("Retry-After", "1")]
        if self.behaviour.shed_by_contract:
            headers.append((REFUSAL_HEADER, reason))
        headers += self._report()
        sock.sendall(encode_answer(503, headers, b"refused"))
        return True

    def _answer(self, sock, req, request_id):
        behaviour = self.behaviour
        if behaviour.answer_delay_ms:
            gevent.sleep(behaviour.answer_delay_ms / 1000)
        if behaviour.fault is Fault.CUT_AFTER_RUN:
            return False
        if behaviour.fault is Fault.HANG:
            gevent.sleep(HANG_S)
        body = answer_body(req, request_id, self.name)
        if req.method == "HEAD":
            body = b""
        data = encode_answer(200, [(ID_HEADER, request_id), *self._report()], body)
        return self._send_broken(sock, data, body)

    def _send_broken(self, sock, data, body):
        """Send an answer, broken as the fault has it."""
        match self.behaviour.fault:
            case Fault.CUT_ANSWER:
                sock.sendall(data[:-5])
                return False
            case Fault.NO_LENGTH:
                sock.sendall(b"HTTP/1.1 200 Status\r\n\r\n" + body[:-5])
                return False
            case Fault.TWO_ANSWERS:
                sock.sendall(data + data)
                return True
            case Fault.OVERSIZE:
                sock.sendall(encode_answer(200, [], b"x" * 32 * 1024 * 1024))
                return True
        sock.sendall(data)
        return True

    def _report(self):
        named = [(LIMIT_HEADER, self.behaviour.limit)] if self.behaviour.limit else []
        if not self.behaviour.reports:
            return named
        value = self._reported_load() * self.behaviour.report_error
        text = f"TEXT named_metrics.in_use={value:g}"
        self.measuring_bytes += len(REPORT_HEADER) + len(text) + FIELD_BYTES
        return [*named, (REPORT_HEADER, text)]

    def _reported_load(self):
        if not self.behaviour.report_lag_ms:
            return self.in_use
        shown_at = time.monotonic() - self.behaviour.report_lag_ms / 1000
        shown = 0
        for at, load in reversed(self._loads):
            if at <= shown_at:
                shown = load
                break
        return shown

    def _send_json(self, sock, status, document):
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), *self._report()]
        sock.sendall(encode_answer(status, headers, body))
        return True


def read_journal(path) -> dict[str, list[tuple[float, str, str]]]:
    """Read a journal; give time, method and request ID by "seen" and "ran"."""
    events = {"seen": [], "ran": []}
    with open(path, encoding="utf-8") as file:
        for line in file:
            # The last line of a target that was killed may be cut.
            if line.endswith("\n"):
                event, at, method, request_id = json.loads(line)
                events[event].append((at, method, request_id))
    return events


def answer_body(req: ReceivedRequest, request_id: str, name: str) -> bytes:
    """Give the body of an answer: whose it is, and a sum over it."""
    digest = hashlib.blake2b(req.body, digest_size=8).hexdigest()
    text = f"{request_id} {req.method} {req.path} {digest} {name}"
    check = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return f"{text} {check}".encode()


def is_own_answer(body: bytes, method: str, path: str, sent: bytes, request_id) -> bool:
    """Tell whether an answer is whole and belongs to a request."""
    text, _, check = body.decode("latin-1").rpartition(" ")
    if hashlib.blake2b(text.encode("latin-1"), digest_size=8).hexdigest() != check:
        return False
    digest = hashlib.blake2b(sent, digest_size=8).hexdigest()
    return text.startswith(f"{request_id} {method} {path} {digest} ")
