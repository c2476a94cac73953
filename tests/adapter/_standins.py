"""Small stand-ins for the platform's store and its targets."""

import base64
import collections
import json
import socket
import time
import urllib.parse

import attrs
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

HOST = "127.0.0.1"
PAGE_ROWS = 3


@attrs.define(eq=False)
class Row:
    value: bytes | None
    ver: int


class StoreStandin:
    """Store with rows by table and key, one version counter, and faults by call.

    `faults` maps a path to the faults of its next calls: a status, or one of "lost"
    (done, but the connection is closed), "cut" (not done, the connection is closed),
    "slow" (answered once `resume` is set) and "words" (an answer that is not JSON).
    `down` is a fault of all calls. `held` maps a table to an event without which it is
    not listed.

    `copy` and `restore` simulate a recovery drill: the store is restored from a copy of
    itself, and names its era in each answer from then on.
    """

    ERA_HEADER = "Cairnferry-Store-Era"

    def __init__(self, port=0):
        self.rows = collections.defaultdict(dict)
        self.ver = 0
        self.oldest_ver = 0
        self.era = None
        self.calls = collections.Counter()
        self.faults = collections.defaultdict(list)
        self.down = None
        self.held = {}
        self.resume = Event()
        self._changed = Event()
        self._server = WSGIServer((HOST, port), self._app, log=None, error_log=None)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def put(self, table, key, document):
        data = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self._write(table, key, data)

    def drop(self, table, key):
        self._write(table, key, None)

    def drop_history(self):
        """Drop the history, so that changes after older versions are not available."""
        self.oldest_ver = self.ver

    def copy(self):
        """Return a copy of all rows and of the version counter."""
        rows = {
            table: {key: attrs.evolve(row) for key, row in by_key.items()}
            for table, by_key in self.rows.items()
        }
        return rows, self.ver

    def restore(self, copy):
        """Restore a copy: later writes and their versions are gone."""
        rows, self.ver = copy
        self.rows = collections.defaultdict(dict, rows)
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = Event()

    def _write(self, table, key, value):
        self.ver += 1
        self.rows[table][key] = Row(value, self.ver)
        self._changed.set()
        self._changed = Event()

    # -- calls ------------------------------------------------------------------

    def _app(self, environ, start_response):
        path = environ["PATH_INFO"]
        self.calls[path] += 1
        era = self.era
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        body = environ["wsgi.input"].read()
        fault = self.down or (self.faults[path].pop(0) if self.faults[path] else None)
        if fault == "cut":
            raise ConnectionAbortedError
        if isinstance(fault, int):
            start_response(f"{fault} Fault", [("Content-Length", "0")])
            return []
        if fault == "words":
            start_response("200 OK", [("Content-Length", "5")])
            return [b"words"]
        status, document = self._answer(path, query, body)
        if fault == "lost" or era != self.era:
            # A call that was waiting during the restore gets no answer.
            raise ConnectionAbortedError
        if fault == "slow":
            self.resume.wait()
        data = json.dumps(document).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        if era is not None:
            headers.append((self.ERA_HEADER, str(era)))
        start_response(f"{status} -", headers)
        return [data]

    def _answer(self, path, query, body):
        match path:
            case "/api/rows-get":
                return 200, self._get(query)
            case "/api/rows-feed":
                return self._feed(query)
            case "/api/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        start = query.get("from", "")
        table = query["table"]
        if table in self.held:
            self.held[table].wait()
        keys = sorted(
            key
            for key, row in self.rows[table].items()
            if row.value is not None and key >= start
        )
        rows = [self._row(table, key) for key in keys[:PAGE_ROWS]]
        return {"rows": rows, "has_more": len(keys) > PAGE_ROWS, **self._stamp()}

    def _feed(self, query):
        after = int(query["after"])
        if after < self.oldest_ver or after > self.ver:
            return 410, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        table = query["table"]
        while True:
            changed = self._changed
            found = [
                (row.ver, key)
                for key, row in self.rows[table].items()
                if row.ver > after
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                rows = [self._row(table, key) for _, key in sorted(found)]
                return 200, {"rows": rows, **self._stamp()}
            changed.wait(left)

    def _transact(self, document):
        for condition in document["precondition"]:
            row = self.rows[condition["table"]].get(condition["key"])
            if (row.ver if row and row.value is not None else 0) != condition["ver"]:
                rows = [self._row(condition["table"], condition["key"])] if row else []
                return 412, {"rows": rows, **self._stamp()}
        for entry in document["set_keys"]:
            value = base64.b64decode(entry["value"])
            self._write(entry["table"], entry["key"], value)
        for entry in document["delete_keys"]:
            self._write(entry["table"], entry["key"], None)
        return 200, self._stamp()

    def _row(self, table, key):
        row = self.rows[table][key]
        named = {"table": table, "part": "", "key": key, "ver": row.ver}
        if row.value is None:
            return {**named, "removed": True}
        return {**named, "value": base64.b64encode(row.value).decode()}

    def _stamp(self):
        return {"ver": self.ver, "now": f"{int(time.monotonic() * 1000)}ms"}


class HostedTarget:
    """A target with configurable answers that records the requests it ran.

    `behave` is called with the number of the request. It returns the bytes to send,
    None for the default answer, or an Event to wait for before the default answer.
    """

    def __init__(self, name="i-1", behave=None, load="1,0,4,100", port=0):
        self.name = name
        self.behave = behave or (lambda number: None)
        self.load = load
        self.seen = []
        self.disconnected = Event()
        self.arrived = Event()
        self._socks = set()
        self._server = StreamServer((HOST, port), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def crash(self):
        """Close the port and all connections at once, as a process that crashes."""
        self.stop()
        for sock in list(self._socks):
            sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock, address):
        file = sock.makefile("rb")
        self._socks.add(sock)
        try:
            while self._serve_request(sock, file):
                pass
        except OSError:
            pass
        finally:
            self._socks.discard(sock)
            file.close()
            sock.close()

    def _serve_request(self, sock, file):
        line = file.readline()
        if not line:
            return False
        method, path, _ = line.decode().split()
        headers = {}
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = file.read(int(headers.get("content-length", 0)))
        if path == "/health":
            sock.sendall(self.answer(None, load=True, instance=True))
            return True
        expected_name = headers.get("cairnferry-target-instance")
        if expected_name not in (None, self.name):
            sock.sendall(self.answer(None, status="421 Misdirected", instance=True))
            return True
        self.seen.append((method, path, headers, body))
        self.arrived.set()
        found = self.behave(len(self.seen))
        if isinstance(found, Event):
            self._wait_for(sock, found)
            found = None
        request_id = headers["cairnferry-request-id"]
        if found is None:
            found = self.answer(request_id, f"{self.name} {path}".encode(), proof=True)
        sock.sendall(found.replace(b"{id}", request_id.encode()))
        return b"Connection: close" not in found

    def _wait_for(self, sock, event):
        """Wait for the event, or until the client disconnects."""
        watch = gevent.spawn(sock.recv, 1)
        gevent.wait([watch, event], count=1)
        if watch.ready():
            self.disconnected.set()
            raise ConnectionAbortedError
        watch.kill()

    def answer(
        self,
        request_id,
        body=b"",
        status="200 OK",
        proof=False,
        load=False,
        instance=False,
        extra=(),
    ):
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *extra]
        if request_id:
            lines.append(f"Cairnferry-Request-Id: {request_id}")
        if proof:
            lines.append(f"Cairnferry-Response-Signature: by-{self.name}")
        if load:
            lines.append(f"Cairnferry-Server-Load: {self.load}")
        if instance:
            lines.append(f"Cairnferry-Instance-Id: {self.name}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def configuration(version=3, *, rules=None, clusters=("svc",), tenants=None, **limits):
    """Return a configuration document as operators write it."""
    return {
        **({} if tenants is None else {"tenants": tenants}),
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
            **limits,
        },
        "listeners": [{"host": "Shop.Example", "rules": rules or [rule()]}],
        "clusters": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 260,
                "protocol": "h1",
                "tls": False,
            }
            for name in clusters
        ],
    }


def rule(name="r-1", prefix="/a/", kind="safe", timeout="5s", attempts=2, **action):
    if not action:
        action = {"service": "svc"}
    return {
        "name": name,
        "route_type": kind,
        "target_latency": "300ms",
        "priority": 2,
        "match": {"prefix": prefix},
        "action": {**action, "timeout": timeout, "max_attempts": attempts},
    }


def target_row(port, service="svc", state="ready", **more):
    return {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": "hall",
        "version": "v1",
        "max_concurrency": 4,
        "state": state,
        "warmup_left": "0ms",
        "sequence": 1,
        **more,
    }
