"""Stand-in for requesters, with kept connections and new ones."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from ._http import encode, read_message

HOST = "shop.example"
# Four fifths of the manifest's `idle_timeout`: an older connection is not used again.
MAX_IDLE_S = 12.0
# Ids are given to all requests of a run in turn.
_NUMBERS = itertools.count(1)


@dataclass
class Sent:
    """One request of a requester, and what became of it."""

    id: str
    kind: str
    daemon: str
    at: float
    is_kept: bool
    status: int | None = None
    left: float | None = None
    ended: float | None = None
    signature: str | None = None
    body: bytes = b""


class Requesters:
    """Send requests to daemons at a rate, each with an id of its own."""

    def __init__(self, record, daemons, rng=None):
        self.sent: list[Sent] = []
        self._record = record
        self._daemons = daemons
        self._rng = rng or random.Random(1)
        self._idle = {daemon.name: [] for daemon in daemons}
        self._tasks = set()
        self._faults = []

    async def run(
        self, seconds, per_s, kind, method, path, deadline_ms, body=b"", more=()
    ):
        """Send requests for a time; `more` are further headers."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            daemon = self._rng.choice(self._daemons)
            task = asyncio.create_task(
                self.send(daemon, kind, method, path, deadline_ms, body, more)
            )
            self._tasks.add(task)
            task.add_done_callback(self._drop)
            await asyncio.sleep(self._rng.expovariate(per_s))

    def drop(self, daemon) -> None:
        """Send no further request to a daemon."""
        self._daemons = [each for each in self._daemons if each is not daemon]

    def _drop(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._faults.append(task.exception())

    async def leave(self, daemon, kind, method, path, deadline_ms, after_s, body=b""):
        """Send a request on a new connection, and close it if there is no answer."""
        number = f"{next(_NUMBERS):06d}"
        sent = Sent(number, kind, daemon.name, 0.0, False)
        self.sent.append(sent)
        headers = {
            "Host": HOST,
            "Cairnferry-Request-Id": number,
            "Cairnferry-Deadline-Ms": str(deadline_ms),
        }
        reader, writer = await asyncio.open_connection(*daemon.front)
        sent.at = self._record.note("send", id=number, kind=kind, daemon=daemon.name)
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        try:
            reply = await asyncio.wait_for(read_message(reader), after_s)
        except TimeoutError:
            reply = None
        writer.close()
        if reply is None:
            sent.left = self._record.note("leave", id=number)
        else:
            sent.status = reply.status
            sent.ended = self._record.note("answer", id=number, status=reply.status)
        return sent

    async def finish(self) -> None:
        """Wait until no request is open; raise a fault of the stand-in itself."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        if self._faults:
            raise self._faults[0]

    def _take_idle(self, daemon):
        idle = self._idle[daemon.name]
        while idle:
            connection, since = idle.pop()
            if time.monotonic() - since < MAX_IDLE_S:
                return connection
            connection[1].close()
        return None

    async def send(self, daemon, kind, method, path, deadline_ms, body=b"", more=()):
        """Send one request; return it with what became of it."""
        connection = self._take_idle(daemon)
        number = f"{next(_NUMBERS):06d}"
        sent = Sent(number, kind, daemon.name, 0.0, connection is not None)
        self.sent.append(sent)
        sent.at = self._record.note(
            "send", id=number, kind=kind, daemon=daemon.name, kept=sent.is_kept
        )
        headers = {
            "Host": HOST,
            "Cairnferry-Request-Id": number,
            "Cairnferry-Deadline-Ms": str(deadline_ms),
            **dict(more),
        }
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if connection is None:
                    connection = await asyncio.open_connection(*daemon.front)
                reader, writer = connection
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                reply = await read_message(reader)
        except (OSError, TimeoutError) as exc:
            reply, why = None, type(exc).__name__
        else:
            why = "closed"
        if reply is None:
            sent.ended = self._record.note("cut", id=number, why=why)
            if connection is not None:
                connection[1].close()
            return sent
        sent.status, sent.body = reply.status, reply.body
        sent.signature = reply.headers.get("cairnferry-response-signature")
        sent.ended = self._record.note(
            "answer",
            id=number,
            status=sent.status,
            signed=sent.signature is not None,
            cause=reply.headers.get("proxy-status", "-").replace(" ", ""),
        )
        if reply.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle[daemon.name].append((connection, time.monotonic()))
        return sent
