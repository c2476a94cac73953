"""HTTP/1.1 exchanges that report how far a failed request got.

This package never sends a request a second time. The calling code decides on retries,
as it knows whether the request is idempotent.
"""

from cairnferry.wire._client import Client
from cairnferry.wire._connection import ConnectFailed, Connection, connect
from cairnferry.wire._exchange import (
    BODILESS_STATUSES,
    Failure,
    Incomplete,
    NotSent,
    Outcome,
    Reply,
    ResponseRules,
    Room,
    describe_outcome,
    exchange,
    find_header,
)
from cairnferry.wire._link import Link
from cairnferry.wire._pool import ConnectionPool
from cairnferry.wire._request import HeaderInvalid, encode_parts, encode_request
from cairnferry.wire._sockets import (
    enable_keepalive,
    is_quiet,
    limit_unsent,
    refuse_connections,
    set_no_delay,
    shut_down,
)

__all__ = [
    "BODILESS_STATUSES",
    "ResponseRules",
    "Client",
    "ConnectFailed",
    "Connection",
    "ConnectionPool",
    "Failure",
    "HeaderInvalid",
    "Incomplete",
    "Link",
    "NotSent",
    "Outcome",
    "Reply",
    "Room",
    "connect",
    "describe_outcome",
    "enable_keepalive",
    "encode_parts",
    "encode_request",
    "exchange",
    "find_header",
    "is_quiet",
    "limit_unsent",
    "refuse_connections",
    "set_no_delay",
    "shut_down",
]
