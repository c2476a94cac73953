"""Connections to targets and the exchanges over them."""

import enum
import re
import time
from collections.abc import Iterable

import attrs

from cairnferry.entry.http import RequestHead
from cairnferry.entry.targets._conventions import (
    CheckResult,
    DefaultTargetConvention,
    TargetConvention,
)
from cairnferry.policy import Attempt, AttemptResult
from cairnferry.records import Target
from cairnferry.wire import (
    ConnectFailed,
    Connection,
    ConnectionPool,
    Failure,
    NotSent,
    Outcome,
    Reply,
    encode_request,
    exchange,
)

# Longest answer to a status check, in bytes; it has no content of interest.
MAX_CHECK_BYTES = 65536
_IDLE_TIMEOUT = re.compile(r"(?:^|[,\s])timeout=([0-9]{1,6})")


class Presence(enum.StrEnum):
    """What a look at a target showed."""

    SERVING = "serving"
    REFUSING = "refusing"
    REPLACED = "replaced"
    SILENT = "silent"


# Errors of a connection by which a machine says that nothing listens there.
_REFUSALS = frozenset(["ConnectionRefusedError", "ConnectionResetError"])


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
    head : RequestHead
        What the headers say to the system itself.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    head: RequestHead


@attrs.define
class Upstreams:
    """Pools of connections, one for each start of a target.

    Parameters
    ----------
    connect_timeout : float
        Seconds to open a connection.
    max_answer : int
        Longest body of an answer, in bytes.
    convention : TargetConvention, optional
        How targets speak.
    """

    connect_timeout: float
    max_answer: int
    convention: TargetConvention = attrs.field(factory=DefaultTargetConvention)
    _pools: dict[tuple, ConnectionPool] = attrs.field(factory=dict)
    _opened_before: int = 0
    _lost_before: int = 0

    def send(self, req: OutboundRequest, attempt: Attempt) -> Outcome:
        """Make one attempt: one exchange, never repeated here."""
        call = attempt.call
        pool = self._pool(attempt.target.record)
        timeout = min(self.connect_timeout, call.deadline - time.monotonic())
        conn = pool.acquire(call.idempotent, timeout)
        if isinstance(conn, ConnectFailed):
            late = time.monotonic() >= call.deadline
            return NotSent(Failure.TIMEOUT if late else Failure.CONNECT)
        if attempt.target.is_unavailable(time.monotonic()):
            # It said so while the connection was opened.
            pool.release(conn)
            return NotSent(Failure.WITHDRAWN)
        payload = self._encode(req, attempt)
        rules = self.convention.rules(req.head)
        outcome = exchange(
            conn, req.method, payload, call.deadline, self.max_answer, rules
        )
        self._give_back(pool, conn, outcome)
        return outcome

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Give what an exchange proves."""
        return self.convention.classify(outcome, attempt)

    def check(self, target: Target, timeout: float) -> CheckResult:
        """Ask a target for its load.

        Parameters
        ----------
        target : Target
            Record of the target.
        timeout : float
            Seconds for the whole check.
        """
        deadline = time.monotonic() + timeout
        pool = self._pool(target)
        conn = pool.acquire(True, timeout)
        if isinstance(conn, ConnectFailed):
            return self.convention.read_check(NotSent(Failure.CONNECT), target)
        return self._check_on(conn, pool, target, deadline)

    def look_at(self, target: Target, timeout: float) -> Presence:
        """Look whether a target is there, over a new connection.

        Parameters
        ----------
        target : Target
            Record of the target.
        timeout : float
            Seconds for the whole look.
        """
        deadline = time.monotonic() + timeout
        pool = self._pool(target)
        conn = pool.open(timeout)
        if isinstance(conn, ConnectFailed):
            refuses = conn.reason in _REFUSALS
            return Presence.REFUSING if refuses else Presence.SILENT
        found = self._check_on(conn, pool, target, deadline)
        if found.address_reused:
            return Presence.REPLACED
        return Presence.SERVING if found.heard else Presence.SILENT

    def _check_on(
        self, conn: Connection, pool: ConnectionPool, target: Target, deadline: float
    ) -> CheckResult:
        host = f"{target.host}:{target.port}"
        payload = encode_request("GET", target.health_path, host, [], b"")
        outcome = exchange(conn, "GET", payload, deadline, MAX_CHECK_BYTES)
        self._give_back(pool, conn, outcome)
        found = self.convention.read_check(outcome, target)
        return attrs.evolve(found, heard=isinstance(outcome, Reply))

    def _pool(self, target):
        key = _pool_key(target)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(target.address)
        return pool

    def _give_back(self, pool, conn, outcome):
        if not isinstance(outcome, Reply) or not conn.is_open:
            return
        told = _IDLE_TIMEOUT.search(outcome.header("keep-alive") or "")
        if told:
            conn.idle_limit = float(told.group(1))
        pool.release(conn)

    def _encode(self, req, attempt):
        remaining = attempt.call.deadline - time.monotonic()
        target = attempt.target.record
        headers = [*req.headers, *self.convention.attempt_headers(attempt, remaining)]
        host = self.convention.host(req.head, target)
        return encode_request(req.method, req.path, host, headers, req.body)

    def keep_only(self, targets: Iterable[Target]) -> None:
        """Close the connections to all other targets, and to earlier starts of these.

        Those to an earlier start end with it, but a silent end shows only when a
        request is lost on one.
        """
        kept = {_pool_key(target) for target in targets}
        for key in list(self._pools):
            if key not in kept:
                pool = self._pools.pop(key)
                self._opened_before += pool.opened
                self._lost_before += pool.stale
                pool.close()

    def counts(self) -> dict[str, int]:
        """Count idle, opened and lost connections, those of targets gone by too."""
        pools = self._pools.values()
        return {
            "idle": sum(pool.idle for pool in pools),
            "opened": self._opened_before + sum(pool.opened for pool in pools),
            "lost": self._lost_before + sum(pool.stale for pool in pools),
        }

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(())


def _pool_key(target):
    return (target.identity, target.address)
