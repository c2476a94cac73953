"""A TCP connection to one address and what is known of its liveness."""

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
        Name of the error, as the operating system gives it.
    """

    reason: str


@attrs.define(slots=True, eq=False)
class Connection:
    """An open connection that carries one exchange at a time.

    Attributes
    ----------
    sock : gevent.socket.socket
        The socket.
    address : tuple of (str, int)
        Remote IP address and port.
    idle_since : float
        Monotonic time in seconds of opening or of the last whole exchange.
    idle_limit : float
        Seconds without use after which the remote side has said it would close.
    """

    sock: socket.socket
    address: tuple[str, int]
    idle_since: float = attrs.field(factory=time.monotonic)
    idle_limit: float = math.inf

    def is_quiet(self) -> bool:
        """Tell whether the remote side has neither closed nor sent anything.

        Notes
        -----
        A remote side that closed while the connection was idle would show as a
        reset after the request was written: then it is unknown whether it ran.
        Bytes that nobody asked for would be taken for the answer to the next
        request. Both are seen here by one read that does not wait.
        """
        return is_quiet(self.sock)

    @property
    def is_open(self) -> bool:
        """Whether it was not closed here."""
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
        Seconds to wait at most.
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
