"""TCP relay whose connections can be cut and held, for failures of the network."""

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from cairnferry.wire import set_no_delay

CHUNK = 65536


class Relay:
    """Passes connections on to one address.

    Parameters
    ----------
    target : tuple of (str, int)
        Where connections go.
    """

    def __init__(self, target):
        self._target = target
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._socks = set()
        self._open = Event()
        self._open.set()
        self.is_cut = False

    @property
    def address(self) -> str:
        """Address "IP:port" that it listens on."""
        return f"127.0.0.1:{self._server.server_port}"

    def cut(self) -> None:
        """End all connections, and each new one at once."""
        self.is_cut = True
        self.drop()

    def heal(self) -> None:
        """Pass connections on again, and what was held."""
        self.is_cut = False
        self._open.set()

    def hold(self) -> None:
        """Take what comes but pass nothing on, as a network that loses packets."""
        self._open.clear()

    def drop(self) -> None:
        """End all connections."""
        for sock in list(self._socks):
            sock.close()

    def stop(self) -> None:
        """Stop relaying."""
        self._server.stop(timeout=0)
        self.drop()

    def _serve(self, sock, address):
        if self.is_cut:
            return
        try:
            out = socket.create_connection(self._target)
        except OSError:
            return
        both = {sock, out}
        self._socks |= both
        for one in both:
            set_no_delay(one)
        tasks = [
            gevent.spawn(self._pump, sock, out),
            gevent.spawn(self._pump, out, sock),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        self._socks -= both
        out.close()

    def _pump(self, source, sink):
        try:
            while data := source.recv(CHUNK):
                self._open.wait()
                sink.sendall(data)
        except OSError:
            return
