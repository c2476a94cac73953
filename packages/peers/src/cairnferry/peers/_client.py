"""Calls to peers, one connection a peer."""

import time

import attrs
from gevent import socket
from gevent.lock import BoundedSemaphore
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from cairnferry.coordination import DocumentNews, LogRow, TableUpdate
from cairnferry.peers._generated.peer import Peer
from cairnferry.peers._handshake import GREETING_BYTES, HandshakeFailed, greet
from cairnferry.peers._keys import KeyFileFault, KeyRing
from cairnferry.peers._messages import (
    Heartbeat,
    PermitsGiven,
    PermitsWanted,
    document_from_wire,
    from_wire,
    given_from_wire,
    news_from_wire,
    row_from_wire,
    to_wire,
    wanted_to_wire,
)
from cairnferry.peers._transport import ByteMeter, SocketTransport, framed
from cairnferry.wire import set_no_delay


@attrs.frozen
class PeerCallFailed(Exception):
    """A call to a peer gave no answer.

    Attributes
    ----------
    address : str
        The peer.
    reason : str
        Name of the error.
    """

    address: str
    reason: str


@attrs.define(eq=False)
class PeerLink:
    """Connection to one peer, opened when it is first needed.

    Parameters
    ----------
    address : str
        "IP:port" of the peer.
    keys : KeyRing
        Keys of peers.
    meter : ByteMeter
        Counts what goes over the connection.
    timeout : float
        Seconds for one call.
    is_far : bool
        Whether the peer is in another availability zone.
    """

    address: str
    keys: KeyRing
    meter: ByteMeter
    timeout: float
    is_far: bool = False
    used_at: float = 0.0
    _transport: SocketTransport | None = None
    _client: Peer.Client | None = None
    _sock: socket.socket | None = None
    _lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)

    def heartbeat(self, mine: Heartbeat) -> Heartbeat:
        """Exchange heartbeats.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then.
        """
        return self._call(
            "heartbeat", lambda client: from_wire(client.heartbeat(to_wire(mine)))
        )

    def pull(self, first: int) -> list[LogRow]:
        """Read rows of the log from the peer.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then.
        """
        return self._call(
            "pull", lambda client: [row_from_wire(row) for row in client.pull(first)]
        )

    def snapshot(self) -> bytes:
        """Read all records in force at the peer, encoded.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then.
        """
        return self._call("snapshot", lambda client: client.snapshot())

    def document_since(self, revision: int) -> DocumentNews:
        """Read what is lacking of the rules where a revision of them is held.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then. A peer of an earlier
            release does not know the call.
        """
        return self._call(
            "document",
            lambda client: document_from_wire(client.document_since(revision)),
        )

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Read what a copy of a table lacks that has the version.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then.
        """
        return self._call(
            f"news-of-{table}",
            lambda client: news_from_wire(client.news_since(table, version)),
        )

    def ask_permits(
        self, asker: str, wanted: tuple[PermitsWanted, ...]
    ) -> list[PermitsGiven]:
        """Ask for permits to send to limited targets.

        Raises
        ------
        PeerCallFailed
            If no answer came; the connection is closed then.
        """
        messages = [wanted_to_wire(each) for each in wanted]
        return self._call(
            "permits",
            lambda client: [
                given_from_wire(given) for given in client.ask_permits(asker, messages)
            ],
        )

    def _call(self, kind, operation):
        # An answer that comes after its call was given up would be taken for
        # the answer to the next one. So each failure closes the connection.
        with self._lock:
            self.used_at = time.monotonic()
            try:
                if self._client is None:
                    self._open()
                self._sock.settimeout(self.timeout)
                before = self._transport.total
                result = operation(self._client)
                count = self._transport.total - before
                self.meter.note_call(kind, self.is_far, count)
            except (
                OSError,
                EOFError,
                TException,
                HandshakeFailed,
                KeyFileFault,
                ValueError,
                TypeError,
            ) as exc:
                self.close()
                raise PeerCallFailed(self.address, type(exc).__name__) from exc
            except BaseException:
                self.close()
                raise
            self.meter.messages += 1
            return result

    def _open(self):
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), self.timeout)
        self._sock = sock
        set_no_delay(sock)
        sock.settimeout(self.timeout)
        greet(sock, self.keys)
        self.meter.note_call("greeting", self.is_far, GREETING_BYTES)
        self._transport = SocketTransport(sock, self.meter)
        factory = TCompactProtocolAcceleratedFactory()
        protocol = factory.getProtocol(framed(self._transport))
        self._client = Peer.Client(protocol)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._client = None


@attrs.define
class PeerLinks:
    """Links by address; those long unused are closed.

    Parameters
    ----------
    keys, meter, timeout
        As for `PeerLink`.
    """

    keys: KeyRing
    meter: ByteMeter
    timeout: float
    _links: dict[str, PeerLink] = attrs.field(factory=dict)

    def to(self, address: str, is_far: bool = False) -> PeerLink:
        """Give the link to an address, which may be in another availability zone."""
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self.keys, self.meter, self.timeout, is_far)
            self._links[address] = link
        return link

    def close_unused(self, since: float) -> None:
        """Close the links that were last used before a monotonic time."""
        for address, link in list(self._links.items()):
            if link.used_at < since:
                link.close()
                del self._links[address]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
