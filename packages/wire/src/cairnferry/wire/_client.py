"""HTTP client without load balancing, for the platform, operators and test tools."""

import time

import attrs

from cairnferry.wire._connection import ConnectFailed
from cairnferry.wire._exchange import Failure, NotSent, Outcome, Reply, exchange
from cairnferry.wire._pool import ConnectionPool
from cairnferry.wire._request import encode_request
from cairnferry.wire._sockets import enable_keepalive

DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024


@attrs.define(eq=False)
class Client:
    """Client of one address; sends each request once.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    host_name : str, optional
        Value of the Host header; defaults to the address.
    max_body : int, optional
        Maximum length of a response body in bytes.
    """

    host: str
    port: int
    host_name: str | None = None
    max_body: int = DEFAULT_MAX_BODY_BYTES
    _pool: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._pool = ConnectionPool((self.host, self.port))

    @property
    def authority(self) -> str:
        """Value of the Host header."""
        return self.host_name or f"{self.host}:{self.port}"

    def call(
        self, method, path, *, timeout, headers=(), body=b"", idempotent=False
    ) -> Outcome:
        """Send a request and return the outcome.

        Parameters
        ----------
        method, path : str
            Parts of the request line.
        timeout : float
            Time in seconds for the complete call.
        headers : iterable of (str, str), optional
            Additional headers.
        body : bytes, optional
            Request body.
        idempotent : bool, optional
            Whether the request may use a connection that has idled for long.
        """
        deadline = time.monotonic() + timeout
        payload = encode_request(method, path, self.authority, headers, body)
        conn = self._pool.acquire(idempotent, timeout)
        if isinstance(conn, ConnectFailed):
            return NotSent(Failure.CONNECT)
        enable_keepalive(conn.sock)
        outcome = exchange(conn, method, payload, deadline, self.max_body)
        if isinstance(outcome, Reply) and conn.is_open:
            self._pool.release(conn)
        return outcome

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
