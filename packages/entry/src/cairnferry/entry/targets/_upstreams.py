"""Connections to targets and the exchanges over them."""

import enum
import re
import time
from collections.abc import Callable, Iterable

import attrs

from cairnferry.entry.http import Problem, RequestHead
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
    Link,
    NotSent,
    Outcome,
    Reply,
    Room,
    encode_parts,
    encode_request,
    exchange,
)

# Maximum size in bytes of an answer to a status check, whose body is not used.
MAX_CHECK_BYTES = 65536
_IDLE_TIMEOUT = re.compile(r"(?:^|[,\s])timeout=([0-9]{1,6})")


class Presence(enum.StrEnum):
    """Result of a presence check of a target."""

    SERVING = "serving"
    REFUSING = "refusing"
    REPLACED = "replaced"
    SILENT = "silent"


# Connection errors which mean that nothing listens at the address.
_REFUSALS = frozenset(["ConnectionRefusedError", "ConnectionResetError"])


def _no_problem():
    return None


def _no_room():
    return None


@attrs.frozen
class OutboundRequest:
    """A request as it is sent to any target.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : list of (str, str)
        Headers that are the same for all attempts.
    body : bytes or bytearray
        Complete body.
    head : RequestHead
        Parsed headers that the daemon itself uses.
    find_problem : callable, optional
        Called right before each attempt; returns the problem for which the request must
        not be sent any more, or None.
    new_room : callable, optional
        Returns the memory for the answer of one more attempt; None for no limit.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes | bytearray
    head: RequestHead
    find_problem: Callable[[], Problem | None] = _no_problem
    new_room: Callable[[], Room | None] = _no_room


@attrs.define
class Upstreams:
    """Connection pools, one per start of a target.

    Parameters
    ----------
    connect_timeout : float
        Maximum seconds to open a connection.
    max_answer : int
        Maximum size of an answer's body in bytes.
    convention : TargetConvention, optional
        Header conventions of targets.
    link : Link, optional
        Link of this instance; its rate is unknown by default.
    """

    connect_timeout: float
    max_answer: int
    convention: TargetConvention = attrs.field(factory=DefaultTargetConvention)
    link: Link = attrs.field(factory=Link)
    _pools: dict[tuple, ConnectionPool] = attrs.field(factory=dict)
    _past_opened: int = 0
    _past_lost: int = 0

    def send(self, req: OutboundRequest, attempt: Attempt) -> Outcome:
        """Make one attempt: a single exchange, which is never retried here.

        Parameters
        ----------
        req : OutboundRequest
            Request to send.
        attempt : Attempt
            Attempt, with its target.
        """
        call = attempt.call
        pool = self._pool(attempt.target.record)
        timeout = min(self.connect_timeout, call.deadline - time.monotonic())
        conn = pool.acquire(call.idempotent, timeout)
        if isinstance(conn, ConnectFailed):
            late = time.monotonic() >= call.deadline
            return NotSent(Failure.TIMEOUT if late else Failure.CONNECT)
        is_unavailable = attempt.target.is_unavailable(time.monotonic())
        if is_unavailable or req.find_problem() is not None:
            # The target became unavailable, or the caller's key was revoked, while the
            # connection was being opened.
            pool.release(conn)
            return NotSent(Failure.WITHDRAWN)
        payload = self._encode(req, attempt)
        rules = self.convention.rules(req.head)
        outcome = exchange(
            conn,
            req.method,
            payload,
            call.deadline,
            self.max_answer,
            rules,
            self.link,
            req.new_room(),
        )
        self._return_to_pool(pool, conn, outcome)
        return outcome

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt, given the outcome of its exchange."""
        return self.convention.classify(outcome, attempt)

    def check(self, target: Target, timeout: float) -> CheckResult:
        """Check a target's status, including its load.

        Parameters
        ----------
        target : Target
            Record of the target.
        timeout : float
            Seconds for the complete check.
        """
        deadline = time.monotonic() + timeout
        pool = self._pool(target)
        conn = pool.acquire(True, timeout)
        if isinstance(conn, ConnectFailed):
            return self.convention.read_check(NotSent(Failure.CONNECT), target)
        return self._check_on(conn, pool, target, deadline)

    def check_presence(self, target: Target, timeout: float) -> Presence:
        """Check over a new connection whether a target is present.

        Parameters
        ----------
        target : Target
            Record of the target.
        timeout : float
            Seconds for the complete check.
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
        return Presence.SERVING if found.answered else Presence.SILENT

    def _check_on(
        self, conn: Connection, pool: ConnectionPool, target: Target, deadline: float
    ) -> CheckResult:
        host = f"{target.host}:{target.port}"
        payload = encode_request("GET", target.health_path, host, [], b"")
        outcome = exchange(
            conn, "GET", payload, deadline, MAX_CHECK_BYTES, link=self.link
        )
        self._return_to_pool(pool, conn, outcome)
        found = self.convention.read_check(outcome, target)
        return attrs.evolve(found, answered=isinstance(outcome, Reply))

    def _pool(self, target):
        key = _pool_key(target)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(target.address)
        return pool

    def _return_to_pool(self, pool, conn, outcome):
        if not isinstance(outcome, Reply) or not conn.is_open:
            return
        keep_alive = _IDLE_TIMEOUT.search(outcome.header("keep-alive") or "")
        if keep_alive:
            conn.idle_limit = float(keep_alive.group(1))
        pool.release(conn)

    def _encode(self, req, attempt):
        remaining = attempt.call.deadline - time.monotonic()
        target = attempt.target.record
        headers = [*req.headers, *self.convention.attempt_headers(attempt, remaining)]
        host = self.convention.host(req.head, target)
        return encode_parts(req.method, req.path, host, headers, req.body)

    def keep_only(self, targets: Iterable[Target]) -> None:
        """Close connections to other targets and to earlier starts of these targets.

        Connections to an earlier start close when that start terminates. If it
        terminates without closing them, a request would be lost on such a connection.

        Parameters
        ----------
        targets : iterable of Target
            Targets whose connections are kept.
        """
        kept = {_pool_key(target) for target in targets}
        for key in list(self._pools):
            if key not in kept:
                pool = self._pools.pop(key)
                self._past_opened += pool.opened
                self._past_lost += pool.stale
                pool.close()

    def counts(self) -> dict[str, int]:
        """Return counts of idle, opened and lost connections, past targets included."""
        pools = self._pools.values()
        return {
            "idle": sum(pool.idle for pool in pools),
            "opened": self._past_opened + sum(pool.opened for pool in pools),
            "lost": self._past_lost + sum(pool.stale for pool in pools),
        }

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(())


def _pool_key(target):
    return (target.identity, target.address)
