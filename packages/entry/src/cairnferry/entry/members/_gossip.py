"""Gossip by heartbeats: periodic calls to peers, and answers to their calls."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event
from gevent.pool import Pool

from cairnferry.coordination import (
    DocumentNews,
    Hold,
    LogRow,
    MemberState,
    TableUpdate,
)
from cairnferry.entry._ports import EntryRow, Records
from cairnferry.entry.members._cluster import Cluster
from cairnferry.peers import (
    Heartbeat,
    PeerCallFailed,
    PeerLinks,
    PermitQuery,
    PermitReply,
    TokenQuery,
    TokenReply,
)

# Seconds after which an unused connection to a peer is closed.
UNUSED_LINK_S = 60.0
# Calls to peers in progress at the same time.
MAX_CALLS = 32
# Rounds between two attempts at addresses that are not known to be alive.
UNKNOWN_PEER_ROUNDS = 4
# Such addresses called in one round. After a partition one successful call is enough,
# as that peer reports the others.
MAX_UNKNOWN_PEERS = 6
# Minimum seconds between two rounds. Updates come in bursts when many daemons start or
# targets change, and each of them would start a round.
MIN_ROUND_S = 0.02
# Members of a zone, by rank, that also call other zones. One would be enough; with two,
# updates continue to spread while the loss of one of them is not yet detected.
CROSS_ZONE_CALLERS = 2

log = logging.getLogger(__name__)


@attrs.define
class Gossip:
    """Exchanges state among daemons.

    In each round, a daemon calls some peers of its own availability zone. Only the
    first members of a zone, by rank, call other zones, as traffic between zones is
    billed.

    Parameters
    ----------
    cluster : Cluster
        This daemon's view.
    records : Records
        Fetches newer revisions from peers.
    links : PeerLinks
        Connections to peers.
    interval : float
        Seconds between two rounds.
    fanout : int
        Peers of this daemon's zone called in a round.
    seeds : tuple of str
        "IP:port" of daemons to call even if they are not listed.

    Attributes
    ----------
    listed_peers : dict of str to str
        Availability zones of all listed daemons, alive or not, by address.
    cross_zone_after : float
        Monotonic time in seconds up to which other zones are not called. A daemon that
        has just joined knows only some members of its zone, and would report members
        to other zones that are not the zone's representatives.
    permits : callable
        Issues permits for limited targets to a daemon, given its name and its request.
    tokens : callable
        Grants tokens for requests of workspaces to a daemon, given its name and its
        queries.
    answered_at, answered_far_at : float
        Monotonic time in seconds at which the latest call began that a daemon of the
        own zone, and of another zone, has answered.
    rounds : int
        Number of rounds so far.
    """

    cluster: Cluster
    records: Records
    links: PeerLinks
    interval: float
    fanout: int
    seeds: tuple[str, ...]
    listed_peers: dict[str, str] = attrs.field(factory=dict)
    cross_zone_after: float = -math.inf
    permits: Callable[[str, list[PermitQuery]], list[PermitReply]] = (
        lambda requester, requested: []
    )
    tokens: Callable[[str, list[TokenQuery]], list[TokenReply]] = (
        lambda requester, queries: [TokenReply() for _ in queries]
    )
    answered_at: float = -math.inf
    answered_far_at: float = -math.inf
    _contact_unknown: bool = False
    rounds: int = 0
    _round_due: Event = attrs.field(factory=Event)
    _calls: Pool = attrs.field(factory=lambda: Pool(MAX_CALLS))
    _fetching: set[str] = attrs.field(factory=set)

    def run(self) -> None:
        """Run rounds of calls to peers, forever."""
        while True:
            self.one_round()
            gevent.sleep(MIN_ROUND_S)
            self._round_due.wait(self.interval)
            self._round_due.clear()

    def trigger_round(self) -> None:
        """Start the next round without delay, as there are updates to spread."""
        self._round_due.set()

    def contact_listed_peers(self, fetch_from: EntryRow | None = None) -> None:
        """Call some of the listed daemons without delay.

        A daemon that starts gets its first rules from them. If it waited for the next
        round that calls unknown members, it would refuse every request until then.

        Parameters
        ----------
        fetch_from : EntryRow, optional
            A daemon that is known to have the rules in force; called first.
        """
        self._contact_unknown = True
        if fetch_from is not None:
            self._calls.spawn(
                self._call, None, fetch_from.peer_address, fetch_from.zone
            )
        self.trigger_round()

    def one_round(self) -> None:
        """Call some peers, each in a separate greenlet."""
        now = time.monotonic()
        self.rounds += 1
        membership = self.cluster.membership
        membership.apply_timeouts(now)
        chosen = membership.next_peers(self.fanout)
        calls = [(member.name, member.peer_address, member.zone) for member in chosen]
        if self._calls_other_zones(now):
            calls += self._cross_zone_calls()
        if self._contact_unknown or self.rounds % UNKNOWN_PEER_ROUNDS == 1:
            self._contact_unknown = False
            calls += self._unknown_peer_calls()
        for call in calls:
            # A full pool means that many calls hang. Waiting for them would stop the
            # rounds, and peers would consider this daemon lost.
            if not self._calls.full():
                self._calls.spawn(self._call, *call)
        self.links.close_unused(now - UNUSED_LINK_S)
        self.cluster.prune()

    def _calls_other_zones(self, now):
        if now < self.cross_zone_after:
            return False
        membership = self.cluster.membership
        return membership.me.name in membership.own_zone_names()[:CROSS_ZONE_CALLERS]

    def _cross_zone_calls(self):
        """Return a call to another zone, and one to a zone without known members."""
        member = self.cluster.membership.next_cross_zone_peer()
        calls = [(member.name, member.peer_address, member.zone)] if member else []
        own_zone = self.cluster.membership.me.zone
        live_zones = {m.zone for m in self.cluster.membership.live()}
        unknown = [
            (None, address, zone)
            for address, zone in self.listed_peers.items()
            if zone != own_zone and zone not in live_zones
        ]
        return calls + self._sample(unknown, 1)

    def _unknown_peer_calls(self):
        """Return calls to addresses at which no live member is known."""
        me = self.cluster.membership.me
        others = self.cluster.membership.others()
        alive = {m.peer_address for m in others if m.state is not MemberState.GONE}
        gone = {m.peer_address: m.zone for m in others if m.state is MemberState.GONE}
        near = [a for a, zone in (self.listed_peers | gone).items() if zone == me.zone]
        candidates = [a for a in near if a not in alive and a != me.peer_address]
        seeds = [a for a in self.seeds if a not in alive and a != me.peer_address]
        chosen = self._sample(sorted(candidates), MAX_UNKNOWN_PEERS)
        return [(None, address, me.zone) for address in (*seeds, *chosen)]

    def _sample(self, calls, count):
        rng = self.cluster.membership.rng
        return rng.sample(calls, count) if len(calls) > count else calls

    def _call(self, name, address, zone):
        link = self.links.link_to(address, zone != self.cluster.membership.me.zone)
        started = time.monotonic()
        try:
            received = link.heartbeat(self._heartbeat_to(name, zone))
            self.note_answer(zone, started)
            self._apply_and_fetch(received, link)
        except PeerCallFailed as exc:
            if name is not None:
                self.cluster.membership.suspect(name, time.monotonic())
            log.debug("heartbeat failed", extra={"peer": address, "why": exc.reason})

    def note_answer(self, zone: str, started: float) -> None:
        """Record that a daemon of a zone answered a call that began at a time."""
        if zone == self.cluster.membership.me.zone:
            self.answered_at = max(self.answered_at, started)
        else:
            self.answered_far_at = max(self.answered_far_at, started)

    def _heartbeat_to(self, name, zone):
        member = name and self.cluster.membership.get(name)
        if self.cluster.has_heard_from(member):
            return self.cluster.heartbeat(zone)
        return self.cluster.first_heartbeat(zone)

    def _apply_and_fetch(self, received: Heartbeat, link):
        """Apply a heartbeat, and fetch newer rules and tables from its sender.

        Raises
        ------
        PeerCallFailed
            If the sender did not answer.
        """
        has_updates = self.cluster.apply_heartbeat(received)
        before = self.cluster.configuration.revision
        if received.revision > before:
            self.records.pull_from(link, received.revision)
            self.cluster.apply_heartbeat(received)
        has_updates = self._fetch_tables(received, link) or has_updates
        if has_updates or self.cluster.configuration.revision > before:
            self.trigger_round()

    def _fetch_tables(self, received, link):
        has_updates = False
        for state in received.tables:
            table = self.cluster.tables.get(state.table)
            if table is None:
                continue
            has_updates = table.settle(state.settled) or has_updates
            if state.grace_s:
                now = time.monotonic()
                table.extend(Hold(now - state.outage_age_s, now + state.grace_s))
            if state.version > table.copy.version and state.table not in self._fetching:
                has_updates = self._fetch_table(state.table, table, link) or has_updates
        return has_updates

    def _fetch_table(self, name, table, link):
        """Fetch the updates of a table, from one peer at a time."""
        self._fetching.add(name)
        try:
            return table.apply_update(link.news_since(name, table.copy.version))
        finally:
            self._fetching.discard(name)

    # -- calls of peers ---------------------------------------------------------

    def heartbeat(self, received: Heartbeat) -> Heartbeat:
        """Answer a peer's heartbeat."""
        is_first = not self.cluster.has_heard_from(received.sender)
        has_updates = self.cluster.apply_heartbeat(received)
        if self._is_ahead(received):
            # The answer must not wait for the fetch.
            gevent.spawn(self._fetch, received)
        if has_updates:
            self.trigger_round()
        zone = received.sender.zone
        if is_first or not received.revision:
            return self.cluster.first_heartbeat(zone)
        return self.cluster.heartbeat(zone)

    def _is_ahead(self, received):
        if received.revision > self.cluster.configuration.revision:
            return True
        tables = self.cluster.tables
        return any(
            state.table in tables and state.version > tables[state.table].copy.version
            for state in received.tables
        )

    def _fetch(self, received):
        is_cross_zone = received.sender.zone != self.cluster.membership.me.zone
        link = self.links.link_to(received.sender.peer_address, is_cross_zone)
        try:
            self._apply_and_fetch(received, link)
        except PeerCallFailed as exc:
            log.info(
                "pull from a peer failed",
                extra={"peer": exc.address, "why": exc.reason},
            )

    def news_since(self, table: str, version: int) -> TableUpdate:
        """Return the updates of a table since a version."""
        shared_table = self.cluster.tables.get(table)
        if shared_table is None:
            return TableUpdate(False, (), 0)
        return shared_table.copy.news_since(version)

    def issue_permits(
        self, requester: str, requested: list[PermitQuery]
    ) -> list[PermitReply]:
        """Issue permits for limited targets to a daemon."""
        return self.permits(requester, requested)

    def grant_tokens(
        self, requester: str, queries: list[TokenQuery]
    ) -> list[TokenReply]:
        """Grant tokens for requests of workspaces to a daemon."""
        return self.tokens(requester, queries)

    def check_member(self, name: str) -> None:
        """Call a member without delay, as another daemon did not reach it."""
        member = self.cluster.membership.get(name)
        if member is not None and not self._calls.full():
            self._calls.spawn(self._call, name, member.peer_address, member.zone)

    def rows_from(self, first: int) -> list[LogRow]:
        """Return the rows of the change log from a revision on."""
        return self.records.rows_from(first)

    def document_since(self, revision: int) -> DocumentNews:
        """Return the update of the rules for a peer that holds a revision."""
        return self.records.document_since(revision)

    def snapshot(self) -> bytes:
        """Return the records in force at this daemon."""
        return self.records.snapshot()
