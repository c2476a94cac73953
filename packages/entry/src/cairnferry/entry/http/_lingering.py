"""Closing of connections whose remote side may still be sending."""

import contextlib
from socket import SHUT_WR

import gevent

# Bytes that are read at once, and in total.
DISCARD_READ_BYTES = 16 * 1024
MAX_DISCARDED_BYTES = 1024 * 1024
# Seconds for which input is discarded, longer than a round trip.
LINGER_S = 0.5


def linger(sock) -> None:
    """End the output of a connection, and discard its input for a short time.

    A connection that is closed with unread input is reset, and the remote side may see
    the reset before the last answer.

    Parameters
    ----------
    sock : gevent.socket.socket
        Connection on which the last answer was sent. The caller closes it.
    """
    discarded = 0
    with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
        sock.shutdown(SHUT_WR)
        while discarded < MAX_DISCARDED_BYTES:
            data = sock.recv(DISCARD_READ_BYTES)
            if not data:
                return
            discarded += len(data)
