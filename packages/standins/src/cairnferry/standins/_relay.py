"""TCP relay that simulates network failures: it can cut and stall connections."""

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from cairnferry.wire import set_no_delay

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to one address.

    Parameters
    ----------
    target : tuple of (str, int)
        Host and port that connections are forwarded to.
    """

    def __init__(self, target):
        self._target = target
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._socks = set()
        self._forwarding = Event()
        self._forwarding.set()
        self.is_cut = False

    @property
    def address(self) -> str:
        """Address "IP:port" that the relay listens on."""
        return f"127.0.0.1:{self._server.server_port}"

    def cut(self) -> None:
        """Close all connections, and each new one as soon as it is accepted."""
        self.is_cut = True
        self.drop()

    def restore(self) -> None:
        """Accept connections again, and forward the data that was held."""
        self.is_cut = False
        self._forwarding.set()

    def stall(self) -> None:
        """Accept connections and data but forward nothing, as if packets were lost."""
        self._forwarding.clear()

    def drop(self) -> None:
        """Close all open connections."""
        for sock in list(self._socks):
            sock.close()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)
        self.drop()

    def _serve(self, sock, address):
        if self.is_cut:
            return
        try:
            upstream = socket.create_connection(self._target)
        except OSError:
            return
        pair = {sock, upstream}
        self._socks |= pair
        for member in pair:
            set_no_delay(member)
        tasks = [
            gevent.spawn(self._pump, sock, upstream),
            gevent.spawn(self._pump, upstream, sock),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        self._socks -= pair
        upstream.close()

    def _pump(self, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                self._forwarding.wait()
                sink.sendall(data)
        except OSError:
            return
