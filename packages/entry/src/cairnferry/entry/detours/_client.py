"""Passing a request on to a peer, and reading what became of it there."""

import time
from collections.abc import Callable

import attrs

from cairnferry.decoding import decode
from cairnferry.entry.detours._fields import (
    CAUSE,
    DECISION,
    MS_PER_S,
    RETRY_MS,
    DetourDecision,
    DetourHead,
    without_detour_fields,
)
from cairnferry.entry.members import Cluster
from cairnferry.peers import KeyRing, PeerRequestPool, SharedKey
from cairnferry.policy import Cause, Peer, PeerChoice
from cairnferry.wire import (
    ConnectFailed,
    Failure,
    Incomplete,
    Link,
    NotSent,
    Reply,
    Room,
    encode_parts,
    exchange,
)

# Maximum seconds to open a connection to a peer. Zones are some milliseconds apart, and
# a peer that is down or cut off as well must not use up the caller's time.
CONNECT_S = 0.25
FULL_SPARE = 1000
# Statuses of an answer without a decision that mean that the peer did not accept the
# request: its framing, its time or size, or too many connections.
_UNREAD_STATUSES = frozenset([400, 408, 413, 431, 503])
# Seconds of idle time after which a connection to a peer is closed. It is shorter than
# the time for which the peer keeps it.
MAX_IDLE_S = 10.0
# Retry-After in seconds if there is no memory for the answer of a peer.
MEMORY_RETRY_S = 0.5


@attrs.frozen
class DetourRequest:
    """A request as it is passed on to any peer.

    Attributes
    ----------
    method, path, host : str
        Method, path and Host header.
    headers : list of (str, str)
        End-to-end headers of the caller, with the time left and without a key that
        was checked here.
    body : bytes or bytearray
        Complete body.
    head : DetourHead
        What the peer is told of the request.
    deadline : float
        Monotonic time in seconds.
    idempotent : bool
        Whether the request may run more than once.
    new_room : callable
        Returns the memory for the answer of one more peer.
    """

    method: str
    path: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes | bytearray
    head: DetourHead
    deadline: float
    idempotent: bool
    new_room: Callable[[], Room | None]


@attrs.frozen
class Served:
    """The peer relayed a target's answer, or rejected the request for good.

    Attributes
    ----------
    reply : Reply
        The answer.
    by_target : bool
        Whether a target made the answer.
    """

    reply: Reply
    by_target: bool


@attrs.frozen
class NotRunThere:
    """The request did not run, and no other peer could serve it better.

    Attributes
    ----------
    cause : Cause
        Cause of the refusal.
    retry_after : float
        Delay in seconds before a retry.
    """

    cause: Cause
    retry_after: float


@attrs.frozen
class UnknownThere:
    """The peer does not know whether the request ran.

    Attributes
    ----------
    cause : Cause
        Cause of the unknown outcome.
    retry_after : float
        Delay in seconds before a retry.
    """

    cause: Cause
    retry_after: float


@attrs.frozen
class Declined:
    """The request did not run there, and another peer may serve it.

    Attributes
    ----------
    reason : str
        Reason, for the log.
    """

    reason: str


@attrs.frozen
class NoConnection:
    """No connection to the peer could be opened.

    Attributes
    ----------
    reason : str
        Reason, for the log.
    """

    reason: str


@attrs.frozen
class DetourLost:
    """The request was sent, and no complete answer was received.

    Attributes
    ----------
    timed_out : bool
        Whether the deadline passed.
    """

    timed_out: bool


DetourOutcome = (
    Served | NotRunThere | UnknownThere | Declined | NoConnection | DetourLost
)


@attrs.define
class DetourClient:
    """Passes requests on to peers.

    Parameters
    ----------
    cluster : Cluster
        The peers.
    choice : PeerChoice
        Decides which peer to ask.
    keys : KeyRing or SharedKey
        Keys shared by the peers.
    max_answer : int
        Maximum size of an answer's body in bytes.
    link : Link
        Link of this instance.
    """

    cluster: Cluster
    choice: PeerChoice
    keys: KeyRing | SharedKey
    max_answer: int
    link: Link
    _pools: dict[str, PeerRequestPool] = attrs.field(factory=dict)

    def has_peers(self) -> bool:
        """Return whether there is a live peer to pass requests on to."""
        membership = self.cluster.membership
        own_name = membership.me.name
        return any(member.name != own_name for member in membership.live())

    def next_peer(self, service: str, tried: set[str]) -> Peer | None:
        """Return the peer to ask next for a service; None if none is left.

        Parameters
        ----------
        service : str
            Name of the service.
        tried : set of str
            Names of the peers that were asked for this request.
        """
        now = time.monotonic()
        return self.choice.choose(service, self._peers(), tried, now)

    def send(self, peer: Peer, request: DetourRequest, service: str) -> DetourOutcome:
        """Pass a request on to a peer: a single exchange, which is never repeated here.

        Parameters
        ----------
        peer : Peer
            The peer.
        request : DetourRequest
            The request.
        service : str
            Name of its service.
        """
        outcome = self._exchange(peer, request)
        now = time.monotonic()
        match outcome:
            case Declined():
                self.choice.note_declined(service, peer, now)
            case NoConnection():
                self.choice.note_unconnected(peer, now)
            case Served(by_target=True):
                self.choice.note_served(service, now)
        return outcome

    def _exchange(self, peer, request):
        pool = self._pool(peer.address)
        left = request.deadline - time.monotonic()
        payload = encode_parts(
            request.method,
            request.path,
            request.host,
            [*request.headers, *request.head.headers()],
            request.body,
        )
        conn = pool.acquire(request.idempotent, min(CONNECT_S, left))
        if isinstance(conn, ConnectFailed):
            return NoConnection(conn.reason)
        outcome = exchange(
            conn,
            request.method,
            payload,
            request.deadline,
            self.max_answer,
            link=self.link,
            room=request.new_room(),
        )
        match outcome:
            case Incomplete(Failure.NO_MEMORY):
                return UnknownThere(Cause.MEMORY_FULL, MEMORY_RETRY_S)
            case NotSent():
                return NotRunThere(Cause.DEADLINE, 0.0)
            case Incomplete(failure):
                return DetourLost(failure is Failure.TIMEOUT)
        if conn.is_open:
            pool.release(conn)
        return _read_answer(outcome)

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = self._pools[address] = PeerRequestPool(
                (host, int(port)), max_idle_s=MAX_IDLE_S, keys=self.keys
            )
        return pool

    def _peers(self):
        membership = self.cluster.membership
        usable = {member.name for member in self.cluster.usable(time.monotonic())}
        return [
            Peer(
                member.name,
                member.zone,
                member.peer_address,
                self.cluster.spare_of(member.name) / FULL_SPARE,
                member.name not in usable,
            )
            for member in membership.live()
            if member.name != membership.me.name
        ]

    def close_unused(self) -> None:
        """Close the connections to daemons that are no longer live."""
        if not self._pools:
            return
        live = {peer.address for peer in self._peers()}
        for address in [each for each in self._pools if each not in live]:
            self._pools.pop(address).close()


def _read_answer(reply):
    decision = reply.header(DECISION)
    cleaned = attrs.evolve(reply, headers=without_detour_fields(reply.headers))
    match decision:
        case DetourDecision.RELAYED:
            return Served(cleaned, by_target=True)
        case DetourDecision.REJECTED:
            return Served(cleaned, by_target=False)
        case DetourDecision.NOT_RUN:
            return NotRunThere(*_cause_of(reply))
        case DetourDecision.UNKNOWN:
            return UnknownThere(*_cause_of(reply))
        case DetourDecision.DECLINED:
            return Declined(reply.header(CAUSE) or "")
        case _ if reply.status in _UNREAD_STATUSES:
            return Declined(f"status {reply.status}")
        case _:
            # The peer failed at a point that it does not tell.
            return DetourLost(timed_out=False)


def _cause_of(reply):
    try:
        cause = Cause(reply.header(CAUSE))
    except ValueError:
        # A peer of a later release may have other causes.
        cause = Cause.RETRIES_EXHAUSTED
    retry_ms = decode(lambda: int(reply.header(RETRY_MS) or 0))
    return cause, retry_ms.default_value(0) / MS_PER_S
