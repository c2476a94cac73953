"""Connections to a peer for requests of callers that are passed on to it."""

import attrs

from cairnferry.peers._handshake import (
    REQUESTS,
    HandshakeFailed,
    authenticate_to_server,
)
from cairnferry.peers._keys import KeyFileFault, KeyRing
from cairnferry.wire import (
    ConnectFailed,
    Connection,
    ConnectionPool,
    connect,
    enable_keepalive,
)


@attrs.define(eq=False, kw_only=True)
class PeerRequestPool(ConnectionPool):
    """Pool of authenticated connections to one peer.

    Parameters
    ----------
    keys : KeyRing
        Keys shared by the peers.
    """

    keys: KeyRing

    def open(self, timeout: float) -> Connection | ConnectFailed:
        """Open a connection and authenticate on it.

        Parameters
        ----------
        timeout : float
            Maximum time to wait for each step, in seconds.
        """
        self.opened += 1
        conn = connect(self.address, timeout)
        if isinstance(conn, ConnectFailed):
            return conn
        try:
            conn.sock.settimeout(timeout)
            authenticate_to_server(conn.sock, self.keys, REQUESTS)
        except (OSError, HandshakeFailed, KeyFileFault) as exc:
            conn.close()
            return ConnectFailed(type(exc).__name__)
        except BaseException:
            conn.close()
            raise
        enable_keepalive(conn.sock)
        return conn
