"""Stand-in for the upstreams of a service."""

import asyncio
import json
import random
from typing import NamedTuple

from ._http import address_of, answer, read_message

HEARTBEAT_S = 1.5
HEALTH = "/health"


class End(NamedTuple):
    """End of a run: its time, and whether it was dropped with its connection."""

    at: float
    is_drop: bool


class Upstream:
    """One upstream: slots, a queue, a status check, and a row in the store.

    `work_s` is the mean time that a request takes, in seconds.
    """

    def __init__(self, store, record, name, service, zone, slots, work_s, **options):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.queue = options.get("queue", 12)
        self.tells_load = options.get("tells_load", True)
        self.runs = []
        self.ends = {}
        self.running = 0
        self.waiting = 0
        self._store = store
        self.record = record
        self._free = asyncio.Semaphore(slots)
        self._sequence = 0

    async def start(self, host: str) -> None:
        """Listen on a free port, and write the row from now on."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = address_of(self._server)
        self._beat = asyncio.create_task(self._beat_forever())

    async def _beat_forever(self):
        while True:
            self._sequence += 1
            row = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "max_concurrency": self.slots,
                "state": "ready",
                "warmup_left": "0ms",
                "sequence": self._sequence,
            }
            self._store.put("servers", self.name, json.dumps(row).encode())
            await asyncio.sleep(HEARTBEAT_S)

    @property
    def is_full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self.running >= self.slots and self.waiting >= self.queue

    def load_headers(self) -> dict[str, str]:
        """Return the header that tells the load, if this upstream tells it."""
        if not self.tells_load:
            return {}
        load = f"{self.running},{self.waiting},{self.slots},100"
        return {"Cairnferry-Server-Load": load}

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message.start.split()
                if path == HEALTH:
                    await self.serve_check(writer)
                else:
                    await self.serve_request(method, path, message, reader, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def serve_check(self, writer) -> None:
        """Answer a status check at once."""
        headers = {"Cairnferry-Instance-Id": self.name, **self.load_headers()}
        writer.write(answer(200, headers))

    async def serve_request(self, method, path, message, reader, writer) -> None:
        """Run a request; reject it if it is for another upstream or finds no room."""
        request_id = message.headers["cairnferry-request-id"]
        echo = {"Cairnferry-Request-Id": request_id}
        refusal = {**echo, "Cairnferry-Not-Executed": "1", **self.load_headers()}
        wanted = message.headers.get("cairnferry-target-instance", self.name)
        if wanted != self.name:
            writer.write(answer(421, refusal))
            return
        if self.is_full:
            writer.write(answer(503, refusal))
            return
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            at = self.record.note("run", id=request_id, upstream=self.name, by=method)
            self.runs.append((request_id, at))
            if not await self._work(reader, request_id):
                raise ConnectionResetError
        finally:
            self.running -= 1
            self._free.release()
        self.ends[request_id] = End(self.record.note("end", id=request_id), False)
        signature = {"Cairnferry-Response-Signature": f"{self.name}.{request_id}"}
        body = f"{self.name} {method} {path} {request_id}".encode()
        writer.write(answer(200, {**echo, **signature, **self.load_headers()}, body))

    async def _work(self, reader, request_id):
        """Work on a request; return False if its connection closes meanwhile."""
        closed = asyncio.create_task(reader.read(1))
        seconds = self.work_s * random.uniform(0.7, 1.3)
        done, _ = await asyncio.wait({closed}, timeout=seconds)
        if done:
            self.ends[request_id] = End(self.record.note("drop", id=request_id), True)
            return False
        closed.cancel()
        await asyncio.wait({closed})
        return True
