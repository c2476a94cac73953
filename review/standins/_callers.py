"""Stand-in for a requester: one request on a connection of its own."""

import asyncio
import time
import uuid
from dataclasses import dataclass

from standins import _http


@dataclass
class Sent:
    """A request and its answer.

    Attributes
    ----------
    request_id, method, path : str
        Parts of the request.
    at : float
        Monotonic time in seconds at which it was sent.
    status : int or None
        Status of the answer; None if there was none.
    body : bytes
        Body of the answer.
    signature : str or None
        Receipt of the upstream, if the answer has one.
    """

    request_id: str
    method: str
    path: str
    at: float
    status: int | None = None
    body: bytes = b""
    signature: str | None = None


async def send(
    address: tuple[str, int],
    method: str,
    host: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 3000,
    leave_after_s: float | None = None,
) -> Sent:
    """Send a request to a daemon once, on a new connection, and read the answer.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the daemon.
    method, host, path : str
        Parts of the request.
    body : bytes, optional
        Body.
    deadline_ms : int, optional
        Milliseconds for which the requester waits.
    leave_after_s : float, optional
        Seconds after which the requester closes its connection without an answer.
    """
    sent = Sent(uuid.uuid4().hex[:16], method, path, time.monotonic())
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Cairnferry-Request-Id: {sent.request_id}",
        f"Cairnferry-Deadline-Ms: {deadline_ms}",
    ]
    if body or method != "GET":
        head.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(head) + "\r\n\r\n").encode() + body
    seconds = leave_after_s or deadline_ms / 1000 + 1.0
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await writer.drain()
            answer = await _http.read_message(reader)
            if answer is not None:
                sent.status = int(answer.first[1])
                sent.body = answer.body
                sent.signature = answer.headers.get("cairnferry-response-signature")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return sent
