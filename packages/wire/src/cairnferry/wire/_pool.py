"""Idle connections to one address."""

import time
from collections import deque

import attrs

from cairnferry.wire._connection import ConnectFailed, Connection, connect

# Seconds before the time at which the remote side closes an idle connection, from
# which a request might cross the close.
CLOSE_MARGIN_S = 0.7


@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections to one address, the last used first.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    max_idle : int
        Idle connections kept; more are closed.
    max_idle_s : float
        Age in seconds from which an idle connection is not used again.
    trusted_idle_s : float
        Age in seconds up to which a non-idempotent request may use one.

    Attributes
    ----------
    opened, lost : int
        Connections opened, and idle ones that were too old or no longer alive when
        they were wanted.
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
        """Give an idle connection that looks alive, or open one.

        Notes
        -----
        A connection that has idled long may be closed by the target at the same
        moment. A request that was written by then is unknown, so that a
        non-idempotent one gets a connection used lately, or a new one.
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
            # Too old for this one, but the next idempotent request may use it, and
            # all that lie below it are older.
            self._idle.append(conn)
            break
        return self.open(timeout)

    def open(self, timeout: float) -> Connection | ConnectFailed:
        """Open a connection, whatever idles."""
        self.opened += 1
        return connect(self.address, timeout)

    def release(self, conn: Connection) -> None:
        """Take back a connection after a whole exchange."""
        if self._closed or len(self._idle) >= self.max_idle:
            conn.close()
            return
        self._idle.append(conn)

    def close(self) -> None:
        """Close what is idle now and what comes back later."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    @property
    def idle(self) -> int:
        """Idle connections held."""
        return len(self._idle)
