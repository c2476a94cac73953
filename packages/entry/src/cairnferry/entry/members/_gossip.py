"""Heartbeats with peers: rounds of calls, and answers to theirs."""

import logging
import time

import attrs
import gevent
from gevent.event import Event
from gevent.pool import Pool

from cairnferry.coordination import LogRow, MemberState
from cairnferry.entry._ports import Records
from cairnferry.entry.members._cluster import Cluster
from cairnferry.peers import Heartbeat, PeerCallFailed, PeerLinks

UNUSED_LINK_S = 60.0
MAX_CALLS = 32
# Rounds between two tries of addresses that are not known to be alive.
STRANGER_ROUNDS = 4

log = logging.getLogger(__name__)


@attrs.define
class Gossip:
    """Spreads and gathers what daemons know.

    Parameters
    ----------
    cluster : Cluster
        This daemon's view.
    records : Records
        Fetches revisions from peers that have newer ones.
    links : PeerLinks
        Connections to peers.
    interval : float
        Seconds between two rounds.
    fanout : int
        Peers called in a round.
    seeds : tuple of str
        Addresses to try when the list is not to be had.
    """

    cluster: Cluster
    records: Records
    links: PeerLinks
    interval: float
    fanout: int
    seeds: tuple[str, ...]
    strangers: set[str] = attrs.field(factory=set)
    rounds: int = 0
    _hurry: Event = attrs.field(factory=Event)
    _calls: Pool = attrs.field(factory=lambda: Pool(MAX_CALLS))

    def run(self) -> None:
        """Call peers, round after round."""
        while True:
            self.one_round()
            self._hurry.wait(self.interval)
            if self._hurry.is_set():
                self._hurry.clear()

    def hurry(self) -> None:
        """Start the next round at once: there is news that others wait for."""
        self._hurry.set()

    def one_round(self) -> None:
        """Call some peers, each in a task of its own."""
        now = time.monotonic()
        self.rounds += 1
        self.cluster.membership.pass_time(now)
        addresses = [
            (member.name, member.peer_address)
            for member in self.cluster.membership.next_peers(self.fanout)
        ]
        if self.rounds % STRANGER_ROUNDS == 1:
            addresses += [(None, address) for address in self._strangers()]
        for name, address in addresses:
            # A full pool means that many calls hang; waiting for them would
            # stop the rounds, and others would think this daemon dead.
            if not self._calls.full():
                self._calls.spawn(self._call, name, address)
        self.links.close_unused(now - UNUSED_LINK_S)
        self.cluster.forget_old()

    def _strangers(self):
        """List addresses worth a try although no live member is known there."""
        me = self.cluster.membership.me.peer_address
        known = {
            member.peer_address: member.state
            for member in self.cluster.membership.others()
        }
        gone = {a for a, state in known.items() if state is MemberState.GONE}
        candidates = self.strangers.union(self.seeds, gone)
        alive = {a for a, state in known.items() if state is not MemberState.GONE}
        return sorted(candidates - alive - {me})

    def _call(self, name, address):
        link = self.links.to(address)
        try:
            theirs = link.heartbeat(self.cluster.heartbeat())
            self._learn(theirs, link)
        except PeerCallFailed as exc:
            if name is not None:
                self.cluster.membership.suspect(name, time.monotonic())
            log.debug("heartbeat failed", extra={"peer": address, "why": exc.reason})

    def _learn(self, theirs: Heartbeat, link):
        fresh = self.cluster.take_in(theirs)
        before = self.cluster.configuration.revision
        if theirs.revision > before:
            self.records.pull_from(link, theirs.revision)
            self.cluster.take_in(theirs)
        if fresh or self.cluster.configuration.revision > before:
            self.hurry()

    # -- calls of peers ---------------------------------------------------------

    def heartbeat(self, theirs: Heartbeat) -> Heartbeat:
        """Answer a peer's heartbeat."""
        fresh = self.cluster.take_in(theirs)
        if theirs.revision > self.cluster.configuration.revision:
            # Its answer must not wait for the fetching.
            gevent.spawn(self._fetch, theirs)
        if fresh:
            self.hurry()
        return self.cluster.heartbeat()

    def _fetch(self, theirs):
        link = self.links.to(theirs.sender.peer_address)
        before = self.cluster.configuration.revision
        try:
            self.records.pull_from(link, theirs.revision)
        except PeerCallFailed as exc:
            log.info("pull failed", extra={"peer": exc.address, "why": exc.reason})
            return
        self.cluster.take_in(theirs)
        if self.cluster.configuration.revision > before:
            self.hurry()

    def rows_from(self, first: int) -> list[LogRow]:
        """Give rows of the log held here."""
        return self.records.rows_from(first)

    def snapshot(self) -> bytes:
        """Give the records in force here."""
        return self.records.snapshot()
