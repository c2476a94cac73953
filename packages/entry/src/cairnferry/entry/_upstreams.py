"""Connections to targets and the exchanges over them."""

import time

import attrs

from cairnferry.entry._headers import ATTEMPT_HEADER, TIMEOUT_HEADER
from cairnferry.policy import Attempt, AttemptKind
from cairnferry.wire import (
    ConnectFailed,
    ConnectionPool,
    Failure,
    NotSent,
    Outcome,
    Reply,
    encode_request,
    exchange,
)

MS_PER_S = 1000


@attrs.frozen
class OutboundRequest:
    """A request as it goes to any target.

    Attributes
    ----------
    method, path : str
        Request line.
    headers : list of (str, str)
        Without those that differ from attempt to attempt.
    body : bytes
        Whole body.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define
class Upstreams:
    """Pools of connections by address.

    Parameters
    ----------
    connect_timeout : float
        Seconds to open a connection.
    max_answer : int
        Longest body of an answer, in bytes.
    """

    connect_timeout: float
    max_answer: int
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.field(factory=dict)

    def send(self, req: OutboundRequest, attempt: Attempt) -> Outcome:
        """Make one attempt: one exchange, never repeated here."""
        call = attempt.call
        address = attempt.address
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address)
        remaining = call.deadline - time.monotonic()
        timeout = min(self.connect_timeout, remaining)
        conn = pool.take(call.idempotent, timeout)
        if isinstance(conn, ConnectFailed):
            late = time.monotonic() >= call.deadline
            return NotSent(Failure.TIMEOUT if late else Failure.CONNECT)
        payload = self._encode(req, attempt)
        outcome = exchange(conn, req.method, payload, call.deadline, self.max_answer)
        if isinstance(outcome, Reply) and conn.is_open:
            pool.give(conn)
        return outcome

    def _encode(self, req, attempt):
        remaining = attempt.call.deadline - time.monotonic()
        headers = [
            *req.headers,
            (TIMEOUT_HEADER, str(max(1, int(remaining * MS_PER_S)))),
        ]
        if attempt.kind is not AttemptKind.FIRST:
            headers.append((ATTEMPT_HEADER, str(len(attempt.call.attempts))))
        host, port = attempt.address
        return encode_request(req.method, req.path, f"{host}:{port}", headers, req.body)

    def keep_only(self, addresses: set[tuple[str, int]]) -> None:
        """Close the connections to addresses that are no longer in use."""
        for address in list(self._pools):
            if address not in addresses:
                self._pools.pop(address).close()

    def counts(self) -> dict[str, int]:
        """Count idle and opened connections, for a dump."""
        return {
            "idle": sum(pool.idle for pool in self._pools.values()),
            "opened": sum(pool.opened for pool in self._pools.values()),
        }

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())
