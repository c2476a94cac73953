"""Calls to the owners of workspaces; queries to one owner are combined."""

import logging
import math
import time
from collections import Counter

import attrs
import gevent
from gevent.event import AsyncResult

from cairnferry.entry.members import PermitIssuer, PermitIssuers
from cairnferry.entry.telemetry import RateLimit
from cairnferry.entry.workspaces._owner_search import Reachability
from cairnferry.peers import PeerCallFailed, PeerLinks, TokenQuery, TokenReply

# Maximum seconds for which a request waits for an owner's answer. A call takes 3 ms
# between zones. Bodies that arrive on an owner's link of 5 Mbit/s delay it by 100 ms
# each; with 120 ms, healthy owners were taken for lost in bursts of uploads.
PATIENCE_S = 0.35
# Seconds without an answer after which a daemon is taken for lost. Until then, requests
# wait for their own patience only, and the next ones call it again.
SILENT_S = 0.5
# Seconds beyond that time after which this process itself was late, and seconds for
# which an answer that has arrived meanwhile may still be read.
LATE_S = 0.03
LATE_READ_S = 0.03
# Seconds after which an unused connection is closed: several times the interval at
# which a daemon of a large deployment gets a request of one workspace.
UNUSED_LINK_S = 60.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Ask:
    """A query that waits for its reply, which is None if the call fails."""

    query: TokenQuery
    is_abandoned: bool = False
    reply: AsyncResult = attrs.field(factory=AsyncResult)


@attrs.define
class TokenCalls:
    """Sends queries to the owners of workspaces, one call to each at a time.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of this daemon.
    issuers : PermitIssuers
        Told of daemons that do not answer.
    links : PeerLinks
        Connections to the other daemons, used for these calls only. On a shared
        connection, a query would wait for the transfer of rules or tables.

    Attributes
    ----------
    outcomes : Counter
        Number of calls by outcome: "answered", "failed" and "late".
    returned : Counter
        Tokens not used, by workspace, for the next query.
    reachability : Reachability
        Zones that calls do not reach.
    """

    name: str
    zone: str
    issuers: PermitIssuers
    links: PeerLinks
    outcomes: Counter = attrs.field(factory=Counter)
    returned: Counter = attrs.field(factory=Counter)
    _waiting: dict[str, list[_Ask]] = attrs.field(factory=dict)
    _called_at: dict[str, float] = attrs.field(factory=dict)
    reachability: Reachability = attrs.field(factory=Reachability)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def ask(
        self, peer: PermitIssuer, query: TokenQuery, patience_s: float = PATIENCE_S
    ) -> TokenReply | None:
        """Return the reply of a daemon; None if it does not answer in time.

        A daemon in a zone that calls do not reach is not called.

        Parameters
        ----------
        peer : PermitIssuer
            Daemon to call.
        query : TokenQuery
            The query.
        patience_s : float, optional
            Seconds for which to wait for the reply.
        """
        if not self.reachability.may_call(peer.zone, time.monotonic()):
            return None
        ask = self.post(peer, query)
        try:
            self._wait(ask, patience_s)
        finally:
            ask.is_abandoned = not ask.reply.ready()
        if ask.is_abandoned:
            self._note_late(peer)
            return None
        return ask.reply.get()

    def post(self, peer: PermitIssuer, query: TokenQuery) -> _Ask:
        """Send a query without waiting for the reply."""
        ask = _Ask(query)
        waiting = self._waiting.get(peer.name)
        if waiting is None:
            self._waiting[peer.name] = [ask]
            gevent.spawn(self._run, peer)
        else:
            waiting.append(ask)
        return ask

    def _wait(self, ask, patience_s):
        started = time.monotonic()
        ask.reply.wait(patience_s)
        if not ask.reply.ready():
            # If this process stood still, the answer may be there already.
            if time.monotonic() - started > patience_s + LATE_S:
                ask.reply.wait(LATE_READ_S)

    def _note_late(self, peer):
        """Record that a reply is late; take its daemon for lost if it is silent."""
        silent_since = self._called_at.get(peer.name, math.inf)
        if time.monotonic() - silent_since >= SILENT_S:
            self._note_failure(peer, "late")
        else:
            self.outcomes["late"] += 1

    def _run(self, peer):
        """Call a daemon until no query waits for it."""
        waiting = self._waiting[peer.name]
        asks = []
        try:
            while waiting:
                asks = waiting[:]
                waiting.clear()
                self._call(peer, asks)
        finally:
            del self._waiting[peer.name]
            self._called_at.pop(peer.name, None)
            for ask in (*asks, *waiting):
                if not ask.reply.ready():
                    ask.reply.set(None)

    def _call(self, peer, asks):
        link = self.links.link_to(peer.peer_address, peer.zone != self.zone)
        self._called_at[peer.name] = time.monotonic()
        try:
            replies = link.request_tokens(self.name, [ask.query for ask in asks])
        except PeerCallFailed as exc:
            self._note_failure(peer, "failed", exc.reason)
            replies = [None] * len(asks)
        else:
            self.outcomes["answered"] += 1
            self.reachability.note_answer(peer.zone)
        for ask, reply in zip(asks, replies, strict=True):
            if ask.is_abandoned and reply is not None:
                self.returned[ask.query.workspace] += len(reply.delays)
            ask.reply.set(reply)

    def _note_failure(self, peer, outcome, reason=""):
        self.outcomes[outcome] += 1
        if self.issuers.is_unresponsive(peer.name):
            return
        self.issuers.mark_unresponsive(peer.name)
        self.reachability.note_failure(peer.zone, time.monotonic())
        if self._log_limit.allows():
            extra = {"peer": peer.name, "outcome": outcome, "why": reason}
            extra["left_out"] = self._log_limit.take_suppressed()
            log.info("no answer to a query for tokens", extra=extra)

    def close_unused(self) -> None:
        """Close connections that were not used for a while."""
        self.links.close_unused(time.monotonic() - UNUSED_LINK_S)
