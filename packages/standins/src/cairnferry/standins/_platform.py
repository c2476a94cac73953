"""Stand-in for the platform: table, object store and instance list on one port."""

import enum
import json
import time
from socket import SHUT_RDWR

import attrs
import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from cairnferry.standins._table import Refused, TableStandin
from cairnferry.wire import set_no_delay

CONTROL_PATH = "/_control"
INSTANCES_PATH = "/instances"
OPERATION_HEADER = "HTTP_X_AMZ_TARGET"
HANG_S = 3600.0
SOCKET_KEY = "standin.socket"


class Outage(enum.StrEnum):
    """Kind of platform outage."""

    NONE = "none"
    RESET = "reset"
    ERROR = "error"
    HANG = "hang"


@attrs.define
class PlatformFaults:
    """Faults of the platform; each can be changed at run time.

    Attributes
    ----------
    outage : Outage
        Kind of outage.
    delay_ms : float
        Delay of each response, in milliseconds.
    lose_answers : int
        Number of next writes that take effect without a response.
    list_lag_s : float
        Age of the instance list that is served, in seconds.
    """

    outage: Outage = attrs.field(default=Outage.NONE, converter=Outage)
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


class ConnectionCut(Exception):
    """The stand-in closes the connection without a response."""


@attrs.define
class InstanceHistory:
    """All versions of the instance list, so that an old one can be served."""

    _versions: list = attrs.field(factory=lambda: [(0.0, [])])

    def write(self, groups: list) -> None:
        """Add a version, which is the current one from now on."""
        self._versions.append((time.monotonic(), groups))

    def read(self, lag: float) -> list:
        """Return the list as it was `lag` seconds ago."""
        visible_at = time.monotonic() - lag
        visible = [groups for at, groups in self._versions if at <= visible_at]
        return visible[-1] if visible else []


class PlatformStandin:
    """Serves the platform's interfaces, and a control interface for faults.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to listen on.
    """

    def __init__(self, address):
        self.table = TableStandin()
        self.objects: dict[str, bytes] = {}
        self.instances = InstanceHistory()
        self.faults = PlatformFaults()
        self.calls = 0
        self.server = _Server(address, self._serve, log=None)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self.server.server_port

    def start(self) -> None:
        """Start to serve."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop(timeout=0)

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == CONTROL_PATH:
            return _respond(start_response, 200, self._control(body))
        self.calls += 1
        if not self._apply_outage(environ, start_response):
            return []
        if OPERATION_HEADER in environ:
            return self._table_call(environ, body, start_response)
        if path == INSTANCES_PATH:
            groups = self.instances.read(self.faults.list_lag_s)
            return _respond(start_response, 200, groups)
        return self._object_call(environ["REQUEST_METHOD"], path, body, start_response)

    def _control(self, body):
        """Change faults, table rows or the instance list; return the counters."""
        document = json.loads(body) if body else {}
        for name, value in document.get("faults", {}).items():
            converted = Outage(value) if name == "outage" else value
            setattr(self.faults, name, converted)
        for row in document.get("rows", []):
            self.table.rows[row["pk"]["S"], row["sk"]["S"]] = row
        if "instances" in document:
            self.instances.write(document["instances"])
        return {
            "calls": self.calls,
            "table_reads": self.table.reads,
            "table_writes": self.table.writes,
            "faults": attrs.asdict(self.faults),
        }

    def _apply_outage(self, environ, start_response):
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        match self.faults.outage:
            case Outage.RESET:
                _reset_connection(environ)
            case Outage.HANG:
                gevent.sleep(HANG_S)
            case Outage.ERROR:
                _respond(start_response, 503, {"error": "outage"})
                return False
        return True

    def _table_call(self, environ, body, start_response):
        operation = environ[OPERATION_HEADER].rpartition(".")[2]
        try:
            answer = self.table.handle(operation, json.loads(body))
        except Refused as exc:
            return _respond(start_response, 400, exc.document())
        if operation == "TransactWriteItems" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _reset_connection(environ)
        return _respond(start_response, 200, answer)

    def _object_call(self, method, path, body, start_response):
        if method == "PUT":
            self.objects[path] = body
            return _respond(start_response, 200, {})
        if path not in self.objects:
            return _respond(start_response, 404, {"error": "NoSuchKey"})
        data = self.objects[path]
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]


class _Handler(WSGIHandler):
    """Handler that passes its socket to the application."""

    def get_environ(self):
        return {**super().get_environ(), SOCKET_KEY: self.socket}


class _Server(WSGIServer):
    handler_class = _Handler

    def handle(self, sock, address):
        set_no_delay(sock)
        super().handle(sock, address)


def _reset_connection(environ):
    environ[SOCKET_KEY].shutdown(SHUT_RDWR)
    raise ConnectionCut


def _respond(start_response, status, document):
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(f"{status} Status", headers)
    return [body]
