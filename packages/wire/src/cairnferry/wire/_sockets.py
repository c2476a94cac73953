"""Options and checks of sockets."""

import contextlib
import socket


def set_no_delay(sock) -> None:
    """Disable Nagle's algorithm, so that small segments are sent immediately.

    Notes
    -----
    Otherwise a head and a body that are sent in two segments take 44 ms on each hop,
    as the second segment waits for the delayed acknowledgement of the first. The
    median latency is then about 40 ms at every request rate.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# Bytes that the kernel accepts beyond those on the way to the remote side.
UNSENT_BYTES = 64 * 1024


def limit_unsent(sock) -> None:
    """Limit the data that the kernel keeps for a remote side which reads slowly.

    Notes
    -----
    The kernel would otherwise take megabytes, and then nothing for the long time in
    which a third of them is read. A slow reader would look like one that has stopped.
    """
    # A platform may lack the option, which only makes the limits above coarser.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)


# TCP keepalive: idle time in seconds before the first probe, interval in seconds
# between probes, and number of unanswered probes after which the connection is closed.
# A silent remote side is detected after about 3 s, the time after which the platforms
# consider an instance unreachable.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
# Maximum time in milliseconds for which sent data may stay unacknowledged.
USER_TIMEOUT_MS = 3000


def enable_keepalive(sock) -> None:
    """Enable TCP keepalive, so that the kernel detects a silent remote side.

    Notes
    -----
    A connection may go silent for good without a reset. A long poll on it would then
    wait for its complete timeout and miss the changes of that time. A shorter timeout
    would cause more calls all the time.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


# Linux socket option that is missing in the standard library, and an index that no
# network interface has.
SO_BINDTOIFINDEX = 62
NO_INTERFACE = 2**31 - 1


def refuse_connections(listener) -> bool:
    """Let the kernel refuse new connections, and keep those that it has accepted.

    Closing a listener resets the connections in its queue, although their callers may
    have sent a request. A listener that is bound to an interface that does not exist
    receives no new connections, while its queue and handshakes in progress remain.

    Parameters
    ----------
    listener : socket.socket
        A listening socket that is not bound to an interface.

    Returns
    -------
    bool
        Whether new connections are refused; the option needs Linux 5.7 or later.
    """
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, NO_INTERFACE)
    except OSError:
        return False
    return True


def shut_down(sock) -> None:
    """End a connection in both directions; its tasks see an end, and close the socket.

    Parameters
    ----------
    sock : gevent.socket.socket
        An open socket.
    """
    # The shutdown of gevent would raise an error of a closed descriptor in the tasks.
    with contextlib.suppress(OSError):
        sock._sock.shutdown(socket.SHUT_RDWR)


def is_quiet(sock) -> bool:
    """Return whether the remote side has neither closed nor sent anything.

    Parameters
    ----------
    sock : gevent.socket.socket
        An open socket.
    """
    try:
        # The recv of gevent would wait for the event loop; that of the socket does not.
        sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
