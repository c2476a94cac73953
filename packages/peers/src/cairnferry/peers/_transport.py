"""Thrift transport over a gevent socket, counting bytes."""

import collections

import attrs
from thrift.transport.TTransport import TFramedTransport, TTransportBase

MAX_FRAME = 2 * 1024 * 1024


@attrs.define
class ByteMeter:
    """Bytes of frames since the start, and the messages that they made.

    Attributes
    ----------
    sent, received : int
        Bytes, of all connections.
    messages : int
        Calls that were answered, made here or by others.
    called : Counter
        Bytes of calls made here, both ways, by what the call was for and whether the
        peer is in another availability zone: such bytes have a price.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
    called: collections.Counter = attrs.field(factory=collections.Counter)

    def note_call(self, kind: str, is_far: bool, count: int) -> None:
        """Count the bytes of a call made here."""
        self.called[kind, "far" if is_far else "near"] += count


class SocketTransport(TTransportBase):
    """Unframed transport over a connected socket."""

    def __init__(self, sock, meter: ByteMeter):
        self._sock = sock
        self._meter = meter
        self.total = 0

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
        self.total += len(data)
        return data

    def write(self, data):
        """Send all data."""
        self._sock.sendall(data)
        self._meter.sent += len(data)
        self.total += len(data)

    def flush(self):
        """Do nothing: `write` holds nothing back."""


def framed(transport: SocketTransport) -> TFramedTransport:
    """Wrap a transport so that no frame beyond the limit is read."""
    return TFramedTransport(transport, MAX_FRAME)
