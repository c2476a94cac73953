"""Thrift transport over a gevent socket that counts bytes."""

import collections

import attrs
from thrift.transport.TTransport import TFramedTransport, TTransportBase

MAX_FRAME_BYTES = 2 * 1024 * 1024


@attrs.define
class ByteMeter:
    """Bytes of frames and number of messages since the start.

    Attributes
    ----------
    sent, received : int
        Bytes on all connections.
    messages : int
        Answered calls, both from and to this daemon.
    call_bytes : Counter
        Bytes of calls from this daemon, in both directions, by kind of call and by
        "far" or "near" (whether the peer is in another availability zone). Traffic
        between zones is billed.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
    call_bytes: collections.Counter = attrs.field(factory=collections.Counter)

    def count_call(self, kind: str, is_cross_zone: bool, count: int) -> None:
        """Count the bytes of a call from this daemon.

        Parameters
        ----------
        kind : str
            Kind of call.
        is_cross_zone : bool
            Whether the peer is in another availability zone.
        count : int
            Bytes in both directions.
        """
        self.call_bytes[kind, "far" if is_cross_zone else "near"] += count


class SocketTransport(TTransportBase):
    """Unframed transport over a connected socket.

    Parameters
    ----------
    sock : socket
        The connected socket.
    meter : ByteMeter
        Counts the bytes sent and received.

    Attributes
    ----------
    total : int
        Bytes sent and received on this transport.
    """

    def __init__(self, sock, meter: ByteMeter):
        self._sock = sock
        self._meter = meter
        self.total = 0

    def isOpen(self):  # noqa: N802 - name required by Thrift
        """Return whether the socket is open."""
        return self._sock.fileno() >= 0

    def close(self):
        """Close the socket."""
        self._sock.close()

    def read(self, size):
        """Return at most `size` bytes; none at the end of the stream."""
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
        """Do nothing, as `write` does not buffer."""


def framed(transport: SocketTransport) -> TFramedTransport:
    """Wrap a transport in frames of at most `MAX_FRAME_BYTES`."""
    return TFramedTransport(transport, MAX_FRAME_BYTES)
