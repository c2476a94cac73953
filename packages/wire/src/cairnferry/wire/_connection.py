"""TCP connections and checks of whether they are still usable."""

import math
import time

import attrs
from gevent import socket

from cairnferry.wire._sockets import is_quiet, set_no_delay


@attrs.frozen
class ConnectFailed:
    """No connection could be opened, so nothing was sent.

    Attributes
    ----------
    reason : str
        "timeout", or the name of the Python exception.
    """

    reason: str


@attrs.define(slots=True, eq=False)
class Connection:
    """Open connection that carries one exchange at a time.

    Attributes
    ----------
    sock : gevent.socket.socket
        The socket.
    address : tuple of (str, int)
        Remote IP address and port.
    idle_since : float
        Monotonic time in seconds of the opening or of the last complete exchange.
    idle_limit : float
        Idle time in seconds after which the remote side has announced to close the
        connection.
    """

    sock: socket.socket
    address: tuple[str, int]
    idle_since: float = attrs.field(factory=time.monotonic)
    idle_limit: float = math.inf

    def is_quiet(self) -> bool:
        """Return whether the remote side has neither closed nor sent anything.

        Notes
        -----
        If the remote side closed an idle connection, the next request would fail with a
        reset after it was written, and it would be unknown whether it ran. Unsolicited
        bytes would be parsed as the response to the next request. One non-blocking
        read detects both.
        """
        return is_quiet(self.sock)

    @property
    def is_open(self) -> bool:
        """Whether this side has not closed the connection."""
        return self.sock.fileno() >= 0

    def close(self) -> None:
        """Close the socket; a second call does nothing."""
        self.sock.close()


def connect(address: tuple[str, int], timeout: float) -> Connection | ConnectFailed:
    """Open a connection.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    timeout : float
        Maximum time to wait in seconds.
    """
    if timeout <= 0:
        return ConnectFailed("timeout")
    try:
        sock = socket.create_connection(address, timeout)
    except TimeoutError:
        return ConnectFailed("timeout")
    except OSError as exc:
        return ConnectFailed(type(exc).__name__)
    set_no_delay(sock)
    return Connection(sock, address)
