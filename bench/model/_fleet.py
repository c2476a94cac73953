"""Model of many daemons in simulated time: members, news of a table, who watches.

The parts are the daemon's own (`Cluster`, `Gossip`, `WatcherRole`, `TableReplica`);
calls go straight from one to the other, and the clock is the model's.
"""

import collections
import heapq
import random
from functools import partial
from unittest import mock

import attrs
import gevent
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from cairnferry.coordination import (
    Batch,
    Member,
    Membership,
    MemberState,
    NoteRegistry,
    Row,
    TableReplica,
    era_of,
    stamp,
    version_of,
)
from cairnferry.entry.callers import CrashGuard, quarantine_board
from cairnferry.entry.members import Cluster, Gossip, PermitIssuers, WatcherRole
from cairnferry.entry.members._cluster import ListedInstance
from cairnferry.entry.members._watcher_role import SETTLE_S
from cairnferry.entry.targets import (
    Limiter,
    LocalPermitIssuer,
    PermitRequester,
    Services,
    limit_board,
)
from cairnferry.entry.targets._permits import ROUND_S as PERMIT_ROUND_S
from cairnferry.entry.telemetry import Metrics
from cairnferry.peers import PeerCallFailed
from cairnferry.peers._messages import (
    given_to_wire,
    news_to_wire,
    to_wire,
    wanted_to_wire,
)
from cairnferry.policy import settings_for

ROUND_S = 0.5
FANOUT = 2
# Seconds between two looks of a daemon at its duty, and longest wait of a watcher's
# call.
LOOK_S = 0.15
WAIT_S = 5.6
# Seconds between two calls that fail.
RETRY_S = 1.0
TABLE = "targets"


@attrs.define
class Store:
    """The platform's table: versions, an era, and a count of calls."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    number: int = 0
    era: int = 0
    calls: int = 0
    is_up: bool = True

    @property
    def version(self) -> int:
        """Stamp of the newest version."""
        return stamp(self.era, self.number)

    def change(self, key: str, value: bytes | None) -> None:
        """Write or remove a row."""
        self.number += 1
        self.rows[key] = Row(key, value, self.version)

    def copy(self) -> tuple[dict[str, Row], int]:
        """Give a copy of all that there is."""
        return dict(self.rows), self.number

    def come_back(self, copy: tuple[dict[str, Row], int]) -> None:
        """Come back from a copy: what was written since is gone."""
        rows, self.number = copy
        self.era += 1
        self.rows = {
            key: attrs.evolve(row, version=stamp(self.era, version_of(row.version)))
            for key, row in rows.items()
        }

    def since(self, version: int) -> Batch:
        """Give what has changed; all there is, if the version is of an earlier era."""
        changed = [row for row in self.rows.values() if row.version > version]
        return Batch(tuple(sorted(changed, key=lambda r: r.version)), self.version)


@attrs.define
class SharedCopy:
    """A copy that notes when it got which version."""

    copy: TableReplica = attrs.field(factory=TableReplica)
    grace_left: float = 0.0

    def hold_for(self, seconds: float) -> None:
        """Hold nothing: no outage of writers is modelled."""

    def apply_update(self, news) -> bool:
        """Take in what another daemon told."""
        return self.copy.apply_update(news)


class _Rules:
    revision = 1
    behind = None


@attrs.define(eq=False)
class Daemon:
    """One daemon of the model."""

    name: str
    zone: str
    cluster: Cluster
    gossip: Gossip
    duty: WatcherRole
    table: SharedCopy
    guard: CrashGuard
    services: Services
    limiter: Limiter
    permits: PermitRequester
    is_up: bool = True
    is_cut: bool = False
    side: int = 0
    refused: bool = False
    called_at: float = 0.0


class Fleet:
    """Daemons in zones, a store, and what happens to them.

    Parameters
    ----------
    size, zones : int
        Daemons, and availability zones.
    seed : int
        Seed of all choices.
    loss : float, optional
        Share of calls between daemons that fail.
    """

    def __init__(self, size: int, zones: int, seed: int, loss: float = 0.0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.store = Store()
        self.loss = loss
        self.bytes = collections.Counter()
        self.messages = 0
        self._events = []
        self._serial = 0
        with self._clock():
            self.daemons = {
                d.name: d for d in (self._make(i, zones) for i in range(size))
            }
            self._introduce()
        for daemon in self.daemons.values():
            self.after(self.rng.random() * ROUND_S, self._round, daemon)
            self.after(self.rng.random() * LOOK_S, self._look, daemon)
            self.after(self.rng.random() * LOOK_S, self._ask_permits, daemon)

    def _clock(self):
        return mock.patch("time.monotonic", lambda: self.now)

    def _make(self, index, zones):
        zone = f"z{index % zones}"
        name = f"{zone}-{index}"
        me = Member(name, zone, f"{name}:1", f"{name}:2", 1, MemberState.ALIVE)
        membership = Membership(me, random.Random(self.rng.random()))
        cluster = Cluster(membership, _Rules(), NoteRegistry(_ignore), lambda: 1.0)
        table = SharedCopy()
        cluster.tables = {TABLE: table}
        gossip = Gossip(cluster, None, self, ROUND_S, FANOUT, ())
        duty = WatcherRole(cluster)
        duty.is_ready = True
        guard = CrashGuard(Metrics(), partial(_accuse, cluster, gossip))
        cluster.suspicions = quarantine_board(guard.receive)
        services = Services(zone, self.rng, _ignore_policy, settings_for("ask-first"))
        tell = partial(_tell_limit, cluster, gossip)
        limiter = Limiter(services.limits, Metrics(), tell)
        cluster.limits = limit_board(limiter.receive)
        givers = PermitIssuers(cluster)
        issuer = LocalPermitIssuer(limiter, givers, self.rng)
        gossip.permits = issuer.issue
        permits = PermitRequester(name, services, limiter, givers, issuer, self)
        return Daemon(
            name, zone, cluster, gossip, duty, table, guard, services, limiter, permits
        )

    def _introduce(self):
        """Tell each the addresses of all, as the registry does; none is known yet."""
        zones = {f"{d.name}:1": d.zone for d in self.daemons.values()}
        listed = {
            d.name: ListedInstance(d.zone, False, f"{d.name}:1")
            for d in self.daemons.values()
        }
        for daemon in self.daemons.values():
            mine = f"{daemon.name}:1"
            daemon.gossip.listed_peers = {a: z for a, z in zones.items() if a != mine}
            daemon.cluster.listed = listed
            # The first ones asked the store themselves, as seeds do.
            if int(daemon.name.partition("-")[2]) >= 3:
                daemon.duty.joined_at = 0.0
                daemon.gossip.cross_zone_after = SETTLE_S

    # -- time ---------------------------------------------------------------------

    def after(self, delay: float, action, *args) -> None:
        """Do something some seconds later."""
        self._serial += 1
        event = (self.now + delay, self._serial, action, args)
        heapq.heappush(self._events, event)

    def run(self, seconds: float, until=None) -> float:
        """Let time pass; end early once a condition holds. Give the seconds passed."""
        begin, end = self.now, self.now + seconds
        with self._clock():
            while self._events and self._events[0][0] <= end:
                self.now, _, action, args = heapq.heappop(self._events)
                action(*args)
                if until is not None and until():
                    return self.now - begin
        self.now = end
        return seconds

    def _round(self, daemon):
        if daemon.is_up:
            daemon.gossip.one_round()
            daemon.gossip._calls.join()
            # What a daemon that was called fetches runs in tasks of its own.
            gevent.sleep(0)
        hurries = daemon.gossip._round_due.is_set()
        daemon.gossip._round_due.clear()
        self.after(0.02 if hurries else ROUND_S, self._round, daemon)

    def _ask_permits(self, daemon):
        if daemon.is_up and daemon.limiter.is_needed.is_set():
            daemon.permits.one_round()
            daemon.permits._calls.join()
        self.after(PERMIT_ROUND_S, self._ask_permits, daemon)

    def _look(self, daemon):
        """Watch the store, if that is this daemon's duty."""
        self.after(LOOK_S * (0.5 + self.rng.random()), self._look, daemon)
        if not daemon.is_up or not daemon.duty.is_active():
            return
        copy = daemon.table.copy
        serves = self.store.is_up and not daemon.refused
        is_new = serves and self.store.version > copy.version
        pause = WAIT_S if serves else RETRY_S
        if not is_new and self.now - daemon.called_at < pause:
            return
        self.store.calls += 1
        daemon.called_at = self.now
        if not serves:
            daemon.duty.report_store_failure()
            daemon.gossip.trigger_round()
            return
        daemon.cluster.confirmation.confirm(self.now)
        batch = self.store.since(copy.version)
        is_whole = era_of(copy.version) != self.store.era
        if copy.apply_listing(batch) if is_whole else copy.apply_changes(batch):
            daemon.gossip.trigger_round()

    # -- calls between daemons ------------------------------------------------------

    def to(self, address: str, is_far: bool = False) -> "Call":
        """Give the link to a daemon, as `PeerLinks` does."""
        return Call(self, self.daemons[address.partition(":")[0]], is_far)

    def close_unused(self, since: float) -> None:
        """Keep no connections."""

    def carry(self, kind, daemon, is_far, question, answer):
        """Count the bytes of a call."""
        size = sum(_size(message) for message in (question, answer) if message)
        self.bytes[kind, "far" if is_far else "near"] += size
        self.messages += 1

    # -- what is looked at ------------------------------------------------------------

    def up(self) -> list[Daemon]:
        """List the daemons that run."""
        return [daemon for daemon in self.daemons.values() if daemon.is_up]

    def is_watching(self, daemon: Daemon) -> bool:
        """Tell whether a daemon watches the store."""
        with self._clock():
            return daemon.duty.is_active_at(self.now)

    def watchers(self) -> dict[str, int]:
        """Count those that watch, by zone."""
        watching = (daemon for daemon in self.up() if self.is_watching(daemon))
        return collections.Counter(daemon.zone for daemon in watching)

    def all_hold(self, version: int) -> bool:
        """Tell whether all that can hear of it hold a version of the table."""
        hearing = [daemon for daemon in self.up() if not daemon.is_cut]
        return all(daemon.table.copy.version >= version for daemon in hearing)


@attrs.frozen
class Call:
    """Calls to one daemon, which may be lost."""

    fleet: Fleet
    daemon: Daemon
    is_far: bool

    def heartbeat(self, mine):
        """Exchange heartbeats."""
        self._reach(mine.sender.name)
        theirs = self.daemon.gossip.heartbeat(mine)
        self.fleet.carry(
            "heartbeat", self.daemon, self.is_far, to_wire(mine), to_wire(theirs)
        )
        return theirs

    def news_since(self, table, version):
        """Fetch what is new in a table."""
        self._reach(None)
        news = self.daemon.gossip.news_since(table, version)
        self.fleet.carry("news", self.daemon, self.is_far, None, news_to_wire(news))
        return news

    def ask_permits(self, asker, wanted):
        """Ask for permits to send to limited targets."""
        self._reach(asker)
        given = self.daemon.gossip.issue_permits(asker, list(wanted))
        for message in map(wanted_to_wire, wanted):
            self.fleet.carry("permits", self.daemon, self.is_far, message, None)
        for message in map(given_to_wire, given):
            self.fleet.carry("permits", self.daemon, self.is_far, None, message)
        return given

    def _reach(self, caller):
        fleet = self.fleet
        cut = self.daemon.is_cut or (caller and fleet.daemons[caller].is_cut)
        cut = cut or (caller and fleet.daemons[caller].side != self.daemon.side)
        if not self.daemon.is_up or cut or fleet.rng.random() < fleet.loss:
            raise PeerCallFailed(self.daemon.name, "model")


def _size(message):
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAcceleratedFactory().getProtocol(buffer))
    return len(buffer.getvalue())


def _accuse(cluster, gossip, note, again):
    """Spread a note on a request, as the daemon's core does."""
    if cluster.post_suspicion(note, again) or again:
        gossip.trigger_round()


def _tell_limit(cluster, gossip, note, again):
    """Spread a note on a limit, as the daemon's core does."""
    if cluster.post_limit(note, again) or again:
        gossip.trigger_round()


def _ignore(subject, source, until):
    """Take no notice of a note."""


def _ignore_policy(policy):
    """Tell a new policy nothing."""
