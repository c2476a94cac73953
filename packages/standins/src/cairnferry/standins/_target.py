"""Stand-in for a target, with slots, service times, load reports and faults."""

import enum
import hashlib
import json
import random
import time
from collections import deque

import attrs
import gevent
from gevent.lock import BoundedSemaphore

from cairnferry.standins._http import ReceivedRequest, SocketServer, encode_response

CONTROL_PATH = "/_control"
HEALTH_PATH = "/health"
ID_HEADER = "x-request-id"
REFUSAL_HEADER = "X-Refused"
REPORT_HEADER = "endpoint-load-metrics"
LIMIT_HEADER = "Server-Limit"
# Bytes of the colon, space and line end of a header field.
HEADER_FIELD_OVERHEAD_BYTES = 4
# Bytes of the request and the response of a health probe on the wire.
PROBE_EXCHANGE_BYTES = 160
HANG_S = 3600.0


class Fault(enum.StrEnum):
    """Fault that applies to each request while it is set."""

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
    """Behaviour of a target; each field can be changed at run time.

    Attributes
    ----------
    slots : int
        Requests that run concurrently; further ones queue.
    service_ms : float
        Mean service time of a request before other fields apply, in milliseconds.
    spread : float
        Maximum random deviation of the service time, as a share of it, 0 to 1.
    slow_factor : float
        Factor on the service time.
    cold_s, cold_factor : float
        Seconds after the start for which `cold_factor` multiplies the service time.
    max_queue : int
        Requests that may queue; further ones are shed.
    shed : bool
        Whether the target sheds all requests as overloaded.
    draining : bool
        Whether the health endpoint reports the target as draining.
    refuse_draining : bool
        Whether the target refuses requests while it drains.
    refuse_work : bool
        Whether the target refuses requests as draining although the health endpoint
        reports "pass".
    reports : bool
        Whether responses carry a load report.
    report_lag_ms : float
        Age of the reported load, in milliseconds.
    report_error : float
        Factor on the reported load; 1 is exact.
    shed_by_contract : bool
        Whether a refusal carries the header of the refusal contract.
    fault : Fault
        Fault of each request.
    noise_ms, noise_share : float
        Time in milliseconds added to a random share (0 to 1) of the requests.
    answer_delay_ms : float
        Time between the end of the run and the response, in milliseconds.
    ends_on : str
        Part of a path: a request with it crashes the target as it starts to run; empty
        for none.
    down_s : float
        Seconds after which a target that crashed in this way serves again.
    limit : str
        Limit in requests per second that responses advertise; empty for none.
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
        Host and port to listen on.
    name : str
        Name of the target, which its responses contain.
    behaviour : TargetBehaviour
        Initial behaviour.
    seed : int, optional
        Seed of the random choices.
    journal : file, optional
        Gets a line for each request that arrives or ran, so that both are
        available even if the process is killed.

    Attributes
    ----------
    runs : list of (str, str)
        Method and request ID of each request that ran.
    seen : list of (float, str, str)
        Time of arrival (`time.monotonic`, in seconds), method and request ID of each
        request that arrived.
    probes : int
        Number of health probes.
    measuring_bytes : int
        Bytes of health probes and load reports on the wire.
    refusals, failures : int
        Number of refused requests, and of those that failed by `Fault.FAIL_FAST`.
    in_use : int
        Number of requests that run or queue.
    crashes : int
        Number of crashes by `ends_on`.
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
        self.crashes = 0
        self._journal = journal
        self._rng = random.Random(seed)
        self._slots = BoundedSemaphore(behaviour.slots)
        self._started = time.monotonic()
        self._loads = deque([(0.0, 0)], maxlen=20000)
        self.server = SocketServer(address, self._handle)

    @property
    def port(self) -> int:
        """Port that the target listens on."""
        return self.server.port

    def start(self) -> None:
        """Start to serve."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once, as a killed process does."""
        self.server.stop()

    def leave(self, notice: float, limit: float) -> None:
        """Report draining, continue to serve for a while, finish requests, then stop.

        Parameters
        ----------
        notice : float
            Seconds for which new requests are still served.
        limit : float
            Longest wait for requests in flight after that, in seconds.
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
            self.measuring_bytes += PROBE_EXCHANGE_BYTES
            status = "draining" if self.behaviour.draining else "pass"
            return self._send_json(sock, 200, {"status": status})
        request_id = req.headers.get(ID_HEADER, "")
        self.seen.append((time.monotonic(), req.method, request_id))
        self._write_journal("seen", req.method, request_id)
        return self._handle_work(sock, req, request_id)

    def _control(self, req: ReceivedRequest):
        """Change the behaviour as requested, and return the counters."""
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
            "ends": self.crashes,
            "connections": self.server.connections,
        }

    def _write_journal(self, event, method, request_id):
        if self._journal is not None:
            line = json.dumps([event, time.monotonic(), method, request_id])
            self._journal.write(line + "\n")
            self._journal.flush()

    def _handle_work(self, sock, req, request_id):
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
            return self._crash()
        self._add_in_use(1)
        try:
            with self._slots:
                gevent.sleep(self._service_time())
                self.runs.append((req.method, request_id))
                self._write_journal("ran", req.method, request_id)
        finally:
            self._add_in_use(-1)
        return self._respond(sock, req, request_id)

    def _crash(self):
        """Abort all requests and connections, and serve again after `down_s`."""
        self.crashes += 1
        self.server.abort()
        gevent.spawn_later(self.behaviour.down_s, self.server.restart)
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

    def _add_in_use(self, step):
        self.in_use += step
        if self.behaviour.report_lag_ms:
            self._loads.append((time.monotonic(), self.in_use))

    def _refuse(self, sock, reason):
        self.refusals += 1
        headers = [("Retry-After", "1")]
        if self.behaviour.shed_by_contract:
            headers.append((REFUSAL_HEADER, reason))
        headers += self._report_headers()
        sock.sendall(encode_response(503, headers, b"refused"))
        return True

    def _respond(self, sock, req, request_id):
        behaviour = self.behaviour
        if behaviour.answer_delay_ms:
            gevent.sleep(behaviour.answer_delay_ms / 1000)
        if behaviour.fault is Fault.CUT_AFTER_RUN:
            return False
        if behaviour.fault is Fault.HANG:
            gevent.sleep(HANG_S)
        body = response_body(req, request_id, self.name)
        if req.method == "HEAD":
            body = b""
        data = encode_response(
            200, [(ID_HEADER, request_id), *self._report_headers()], body
        )
        return self._send_response(sock, data, body)

    def _send_response(self, sock, data, body):
        """Send a response, malformed according to the fault."""
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
                sock.sendall(encode_response(200, [], b"x" * 32 * 1024 * 1024))
                return True
        sock.sendall(data)
        return True

    def _report_headers(self):
        headers = [(LIMIT_HEADER, self.behaviour.limit)] if self.behaviour.limit else []
        if not self.behaviour.reports:
            return headers
        value = self._reported_load() * self.behaviour.report_error
        text = f"TEXT named_metrics.in_use={value:g}"
        self.measuring_bytes += (
            len(REPORT_HEADER) + len(text) + HEADER_FIELD_OVERHEAD_BYTES
        )
        return [*headers, (REPORT_HEADER, text)]

    def _reported_load(self):
        if not self.behaviour.report_lag_ms:
            return self.in_use
        reported_at = time.monotonic() - self.behaviour.report_lag_ms / 1000
        reported = 0
        for at, load in reversed(self._loads):
            if at <= reported_at:
                reported = load
                break
        return reported

    def _send_json(self, sock, status, document):
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), *self._report_headers()]
        sock.sendall(encode_response(status, headers, body))
        return True


def read_journal(path) -> dict[str, list[tuple[float, str, str]]]:
    """Return the time, method and request ID of each event, by "seen" and "ran"."""
    events = {"seen": [], "ran": []}
    with open(path, encoding="utf-8") as file:
        for line in file:
            # The last line of a target that was killed may be incomplete.
            if line.endswith("\n"):
                event, at, method, request_id = json.loads(line)
                events[event].append((at, method, request_id))
    return events


def response_body(req: ReceivedRequest, request_id: str, name: str) -> bytes:
    """Return the body of a response: the request it belongs to, and a checksum."""
    digest = hashlib.blake2b(req.body, digest_size=8).hexdigest()
    text = f"{request_id} {req.method} {req.path} {digest} {name}"
    check = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return f"{text} {check}".encode()


def is_own_response(
    body: bytes, method: str, path: str, sent: bytes, request_id
) -> bool:
    """Return whether a response is complete and belongs to a request."""
    text, _, check = body.decode("latin-1").rpartition(" ")
    if hashlib.blake2b(text.encode("latin-1"), digest_size=8).hexdigest() != check:
        return False
    digest = hashlib.blake2b(sent, digest_size=8).hexdigest()
    return text.startswith(f"{request_id} {method} {path} {digest} ")
