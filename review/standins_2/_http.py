"""Reading and writing of HTTP/1.1 messages with asyncio streams."""

import asyncio
from dataclasses import dataclass, field

PHRASES = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 503: "Unavailable"}


@dataclass
class Message:
    """A request or an answer; names of headers are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; return None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1")[:-4].split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    return encode(f"HTTP/1.1 {status} {PHRASES.get(status, 'Other')}", headers, body)


def address_of(server: asyncio.Server) -> str:
    """Return the address on which a server listens, as "IP:port"."""
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"
