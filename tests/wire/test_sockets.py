"""Tests of the options of sockets."""

import socket

from cairnferry.wire import enable_keepalive
from cairnferry.wire._sockets import USER_TIMEOUT_MS

TCP = socket.IPPROTO_TCP


def test_user_timeout_and_keepalive_give_up_at_the_same_time():
    """Guards against a user timeout that ends keepalive probes earlier or later.

    On Linux the user timeout decides when probes give up, whatever their count.
    """
    with socket.socket() as sock:
        enable_keepalive(sock)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle = sock.getsockopt(TCP, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(TCP, socket.TCP_KEEPINTVL)
        count = sock.getsockopt(TCP, socket.TCP_KEEPCNT)
        assert sock.getsockopt(TCP, socket.TCP_USER_TIMEOUT) == USER_TIMEOUT_MS
        assert (idle + interval * count) * 1000 == USER_TIMEOUT_MS
