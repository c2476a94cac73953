"""Client side of the peer protocol, with one connection to each peer."""

import time

import attrs
from gevent import socket
from gevent.lock import BoundedSemaphore
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from cairnferry.coordination import DocumentNews, LogRow, TableUpdate
from cairnferry.peers._generated.peer import Peer
from cairnferry.peers._handshake import (
    HANDSHAKE_BYTES,
    HandshakeFailed,
    authenticate_to_server,
)
from cairnferry.peers._keys import KeyFileFault, KeyRing
from cairnferry.peers._messages import (
    Heartbeat,
    PermitQuery,
    PermitReply,
    document_from_wire,
    heartbeat_from_wire,
    heartbeat_to_wire,
    permit_query_to_wire,
    permit_reply_from_wire,
    row_from_wire,
)
from cairnferry.peers._packed_tables import unpack_table_update
from cairnferry.peers._token_messages import (
    TokenQuery,
    TokenReply,
    token_query_to_wire,
    token_reply_from_wire,
)
from cairnferry.peers._transport import ByteMeter, SocketTransport, framed
from cairnferry.wire import set_no_delay


@attrs.frozen
class PeerCallFailed(Exception):
    """A call to a peer failed.

    Attributes
    ----------
    address : str
        "IP:port" of the peer.
    reason : str
        Class name of the error that caused the failure.
    """

    address: str
    reason: str


@attrs.define(eq=False)
class PeerLink:
    """Connection to one peer, opened on first use.

    Parameters
    ----------
    address : str
        "IP:port" of the peer.
    keys : KeyRing
        Keys shared by the peers.
    meter : ByteMeter
        Counts the bytes sent and received on the connection.
    timeout : float
        Timeout of one call, in seconds.
    is_cross_zone : bool
        Whether the peer is in another availability zone.

    Attributes
    ----------
    used_at : float
        Monotonic time of the last call, in seconds; 0 if there was none.
    """

    address: str
    keys: KeyRing
    meter: ByteMeter
    timeout: float
    is_cross_zone: bool = False
    used_at: float = 0.0
    _transport: SocketTransport | None = None
    _client: Peer.Client | None = None
    _sock: socket.socket | None = None
    _lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)

    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Send a heartbeat and return that of the peer.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed.
        """
        return self._call(
            "heartbeat",
            lambda client: heartbeat_from_wire(
                client.heartbeat(heartbeat_to_wire(heartbeat))
            ),
        )

    def pull(self, first: int) -> list[LogRow]:
        """Return the peer's log rows from revision `first` on.

        A call returns as many rows as fit in a frame.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed.
        """
        return self._call(
            "pull", lambda client: [row_from_wire(row) for row in client.pull(first)]
        )

    def snapshot(self) -> bytes:
        """Return all records in force at the peer, encoded.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed.
        """
        return self._call("snapshot", lambda client: client.snapshot())

    def document_since(self, revision: int) -> DocumentNews:
        """Return an update of the rules for a daemon that has a revision of them.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed. Peers of earlier
            releases do not implement this call.
        """
        return self._call(
            "document",
            lambda client: document_from_wire(client.document_since(revision)),
        )

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Return an update for a copy of a table at the given version.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed.
        """
        return self._call(
            f"news-of-{table}",
            lambda client: unpack_table_update(
                client.news_since(table, version, packed=True)
            ),
        )

    def request_permits(
        self, requester: str, queries: tuple[PermitQuery, ...]
    ) -> list[PermitReply]:
        """Request permits to send requests to limited targets.

        Parameters
        ----------
        requester : str
            Name of the daemon that requests them.
        queries : tuple of PermitQuery
            One query for each target.

        Returns
        -------
        list of PermitReply
            Replies in the order of the queries.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed.
        """
        messages = [permit_query_to_wire(query) for query in queries]
        return self._call(
            "permits",
            lambda client: [
                permit_reply_from_wire(reply)
                for reply in client.ask_permits(requester, messages)
            ],
        )

    def request_tokens(
        self, requester: str, queries: list[TokenQuery]
    ) -> list[TokenReply]:
        """Request tokens for requests of workspaces from their owner.

        Parameters
        ----------
        requester : str
            Name of the daemon that requests them.
        queries : list of TokenQuery
            One query for each request.

        Returns
        -------
        list of TokenReply
            Replies in the order of the queries.

        Raises
        ------
        PeerCallFailed
            If the call failed; the connection is then closed. Peers of earlier
            releases do not implement this call.
        """
        messages = [token_query_to_wire(query) for query in queries]
        return self._call(
            "tokens",
            lambda client: [
                token_reply_from_wire(reply)
                for reply in client.ask_tokens(requester, messages)
            ],
        )

    def _call(self, kind, operation):
        # The answer to a call that timed out may still arrive and would be taken
        # for the answer to the next call. Each failure therefore closes the
        # connection.
        with self._lock:
            self.used_at = time.monotonic()
            try:
                if self._client is None:
                    self._open()
                self._sock.settimeout(self.timeout)
                bytes_before = self._transport.total
                result = operation(self._client)
                count = self._transport.total - bytes_before
                self.meter.count_call(kind, self.is_cross_zone, count)
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
        authenticate_to_server(sock, self.keys)
        self.meter.count_call("greeting", self.is_cross_zone, HANDSHAKE_BYTES)
        self._transport = SocketTransport(sock, self.meter)
        factory = TCompactProtocolAcceleratedFactory()
        protocol = factory.getProtocol(framed(self._transport))
        self._client = Peer.Client(protocol)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._client = None


@attrs.define
class PeerLinks:
    """Links to peers by address; links unused for a long time are closed.

    Parameters
    ----------
    keys, meter, timeout
        As for `PeerLink`.
    """

    keys: KeyRing
    meter: ByteMeter
    timeout: float
    _links: dict[str, PeerLink] = attrs.field(factory=dict)

    def link_to(self, address: str, is_cross_zone: bool = False) -> PeerLink:
        """Return the link to a peer, creating it if there is none.

        Parameters
        ----------
        address : str
            "IP:port" of the peer.
        is_cross_zone : bool
            Whether the peer is in another availability zone.
        """
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self.keys, self.meter, self.timeout, is_cross_zone)
            self._links[address] = link
        return link

    def close_unused(self, since: float) -> None:
        """Close the links last used before `since`, a monotonic time in seconds."""
        for address, link in list(self._links.items()):
            if link.used_at < since:
                link.close()
                del self._links[address]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
