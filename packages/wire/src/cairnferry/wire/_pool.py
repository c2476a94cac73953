"""Pool of connections to one address."""

import time
from collections import deque

import attrs

from cairnferry.wire._connection import ConnectFailed, Connection, connect

# Seconds before the announced close of an idle connection from which it is no longer
# used, because a request could cross the close.
CLOSE_MARGIN_S = 0.7


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of idle connections to one address; the last used is taken first.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    max_idle : int
        Maximum number of idle connections; further ones are closed.
    max_idle_s : float
        Idle time in seconds after which a connection is not used again.
    trusted_idle_s : float
        Idle time in seconds up to which a non-idempotent request may use a connection.

    Attributes
    ----------
    opened : int
        Number of connections opened.
    stale : int
        Number of idle connections that were discarded at their next use because they
        were closed or had idled too long.
    """

    address: tuple[str, int]
    max_idle: int = 32
    max_idle_s: float = 30.0
    trusted_idle_s: float = 1.0
    opened: int = 0
    stale: int = 0
    _idle: deque = attrs.field(factory=deque, init=False)
    _closed: bool = attrs.field(default=False, init=False)

    def acquire(self, idempotent: bool, timeout: float) -> Connection | ConnectFailed:
        """Return an idle connection that is still usable, or open one.

        Parameters
        ----------
        idempotent : bool
            Whether the request is idempotent.
        timeout : float
            Maximum time in seconds to wait for a new connection.

        Notes
        -----
        The target may close a long idle connection at the moment of its next use. Then
        it is unknown whether the request ran. A non-idempotent request therefore gets
        a recently used connection or a new one.
        """
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            age = now - conn.idle_since
            limit = min(self.max_idle_s, conn.idle_limit - CLOSE_MARGIN_S)
            if age > limit or not conn.is_quiet():
                conn.close()
                self.stale += 1
                continue
            if idempotent or age <= self.trusted_idle_s:
                return conn
            # The connection has idled too long for this request, but not for the next
            # idempotent one. All connections below it in the stack have idled longer.
            self._idle.append(conn)
            break
        return self.open(timeout)

    def open(self, timeout: float) -> Connection | ConnectFailed:
        """Open a connection, even if idle ones are available."""
        self.opened += 1
        return connect(self.address, timeout)

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool after a complete exchange."""
        if self._closed or len(self._idle) >= self.max_idle:
            conn.close()
            return
        self._idle.append(conn)

    def close(self) -> None:
        """Close all idle connections, and each released one from now on."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)
