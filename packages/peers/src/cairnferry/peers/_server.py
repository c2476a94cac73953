"""Server side of the peer protocol, with one greenlet for each connection."""

import logging
import math
import typing

import gevent
from gevent.server import StreamServer
from gevent.socket import socket
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from cairnferry.coordination import DocumentNews, LogRow, TableUpdate
from cairnferry.peers._generated.peer import Peer
from cairnferry.peers._handshake import (
    REQUESTS,
    HandshakeFailed,
    authenticate_client,
)
from cairnferry.peers._keys import KeyFileFault, KeyRing
from cairnferry.peers._messages import (
    Heartbeat,
    PermitQuery,
    PermitReply,
    document_to_wire,
    heartbeat_from_wire,
    heartbeat_to_wire,
    permit_query_from_wire,
    permit_reply_to_wire,
    row_to_wire,
    table_update_to_wire,
)
from cairnferry.peers._packed_tables import TablePacker
from cairnferry.peers._token_messages import (
    TokenQuery,
    TokenReply,
    token_query_from_wire,
    token_reply_to_wire,
)
from cairnferry.peers._transport import (
    MAX_FRAME_BYTES,
    ByteMeter,
    SocketTransport,
    framed,
)
from cairnferry.wire import set_no_delay, shut_down

HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 512
# Share of them that may carry requests of callers. The rest is for calls, without which
# peers would consider this daemon lost.
REQUEST_CONNECTIONS_SHARE = 0.5
# Share of them that may be in the handshake, which takes a peer some milliseconds. The
# oldest ends for a new one: whoever does not finish it must not keep peers out.
HANDSHAKES_SHARE = 0.125
# Leaves space in a frame for the Thrift envelope of the list of rows.
MAX_PULL_BYTES = MAX_FRAME_BYTES // 2

log = logging.getLogger(__name__)


class PeerHandler(typing.Protocol):
    """Answers the calls of peers; implemented by the daemon."""

    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Apply the heartbeat of a peer and return that of this daemon."""

    def rows_from(self, first: int) -> list[LogRow]:
        """Return the log rows of this daemon from revision `first` on."""

    def snapshot(self) -> bytes:
        """Return all records in force at this daemon, encoded."""

    def document_since(self, revision: int) -> DocumentNews:
        """Return an update of the rules for a peer that has a revision of them."""

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Return an update for a copy of a table at the given version."""

    def issue_permits(
        self, requester: str, queries: list[PermitQuery]
    ) -> list[PermitReply]:
        """Issue permits for requests to limited targets to a daemon."""

    def grant_tokens(
        self, requester: str, queries: list[TokenQuery]
    ) -> list[TokenReply]:
        """Grant tokens for requests of workspaces to a daemon."""


class _ThriftAdapter:
    """Implements the generated Thrift interface by means of a `PeerHandler`."""

    def __init__(self, handler):
        self._handler = handler
        self._packer = TablePacker()

    def heartbeat(self, heartbeat):
        return heartbeat_to_wire(
            self._handler.heartbeat(heartbeat_from_wire(heartbeat))
        )

    def pull(self, first):
        messages = []
        size = 0
        for row in self._handler.rows_from(first):
            message = row_to_wire(row)
            size += len(message.body)
            if messages and size > MAX_PULL_BYTES:
                break
            messages.append(message)
        return messages

    def snapshot(self):
        return self._handler.snapshot()

    def document_since(self, revision):
        return document_to_wire(self._handler.document_since(revision))

    def news_since(self, table, version, packed):
        update = self._handler.news_since(table, version)
        if not packed:
            return table_update_to_wire(update)
        return self._packer.pack(table, version, update)

    def ask_permits(self, requester, queries):
        parsed = [permit_query_from_wire(each) for each in queries]
        replies = self._handler.issue_permits(requester, parsed)
        return [permit_reply_to_wire(each) for each in replies]

    def ask_tokens(self, requester, queries):
        parsed = [token_query_from_wire(each) for each in queries]
        replies = self._handler.grant_tokens(requester, parsed)
        return [token_reply_to_wire(each) for each in replies]


class PeerServer:
    """Serves peers on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to listen on.
    handler : PeerHandler
        Answers the calls.
    keys : KeyRing
        Keys shared by the peers.
    meter : ByteMeter
        Counts the bytes sent and received on the connections.
    max_connections : int, optional
        Maximum number of connections.

    Attributes
    ----------
    connections : int
        Open connections.
    on_requests : callable or None
        Serves a connection on which a peer passes requests of callers on, given its
        socket and address; None if they are not served here.
    """

    def __init__(
        self,
        address,
        handler: PeerHandler,
        keys: KeyRing,
        meter: ByteMeter,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self._processor = Peer.Processor(_ThriftAdapter(handler))
        self._factory = TCompactProtocolAcceleratedFactory()
        self._keys = keys
        self._meter = meter
        self._server = StreamServer(address, self._serve, spawn=max_connections)
        self._max_requests = math.ceil(REQUEST_CONNECTIONS_SHARE * max_connections)
        self._max_handshakes = math.ceil(HANDSHAKES_SHARE * max_connections)
        # Sockets in the handshake, the oldest first.
        self._handshakes: dict[socket, None] = {}
        self.connections = 0
        self.on_requests = None
        self._request_connections = 0

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        set_no_delay(sock)
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        self.connections += 1
        try:
            protocol = self._authenticate(sock)
            if protocol == REQUESTS:
                self._serve_requests(sock, address)
                return
            sock.settimeout(IDLE_TIMEOUT_S)
            self._process(framed(SocketTransport(sock, self._meter)))
        except HandshakeFailed as exc:
            log.warning(
                "peer failed the handshake",
                extra={"peer": address[0], "why": exc.reason},
            )
        except KeyFileFault as exc:
            log.error("peer keys cannot be used", extra={"why": str(exc)})
        except (OSError, EOFError, TException):
            # The peer has disconnected or uses another protocol. Its calls have
            # failed on its side, which handles the error.
            pass
        except (ValueError, TypeError) as exc:
            log.warning(
                "malformed frame from a peer",
                extra={"peer": address[0], "why": str(exc)},
            )
        finally:
            self.connections -= 1
            sock.close()

    def _authenticate(self, sock):
        if len(self._handshakes) >= self._max_handshakes:
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            shut_down(oldest)
        self._handshakes[sock] = None
        try:
            return authenticate_client(sock, self._keys)
        finally:
            self._handshakes.pop(sock, None)

    def _serve_requests(self, sock, address):
        if self.on_requests is None:
            return
        if self._request_connections >= self._max_requests:
            log.warning("too many peers pass requests on", extra={"peer": address[0]})
            return
        self._request_connections += 1
        try:
            sock.settimeout(None)
            self.on_requests(sock, address)
        finally:
            self._request_connections -= 1

    def _process(self, transport):
        protocol = self._factory.getProtocol(transport)
        while True:
            self._processor.process(protocol, protocol)
            self._meter.messages += 1
            gevent.sleep(0)
