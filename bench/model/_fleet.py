"""Model of many daemons in simulated time: membership, table updates, store watchers.

It uses components of the daemon: `Cluster`, `Gossip`, `WatcherRole` and `TableReplica`.
Calls between daemons are direct function calls, and time is simulated.
"""

import collections
import heapq
import random
from collections.abc import Callable
from functools import partial
from unittest import mock

import attrs
import gevent
from expression import Error, Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from cairnferry.coordination import (
    Batch,
    Member,
    Membership,
    MemberState,
    NoteRegistry,
    Row,
    era_of,
    stamp,
    version_of,
)
from cairnferry.entry._ports import FeedUnavailable, HistoryLost
from cairnferry.entry.callers import CrashGuard, quarantine_note_registry
from cairnferry.entry.following._following import Follower
from cairnferry.entry.following._table import FollowedTable
from cairnferry.entry.members import Cluster, Gossip, PermitIssuers, WatcherRole
from cairnferry.entry.members._cluster import ListedInstance
from cairnferry.entry.members._watcher_role import SETTLE_S
from cairnferry.entry.targets import (
    Limiter,
    LocalPermitIssuer,
    PermitRequester,
    Services,
    limit_note_registry,
)
from cairnferry.entry.targets._permits import ROUND_S as PERMIT_ROUND_S
from cairnferry.entry.telemetry import Metrics
from cairnferry.peers import PeerCallFailed
from cairnferry.peers._messages import (
    heartbeat_to_wire,
    permit_query_to_wire,
    permit_reply_to_wire,
)
from cairnferry.peers._packed_tables import TablePacker
from cairnferry.policy import settings_for

# Seconds between two gossip rounds of a daemon, and peers that it calls in a round.
ROUND_S = 0.5
FANOUT = 2
# Mean seconds between a daemon's checks of whether it watches the store, and longest
# wait of a watcher's call to the store.
POLL_S = 0.15
LONG_POLL_S = 5.6
# Seconds from a failed call to the store to the next call.
RETRY_S = 1.0
TABLE = "targets"


@attrs.define
class Store:
    """The platform's table, with versions, an era, and a count of calls."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    number: int = 0
    era: int = 0
    calls: int = 0
    is_up: bool = True

    @property
    def version(self) -> int:
        """Stamp of the latest version."""
        return stamp(self.era, self.number)

    def change(self, key: str, value: bytes | None) -> None:
        """Write a row, or remove it if the value is None."""
        self.number += 1
        self.rows[key] = Row(key, value, self.version)

    def copy(self) -> tuple[dict[str, Row], int]:
        """Return a copy of all rows, and its version number."""
        return dict(self.rows), self.number

    def restore_from(self, copy: tuple[dict[str, Row], int]) -> None:
        """Restore the table from a copy without later writes; a new era begins."""
        rows, self.number = copy
        self.era += 1
        self.rows = {
            key: attrs.evolve(row, version=stamp(self.era, version_of(row.version)))
            for key, row in rows.items()
        }

    def since(self, version: int) -> Batch:
        """Return the changes since a version; all rows if it is of an earlier era."""
        changed = [row for row in self.rows.values() if row.version > version]
        return Batch(tuple(sorted(changed, key=lambda r: r.version)), self.version)


@attrs.frozen
class _Feed:
    """Feed of the store as one daemon reaches it; it answers without waiting."""

    store: Store
    is_served: Callable[[], bool]

    def list_all(self):
        """List all rows."""
        self.store.calls += 1
        if not self.is_served():
            return Error(FeedUnavailable("model"))
        rows = tuple(r for r in self.store.rows.values() if r.value is not None)
        return Ok(Batch(rows, self.store.version))

    def wait_for_changes(self, version, wait_s):
        """Return the changes since a version."""
        self.store.calls += 1
        if not self.is_served():
            return Error(FeedUnavailable("model"))
        if era_of(version) != self.store.era:
            return Error(HistoryLost())
        return Ok(self.store.since(version))


class _Rules:
    """Rules of a daemon, with the attributes that `Cluster` uses."""

    revision = 1
    behind = None


@attrs.define(eq=False)
class Daemon:
    """One daemon of the model.

    Attributes
    ----------
    is_up : bool
        Whether the daemon runs.
    is_isolated : bool
        Whether the daemon can reach no other daemon.
    side : int
        Side of a network partition; a daemon reaches only daemons of its own side.
    refused : bool
        Whether the store refuses its calls.
    store_called_at : float
        Time in seconds of its last call to the store.
    rows_in_use : dict of str to Row
        Rows of the table in force, including retained ones.
    """

    name: str
    zone: str
    cluster: Cluster
    gossip: Gossip
    watcher_role: WatcherRole
    follower: Follower
    guard: CrashGuard
    services: Services
    limiter: Limiter
    permits: PermitRequester
    is_up: bool = True
    is_isolated: bool = False
    side: int = 0
    refused: bool = False
    store_called_at: float = 0.0
    rows_in_use: dict[str, Row] = attrs.field(factory=dict)

    @property
    def table(self) -> FollowedTable:
        """The daemon's copy of the table."""
        return self.follower.table

    def use(self, rows: dict[str, Row]) -> None:
        """Put rows in force."""
        self.rows_in_use = rows


class Fleet:
    """Daemons in zones, a store, and the queue of future events.

    Parameters
    ----------
    size, zones : int
        Numbers of daemons and of availability zones.
    seed : int
        Seed of all random choices.
    loss : float, optional
        Share of calls between daemons that fail, 0 to 1.

    Attributes
    ----------
    bytes : Counter
        Bytes of calls by kind, and by "near" or "far" for the zones.
    messages : int
        Number of calls.
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
                d.name: d for d in (self._create_daemon(i, zones) for i in range(size))
            }
            self._register_addresses()
        for daemon in self.daemons.values():
            self.after(self.rng.random() * ROUND_S, self._round, daemon)
            self.after(self.rng.random() * POLL_S, self._poll_store, daemon)
            self.after(self.rng.random() * POLL_S, self._request_permits, daemon)

    def _clock(self):
        return mock.patch("time.monotonic", lambda: self.now)

    def _create_daemon(self, index, zones):
        zone = f"z{index % zones}"
        name = f"{zone}-{index}"
        me = Member(name, zone, f"{name}:1", f"{name}:2", 1, MemberState.ALIVE)
        membership = Membership(me, random.Random(self.rng.random()))
        cluster = Cluster(membership, _Rules(), NoteRegistry(_ignore_note), lambda: 1.0)
        gossip = Gossip(cluster, None, self, ROUND_S, FANOUT, ())
        watcher_role = WatcherRole(cluster)
        watcher_role.is_ready = True
        guard = CrashGuard(Metrics(), partial(_post_suspicion, cluster, gossip))
        cluster.suspicions = quarantine_note_registry(guard.receive)
        services = Services(zone, self.rng, _ignore_policy, settings_for("ask-first"))
        post_limit = partial(_post_limit, cluster, gossip)
        limiter = Limiter(services.limits, Metrics(), post_limit)
        cluster.limits = limit_note_registry(limiter.receive)
        issuers = PermitIssuers(cluster)
        issuer = LocalPermitIssuer(limiter, issuers, self.rng)
        gossip.permits = issuer.issue
        permits = PermitRequester(name, services, limiter, issuers, issuer, self)
        daemon = Daemon(
            name,
            zone,
            cluster,
            gossip,
            watcher_role,
            self._create_follower(name, watcher_role, gossip),
            guard,
            services,
            limiter,
            permits,
        )
        daemon.follower.feed = _Feed(self.store, partial(self._is_served, daemon))
        daemon.follower.on_change = daemon.table.on_change = daemon.use
        cluster.tables = {TABLE: daemon.table}
        return daemon

    def _create_follower(self, name, watcher_role, gossip):
        def report_failure():
            watcher_role.report_store_failure()
            gossip.trigger_round()

        follower = Follower(
            TABLE,
            None,
            _ignore_rows,
            random.Random(name),
            on_failure=report_failure,
            is_doubted=watcher_role.is_store_doubted,
        )
        follower.table.call_later = self.after
        return follower

    def _is_served(self, daemon):
        return self.store.is_up and not daemon.refused

    def _register_addresses(self):
        """List the addresses of all other daemons at each, as the platform's list does.

        No daemon lists another one as a member yet.
        """
        zones = {f"{d.name}:1": d.zone for d in self.daemons.values()}
        listed = {
            d.name: ListedInstance(d.zone, False, f"{d.name}:1")
            for d in self.daemons.values()
        }
        for daemon in self.daemons.values():
            mine = f"{daemon.name}:1"
            daemon.gossip.listed_peers = {a: z for a, z in zones.items() if a != mine}
            daemon.cluster.listed = listed
            # The first daemons read the store themselves, as seeds do.
            if int(daemon.name.partition("-")[2]) >= 3:
                daemon.watcher_role.joined_at = 0.0
                daemon.gossip.cross_zone_after = SETTLE_S

    # -- time ---------------------------------------------------------------------

    def after(self, delay: float, action, *args) -> None:
        """Schedule an action after some seconds."""
        self._serial += 1
        event = (self.now + delay, self._serial, action, args)
        heapq.heappush(self._events, event)

    def run(self, seconds: float, until=None) -> float:
        """Run for some seconds or until a condition is met; return the seconds run."""
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
            # Fetches of a daemon that was called run in their own greenlets.
            gevent.sleep(0)
        is_triggered = daemon.gossip._round_due.is_set()
        daemon.gossip._round_due.clear()
        self.after(0.02 if is_triggered else ROUND_S, self._round, daemon)

    def _request_permits(self, daemon):
        if daemon.is_up and daemon.limiter.is_needed.is_set():
            daemon.permits.one_round()
            daemon.permits._calls.join()
        self.after(PERMIT_ROUND_S, self._request_permits, daemon)

    def _poll_store(self, daemon):
        """Poll the store, if this daemon is a watcher."""
        self.after(POLL_S * (0.5 + self.rng.random()), self._poll_store, daemon)
        if not daemon.is_up:
            return
        follower, copy = daemon.follower, daemon.table.copy
        if not daemon.watcher_role.is_active():
            follower._stand_by()
            return
        is_served = self._is_served(daemon)
        is_new = is_served and self.store.version > copy.version
        is_retry = not is_served or follower._failures
        interval = RETRY_S if is_retry else LONG_POLL_S
        if not is_new and self.now - daemon.store_called_at < interval:
            return
        daemon.store_called_at = self.now
        version = copy.version
        while follower.poll_once() == 0.0:
            # The history is lost, and all rows are listed.
            pass
        if is_served:
            daemon.cluster.confirmation.confirm(self.now)
        if copy.version > version:
            daemon.gossip.trigger_round()

    # -- calls between daemons ------------------------------------------------------

    def link_to(self, address: str, is_cross_zone: bool = False) -> "ModelLink":
        """Return the link to a daemon, as `PeerLinks` does."""
        return ModelLink(self, self.daemons[address.partition(":")[0]], is_cross_zone)

    def close_unused(self, since: float) -> None:
        """Do nothing, as the model has no connections."""

    def count_bytes(self, kind, daemon, is_cross_zone, request, response):
        """Count the bytes of a call."""
        size = sum(_size(message) for message in (request, response) if message)
        self.bytes[kind, "far" if is_cross_zone else "near"] += size
        self.messages += 1

    # -- state for tests --------------------------------------------------------------

    def up(self) -> list[Daemon]:
        """Return the daemons that run."""
        return [daemon for daemon in self.daemons.values() if daemon.is_up]

    def is_watching(self, daemon: Daemon) -> bool:
        """Return whether a daemon watches the store."""
        with self._clock():
            return daemon.watcher_role.is_active_at(self.now)

    def watchers(self) -> dict[str, int]:
        """Return the number of watchers by zone."""
        watching = (daemon for daemon in self.up() if self.is_watching(daemon))
        return collections.Counter(daemon.zone for daemon in watching)

    def all_have(self, version: int) -> bool:
        """Return whether all reachable daemons have a version of the table."""
        reachable = [daemon for daemon in self.up() if not daemon.is_isolated]
        return all(daemon.table.copy.version >= version for daemon in reachable)


@attrs.frozen
class ModelLink:
    """Link to one daemon, whose calls may fail."""

    fleet: Fleet
    daemon: Daemon
    is_cross_zone: bool

    def heartbeat(self, mine):
        """Exchange heartbeats."""
        self._check_reachable(mine.sender.name)
        theirs = self.daemon.gossip.heartbeat(mine)
        self.fleet.count_bytes(
            "heartbeat",
            self.daemon,
            self.is_cross_zone,
            heartbeat_to_wire(mine),
            heartbeat_to_wire(theirs),
        )
        return theirs

    def news_since(self, table, version):
        """Fetch the changes of a table since a version."""
        self._check_reachable(None)
        update = self.daemon.gossip.news_since(table, version)
        message = TablePacker().pack(table, version, update)
        self.fleet.count_bytes("news", self.daemon, self.is_cross_zone, None, message)
        return update

    def request_permits(self, requester, queries):
        """Request permits for limited targets."""
        self._check_reachable(requester)
        replies = self.daemon.gossip.issue_permits(requester, list(queries))
        for message in map(permit_query_to_wire, queries):
            self.fleet.count_bytes(
                "permits", self.daemon, self.is_cross_zone, message, None
            )
        for message in map(permit_reply_to_wire, replies):
            self.fleet.count_bytes(
                "permits", self.daemon, self.is_cross_zone, None, message
            )
        return replies

    def _check_reachable(self, caller):
        fleet = self.fleet
        is_unreachable = self.daemon.is_isolated or (
            caller and fleet.daemons[caller].is_isolated
        )
        is_unreachable = is_unreachable or (
            caller and fleet.daemons[caller].side != self.daemon.side
        )
        if not self.daemon.is_up or is_unreachable or fleet.rng.random() < fleet.loss:
            raise PeerCallFailed(self.daemon.name, "model")


def _size(message):
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAcceleratedFactory().getProtocol(buffer))
    return len(buffer.getvalue())


def _post_suspicion(cluster, gossip, note, again):
    """Post a note on a suspect request, as the daemon's core does."""
    if cluster.post_suspicion(note, again) or again:
        gossip.trigger_round()


def _post_limit(cluster, gossip, note, again):
    """Post a note on a limit, as the daemon's core does."""
    if cluster.post_limit(note, again) or again:
        gossip.trigger_round()


def _ignore_note(subject, source, until):
    """Ignore a note."""


def _ignore_rows(rows):
    """Ignore the rows of a daemon that is being created."""


def _ignore_policy(policy):
    """Ignore a new policy."""
