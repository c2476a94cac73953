"""Heartbeats with peers: rounds of calls, and answers to theirs."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event
from gevent.pool import Pool

from cairnferry.coordination import DocumentNews, LogRow, MemberState, TableUpdate
from cairnferry.entry._ports import EntryRow, Records
from cairnferry.entry.members._cluster import Cluster
from cairnferry.peers import (
    Heartbeat,
    PeerCallFailed,
    PeerLinks,
    PermitsGiven,
    PermitsWanted,
)

UNUSED_LINK_S = 60.0
MAX_CALLS = 32
# Rounds between two tries of addresses that are not known to be alive, and tries at
# once: after a partition one that gets through is enough, as it tells of the others.
STRANGER_ROUNDS = 4
MAX_STRANGERS = 6
# Least seconds between two rounds. News comes in bursts when many daemons start or
# targets change, and each would else begin a round of its own.
MIN_ROUND_S = 0.02
# First members of a zone, by rank, that also call other zones. One is enough; with two
# news goes on while one of them is lost and that is not known yet.
FAR_CALLERS = 2

log = logging.getLogger(__name__)


@attrs.define
class Gossip:
    """Spreads and gathers what daemons know.

    Each calls some of its own availability zone in each round. The first of a zone, by
    rank, call other zones as well, where bytes have a price.

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
        Peers of the own zone called in a round.
    seeds : tuple of str
        Addresses to try when the list is not to be had.

    Attributes
    ----------
    strangers : dict of str to str
        Availability zones by address of daemons that are listed; all of them are
        there, also those that are gone.
    settled_at : float
        Monotonic time in seconds up to which other zones are not called: a daemon that
        has just joined knows a part of its zone, and would tell the others of members
        that are not to represent it.
    permits : callable
        Gives a daemon permits for limited targets, by its name and what it asks for.
    """

    cluster: Cluster
    records: Records
    links: PeerLinks
    interval: float
    fanout: int
    seeds: tuple[str, ...]
    listed_peers: dict[str, str] = attrs.field(factory=dict)
    cross_zone_after: float = -math.inf
    permits: Callable[[str, list[PermitsWanted]], list[PermitsGiven]] = (
        lambda asker, wanted: []
    )
    _wants_strangers: bool = False
    rounds: int = 0
    _round_due: Event = attrs.field(factory=Event)
    _calls: Pool = attrs.field(factory=lambda: Pool(MAX_CALLS))
    _asking: set[str] = attrs.field(factory=set)

    def run(self) -> None:
        """Call peers, round after round."""
        while True:
            self.one_round()
            gevent.sleep(MIN_ROUND_S)
            self._round_due.wait(self.interval)
            self._round_due.clear()

    def trigger_round(self) -> None:
        """Start the next round at once: there is news that others wait for."""
        self._round_due.set()

    def meet(self, teller: EntryRow | None = None) -> None:
        """Call those that this daemon has just been told of, at once.

        A daemon that waited for the round in which strangers are tried would refuse
        every request until then, as it gets its first rules from these.

        Parameters
        ----------
        teller : EntryRow, optional
            One that is sure to know what is in force.
        """
        self._wants_strangers = True
        if teller is not None:
            self._calls.spawn(self._call, None, teller.peer_address, teller.zone)
        self.trigger_round()

    def one_round(self) -> None:
        """Call some peers, each in a task of its own."""
        now = time.monotonic()
        self.rounds += 1
        membership = self.cluster.membership
        membership.apply_timeouts(now)
        chosen = membership.next_peers(self.fanout)
        calls = [(member.name, member.peer_address, member.zone) for member in chosen]
        if self._calls_other_zones(now):
            calls += self._far_calls()
        if self._wants_strangers or self.rounds % STRANGER_ROUNDS == 1:
            self._wants_strangers = False
            calls += self._stranger_calls()
        for call in calls:
            # A full pool means that many calls hang; waiting for them would
            # stop the rounds, and others would think this daemon dead.
            if not self._calls.full():
                self._calls.spawn(self._call, *call)
        self.links.close_unused(now - UNUSED_LINK_S)
        self.cluster.forget_old()

    def _calls_other_zones(self, now):
        if now < self.cross_zone_after:
            return False
        membership = self.cluster.membership
        return membership.me.name in membership.own_zone_names()[:FAR_CALLERS]

    def _far_calls(self):
        """Call one of another zone, and one of a zone of which nobody is known."""
        member = self.cluster.membership.next_cross_zone_peer()
        calls = [(member.name, member.peer_address, member.zone)] if member else []
        me = self.cluster.membership.me.zone
        live = {m.zone for m in self.cluster.membership.live()}
        unknown = [
            (None, address, zone)
            for address, zone in self.listed_peers.items()
            if zone != me and zone not in live
        ]
        return calls + self._some(unknown, 1)

    def _stranger_calls(self):
        """Call addresses worth a try although no live member is known there."""
        me = self.cluster.membership.me
        others = self.cluster.membership.others()
        alive = {m.peer_address for m in others if m.state is not MemberState.GONE}
        gone = {m.peer_address: m.zone for m in others if m.state is MemberState.GONE}
        near = [a for a, zone in (self.listed_peers | gone).items() if zone == me.zone]
        candidates = [a for a in near if a not in alive and a != me.peer_address]
        seeds = [a for a in self.seeds if a not in alive and a != me.peer_address]
        chosen = self._some(sorted(candidates), MAX_STRANGERS)
        return [(None, address, me.zone) for address in (*seeds, *chosen)]

    def _some(self, calls, count):
        rng = self.cluster.membership.rng
        return rng.sample(calls, count) if len(calls) > count else calls

    def _call(self, name, address, zone):
        link = self.links.to(address, zone != self.cluster.membership.me.zone)
        try:
            theirs = link.heartbeat(self.cluster.heartbeat(zone))
            self._learn(theirs, link)
        except PeerCallFailed as exc:
            if name is not None:
                self.cluster.membership.suspect(name, time.monotonic())
            log.debug("heartbeat failed", extra={"peer": address, "why": exc.reason})

    def _learn(self, theirs: Heartbeat, link):
        """Take in a heartbeat, and fetch what its sender has and this daemon has not.

        Raises
        ------
        PeerCallFailed
            If the sender did not answer.
        """
        fresh = self.cluster.take_in(theirs)
        before = self.cluster.configuration.revision
        if theirs.revision > before:
            self.records.pull_from(link, theirs.revision)
            self.cluster.take_in(theirs)
        fresh = self._fetch_tables(theirs, link) or fresh
        if fresh or self.cluster.configuration.revision > before:
            self.trigger_round()

    def _fetch_tables(self, theirs, link):
        fresh = False
        for state in theirs.tables:
            table = self.cluster.tables.get(state.table)
            if table is None:
                continue
            if state.grace_s:
                table.hold_for(state.grace_s)
            if state.version > table.copy.version and state.table not in self._asking:
                fresh = self._fetch_table(state.table, table, link) or fresh
        return fresh

    def _fetch_table(self, name, table, link):
        """Fetch what is new in a table; one peer at a time is asked for it."""
        self._asking.add(name)
        try:
            return table.apply_update(link.news_since(name, table.copy.version))
        finally:
            self._asking.discard(name)

    # -- calls of peers ---------------------------------------------------------

    def heartbeat(self, theirs: Heartbeat) -> Heartbeat:
        """Answer a peer's heartbeat."""
        fresh = self.cluster.take_in(theirs)
        if self._knows_more(theirs):
            # Its answer must not wait for the fetching.
            gevent.spawn(self._fetch, theirs)
        if fresh:
            self.trigger_round()
        return self.cluster.heartbeat(theirs.sender.zone)

    def _knows_more(self, theirs):
        if theirs.revision > self.cluster.configuration.revision:
            return True
        tables = self.cluster.tables
        return any(
            state.table in tables and state.version > tables[state.table].copy.version
            for state in theirs.tables
        )

    def _fetch(self, theirs):
        is_far = theirs.sender.zone != self.cluster.membership.me.zone
        link = self.links.to(theirs.sender.peer_address, is_far)
        try:
            self._learn(theirs, link)
        except PeerCallFailed as exc:
            log.info("pull failed", extra={"peer": exc.address, "why": exc.reason})

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Give what a copy of a table lacks that has the version."""
        known = self.cluster.tables.get(table)
        if known is None:
            return TableUpdate(False, (), 0)
        return known.copy.news_since(version)

    def issue_permits(
        self, asker: str, wanted: list[PermitsWanted]
    ) -> list[PermitsGiven]:
        """Give a daemon permits to send to limited targets."""
        return self.permits(asker, wanted)

    def rows_from(self, first: int) -> list[LogRow]:
        """Give rows of the log held here."""
        return self.records.rows_from(first)

    def document_since(self, revision: int) -> DocumentNews:
        """Give what a peer lacks of the rules that holds a revision."""
        return self.records.document_since(revision)

    def snapshot(self) -> bytes:
        """Give the records in force here."""
        return self.records.snapshot()
