"""HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 1 << 20


@dataclass
class Message:
    """A request or a response.

    Attributes
    ----------
    first : list of str
        The three words of the first line.
    headers : dict of str to str
        Values by name in lower case.
    body : bytes
        Whole body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Response:
    """A response to write.

    Attributes
    ----------
    status : int
        Status code.
    headers : dict of str to str
        Headers other than Content-Length.
    body : bytes
        Whole body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a declared length; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while (field_line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field_line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(line.decode("latin-1").split(None, 2), headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.transport.abort()


async def serve(host: str, handle, port: int = 0, writers=None) -> asyncio.Server:
    """Serve requests on a loopback address.

    Parameters
    ----------
    host : str
        Loopback address.
    handle : callable
        Coroutine function called with a request, its reader and its writer; returns the
        response, or None if the connection is to end without one.
    port : int, optional
        Port; a free one by default.
    writers : set, optional
        Receives the writers of the open connections.
    """
    writers = set() if writers is None else writers

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                response = await handle(request, reader, writer)
                if response is None:
                    return
                writer.write(response.encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client is gone, or the case ends.
            pass
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(connected, host, port, limit=MAX_LINE_BYTES)


def port_of(server: asyncio.Server) -> int:
    """Return the port of a server."""
    return server.sockets[0].getsockname()[1]
