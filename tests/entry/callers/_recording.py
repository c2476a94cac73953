"""A target that records the heads of its requests."""

import contextlib
import types

from gevent.event import Event
from gevent.server import StreamServer

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Refused: full\r\nContent-Length: 0\r\n\r\n"
)


class RecordingTarget:
    """A target that records requests and answers as told.

    `behave` is called with the path of each request. It returns the bytes to send, None
    for the default answer, an Event to wait for before the default answer, or b"" to
    close the connection.
    """

    def __init__(self, slots=64):
        self.behaviour = types.SimpleNamespace(slots=slots)
        self.behave = lambda path: None
        self.seen = []
        self.arrived = Event()
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    @property
    def paths(self):
        return [path for path, _ in self.seen]

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        file = sock.makefile("rb")
        with contextlib.suppress(OSError):
            while line := file.readline():
                if not self._answer(sock, file, line.split()[1].decode()):
                    break
        file.close()
        sock.close()

    def _answer(self, sock, file, path):
        headers = []
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers.append((name.lower(), value.strip()))
        file.read(int(dict(headers).get("content-length", 0)))
        self.seen.append((path, headers))
        self.arrived.set()
        found = self.behave(path)
        if isinstance(found, Event):
            found.wait()
            found = None
        sock.sendall(ANSWER if found is None else found)
        return found != b""
