"""Listener for peers: one task for each connection."""

import logging
import typing

import gevent
from gevent.server import StreamServer
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from cairnferry.coordination import DocumentNews, LogRow, TableUpdate
from cairnferry.peers._generated.peer import Peer
from cairnferry.peers._handshake import HandshakeFailed, welcome
from cairnferry.peers._keys import KeyFileFault, KeyRing
from cairnferry.peers._messages import (
    Heartbeat,
    PermitsGiven,
    PermitsWanted,
    document_to_wire,
    from_wire,
    given_to_wire,
    news_to_wire,
    row_to_wire,
    to_wire,
    wanted_from_wire,
)
from cairnferry.peers._transport import (
    MAX_FRAME,
    ByteMeter,
    SocketTransport,
    framed,
)
from cairnferry.wire import set_no_delay

HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 512
# Leaves room in a frame for the envelope of the list.
MAX_PULL_BYTES = MAX_FRAME // 2

log = logging.getLogger(__name__)


class PeerHandler(typing.Protocol):
    """What a daemon does with calls of its peers."""

    def heartbeat(self, theirs: Heartbeat) -> Heartbeat:
        """Take in what a peer knows; answer with what is known here."""

    def rows_from(self, first: int) -> list[LogRow]:
        """Give the rows of the log held here, from a revision on."""

    def snapshot(self) -> bytes:
        """Give all records in force here, encoded."""

    def document_since(self, revision: int) -> DocumentNews:
        """Give what a peer lacks of the rules that holds a revision."""

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Give what a copy of a table lacks that has the version."""

    def issue_permits(
        self, asker: str, wanted: list[PermitsWanted]
    ) -> list[PermitsGiven]:
        """Give a daemon permits to send to limited targets."""


class _Adapter:
    """Implements the generated interface on top of a handler."""

    def __init__(self, handler):
        self._handler = handler

    def heartbeat(self, mine):
        return to_wire(self._handler.heartbeat(from_wire(mine)))

    def pull(self, first):
        chosen = []
        size = 0
        for row in self._handler.rows_from(first):
            message = row_to_wire(row)
            size += len(message.body)
            if chosen and size > MAX_PULL_BYTES:
                break
            chosen.append(message)
        return chosen

    def snapshot(self):
        return self._handler.snapshot()

    def document_since(self, revision):
        return document_to_wire(self._handler.document_since(revision))

    def news_since(self, table, version):
        return news_to_wire(self._handler.news_since(table, version))

    def ask_permits(self, asker, wanted):
        asked = [wanted_from_wire(each) for each in wanted]
        given = self._handler.issue_permits(asker, asked)
        return [given_to_wire(each) for each in given]


class PeerServer:
    """Serves peers on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to listen.
    handler : PeerHandler
        Answers the calls.
    keys : KeyRing
        Keys of peers.
    meter : ByteMeter
        Counts what goes over the connections.
    """

    def __init__(self, address, handler: PeerHandler, keys: KeyRing, meter: ByteMeter):
        self._processor = Peer.Processor(_Adapter(handler))
        self._factory = TCompactProtocolAcceleratedFactory()
        self._keys = keys
        self._meter = meter
        self._server = StreamServer(address, self._serve, spawn=MAX_CONNECTIONS)
        self.connections = 0

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        set_no_delay(sock)
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        self.connections += 1
        try:
            welcome(sock, self._keys)
            sock.settimeout(IDLE_TIMEOUT_S)
            self._process(framed(SocketTransport(sock, self._meter)))
        except HandshakeFailed as exc:
            log.warning("peer refused", extra={"peer": address[0], "why": exc.reason})
        except KeyFileFault as exc:
            log.error("no peer keys", extra={"why": str(exc)})
        except (OSError, EOFError, TException):
            # The other side is gone or speaks another protocol; its own calls
            # have failed, and it decides what to do.
            pass
        except (ValueError, TypeError) as exc:
            log.warning("peer frame", extra={"peer": address[0], "why": str(exc)})
        finally:
            self.connections -= 1
            sock.close()

    def _process(self, transport):
        protocol = self._factory.getProtocol(transport)
        while True:
            self._processor.process(protocol, protocol)
            self._meter.messages += 1
            gevent.sleep(0)
