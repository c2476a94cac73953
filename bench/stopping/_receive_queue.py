"""Bytes that a process of this machine has not yet read from a connection."""

import socket
import struct

# sock_diag(7): protocol family, message type, and flag of a request.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBBI")
PORTS = struct.Struct(">HH")
ANY_COOKIE = struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
ANSWER_BYTES = 8192
# Offsets in `struct inet_diag_msg`, after the header of the message.
STATE_AT = HEADER.size + 1
QUEUE_AT = HEADER.size + 56
LISTENING = 10


class ReceiveQueues:
    """Asks the kernel for the receive queues of connections on loopback addresses."""

    def __init__(self):
        self._sock = socket.socket(
            socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
        )

    def unread(self, local, remote) -> int | None:
        """Return the bytes that wait for the owner of a socket.

        Parameters
        ----------
        local, remote : tuple of (str, int)
            Addresses of the socket, as its owner sees them.

        Returns
        -------
        int or None
            Bytes; None if there is no such connection.
        """
        body = (
            REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
            + PORTS.pack(local[1], remote[1])
            + socket.inet_aton(local[0]).ljust(16, b"\0")
            + socket.inet_aton(remote[0]).ljust(16, b"\0")
            + ANY_COOKIE
        )
        size = HEADER.size + len(body)
        head = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
        self._sock.send(head + body)
        answer = self._sock.recv(ANSWER_BYTES)
        kind = HEADER.unpack_from(answer)[1]
        if kind != SOCK_DIAG_BY_FAMILY or answer[STATE_AT] == LISTENING:
            return None
        return struct.unpack_from("=I", answer, QUEUE_AT)[0]

    def close(self) -> None:
        """Close the socket to the kernel."""
        self._sock.close()
