"""Minimal HTTP server on plain sockets, which can send malformed responses."""

import socket

import attrs
from gevent.server import StreamServer

from cairnferry.wire import set_no_delay

MAX_LINE_BYTES = 65536


@attrs.frozen
class ReceivedRequest:
    """A received request.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        Complete body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class SocketServer:
    """HTTP server that calls a handler for each request.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to listen on.
    handler : callable
        Called with the socket and a `ReceivedRequest`. It writes the response itself
        and returns whether the connection stays open.
    """

    def __init__(self, address, handler):
        self._handler = handler
        self._host = address[0]
        self._server = StreamServer(address, self._serve)
        self._socks = set()
        self.connections = 0

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def abort(self) -> None:
        """Close the port and all connections at once, as when a process crashes."""
        self.stop()
        for sock in list(self._socks):
            sock.shutdown(socket.SHUT_RDWR)

    def restart(self) -> None:
        """Listen on the same port again after `abort`."""
        self._server = StreamServer((self._host, self.port), self._serve)
        self.start()

    def stop_accepting(self) -> None:
        """Accept no new connections."""
        self._server.stop_accepting()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        set_no_delay(sock)
        self.connections += 1
        self._socks.add(sock)
        reader = sock.makefile("rb")
        try:
            while True:
                req = read_request(reader)
                if req is None or not self._handler(sock, req):
                    return
        except OSError:
            return
        finally:
            self._socks.discard(sock)
            reader.close()
            sock.close()


def read_request(reader) -> ReceivedRequest | None:
    """Read a request with Content-Length framing; return None at the end of input."""
    line = reader.readline(MAX_LINE_BYTES)
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline(MAX_LINE_BYTES)
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, path, headers, body)


def encode_response(status: int, headers, body: bytes) -> bytes:
    """Return a response in bytes, with its Content-Length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
