"""Thrift transport over a gevent socket, counting bytes."""

import attrs
from thrift.transport.TTransport import TFramedTransport, TTransportBase

MAX_FRAME = 2 * 1024 * 1024


@attrs.define
class ByteMeter:
    """Bytes of frames since the start, and the messages that they made."""

    sent: int = 0
    received: int = 0
    messages: int = 0


class SocketTransport(TTransportBase):
    """Unframed transport over a connected socket."""

    def __init__(self, sock, meter: ByteMeter):
        self._sock = sock
        self._meter = meter

    def isOpen(self):  # noqa: N802 - the library's name
        """Tell whether the socket is open."""
        return self._sock.fileno() >= 0

    def close(self):
        """Close the socket."""
        self._sock.close()

    def read(self, size):
        """Read at most `size` bytes; empty at the end."""
        data = self._sock.recv(size)
        self._meter.received += len(data)
        return data

    def write(self, data):
        """Send all data."""
        self._sock.sendall(data)
        self._meter.sent += len(data)

    def flush(self):
        """Do nothing: `write` holds nothing back."""


def framed(sock, meter: ByteMeter) -> TFramedTransport:
    """Wrap a socket so that no frame beyond the limit is read."""
    return TFramedTransport(SocketTransport(sock, meter), MAX_FRAME)
