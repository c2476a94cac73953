"""Stand-in for an upstream: status checks, load, receipts and a record of its runs."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins import _http
from standins._store import Store

SLOTS = 6


@dataclass
class Run:
    """A request that an upstream began to work on.

    Attributes
    ----------
    at : float
        Monotonic time in seconds at which it arrived.
    upstream, service : str
        Identifier and service of the upstream.
    method, path, request_id : str
        Parts of the request.
    ended_at : float or None
        Monotonic time at which the work ended.
    end : str
        How it ended: "answered", "answer lost" or "abandoned".
    """

    at: float
    upstream: str
    service: str
    method: str
    path: str
    request_id: str
    ended_at: float | None = None
    end: str = ""


@dataclass
class Upstream:
    """A server of a service.

    Attributes
    ----------
    name, service, zone : str
        Identifier, service and zone.
    work_s : float
        Seconds of work of each request.
    loses_answer : callable
        Called with each run when its work is done; returns whether the connection is
        reset instead of answered.
    runs : list of Run
        All requests that it began to work on.
    address : tuple of (str, int) or None
        Address on which it listens.
    store : Store or None
        Store in which it is registered.
    is_up : bool
        Whether it listens.
    restarts : list of asyncio.Task
        Restarts after crashes.
    """

    name: str
    service: str
    zone: str
    work_s: float = 0.03
    loses_answer: Callable[[Run], bool] = lambda run: False
    runs: list[Run] = field(default_factory=list)
    address: tuple[str, int] | None = None
    store: Store | None = None
    is_up: bool = False
    restarts: list[asyncio.Task] = field(default_factory=list)
    _running: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a loopback address."""
        self._server = await _http.serve(host, self.handle, port, self._writers)
        self.address = (host, _http.port_of(self._server))
        self.is_up = True

    def stop(self) -> None:
        """Close the port and reset all connections, as a process that crashes."""
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            _http.reset(writer)

    def register(self, store: Store) -> None:
        """Write the entry of this start into the store."""
        self.store = store
        host, port = self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": SLOTS,
            "state": "ready",
            "warmup_left": "0ms",
            "sequence": 1,
            "born": time.time_ns() // 10**6,
        }
        store.put("servers", self.name, entry)

    async def handle(self, request, reader, writer):
        """Answer a request or a status check."""
        load = {
            "Cairnferry-Instance-Id": self.name,
            "Cairnferry-Server-Load": f"{self._running},0,{SLOTS},100",
        }
        if request.first[1] == "/health":
            return _http.Response(200, load)
        if request.headers.get("cairnferry-target-instance", self.name) != self.name:
            return _http.Response(421, {"Cairnferry-Instance-Id": self.name})
        run = self.note_run(request)
        await self._work(run, reader)
        if run.end == "abandoned":
            return None
        if self.loses_answer(run):
            run.end = "answer lost"
            _http.reset(writer)
            return None
        run.end = "answered"
        receipt = {
            "Cairnferry-Request-Id": run.request_id,
            "Cairnferry-Response-Signature": f"{self.name}.{run.request_id}",
            **load,
        }
        return _http.Response(200, receipt, f"{self.name} {run.path}".encode())

    def note_run(self, request: _http.Message) -> Run:
        """Record that the work on a request begins."""
        method, path, _ = request.first
        request_id = request.headers["cairnferry-request-id"]
        run = Run(time.monotonic(), self.name, self.service, method, path, request_id)
        self.runs.append(run)
        return run

    async def _work(self, run, reader):
        """Work on a request; drop it when its connection closes."""
        self._running += 1
        ends = time.monotonic() + self.work_s
        try:
            while (left := ends - time.monotonic()) > 0:
                await asyncio.sleep(min(0.02, left))
                if reader.at_eof() or reader.exception() is not None:
                    run.end = "abandoned"
                    return
        finally:
            self._running -= 1
            run.ended_at = time.monotonic()
