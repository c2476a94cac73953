"""Discovery of other daemons through a registry that holds one row per daemon."""

import logging
import math
import os
import random
import time
from collections.abc import Collection

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import MemberState
from cairnferry.decoding import decode_object
from cairnferry.entry._ports import EntryRow, KeyExists, Registry
from cairnferry.entry._restarting_task import RestartingTask
from cairnferry.entry.http import Page
from cairnferry.entry.members._cluster import Cluster, ListedInstance
from cairnferry.entry.members._gossip import Gossip
from cairnferry.entry.members._joining import Joiner, JoinReply
from cairnferry.entry.members._watcher_role import SETTLE_S, WatcherRole
from cairnferry.peers import KeyRing, SharedKey

# First and longest pause in seconds after failed calls. The pause doubles and has
# jitter: all instances start within some 300 ms, and all retry after an outage.
RETRY_S = 0.2
MAX_RETRY_S = 2.0

# Seconds between two checks for outdated rows.
MAINTENANCE_S = 5.0
# Seconds after which the row of a lost instance is removed: half of the time for which
# members remember a lost instance, and longer than a restart takes.
STALE_ROW_S = 60.0

# Length of the shared key in bytes; twice the minimum that peers accept.
KEY_BYTES = 32

# Seconds for which rows of joining instances are collected before they are written. A
# whole installation starts within some 300 ms, and each write is billed.
BATCH_S = 0.3
# Seconds after which an instance whose row is missing writes it itself. The instance
# through which it joined may be lost, and the row with it. This is several times what
# it takes to write a row and to receive it here.
ROW_MISSING_S = 8.0
# Age in seconds of the last confirmation by any daemon from which the store is assumed
# to be unreachable.
STORE_OUTAGE_S = 9.0
# Instances listed in the reply to a joining instance, for its own zone and for each
# other zone. Some of them are likely to be alive and report the rest.
REPLY_SAME_ZONE = 16
REPLY_OTHER_ZONE = 2
# Expected number of instances, of all that start at once, that fetch the rules and
# targets from the instance through which they joined. The others get them in their own
# zone.
DIRECT_FETCHES = 60

log = logging.getLogger(__name__)


@attrs.define
class Enrolment:
    """Enrols this instance in the registry and supplies gossip with peer addresses.

    Heartbeats decide which instances are alive. A row is written once. It is removed
    when its instance leaves, or by another instance once its instance has been lost
    for `STALE_ROW_S`. Each daemon that starts would call the address of a stale row
    without success, and each stale row would reduce the other instances' shares of
    common budgets.

    Most instances join through another one, which writes the rows of many instances at
    once. Otherwise 312 instances that start together would make some 1,200 calls
    before the first request.

    Parameters
    ----------
    registry : Registry
        The registry.
    me : EntryRow
        Row of this instance.
    keys : SharedKey or KeyRing
        Receives the daemons' shared key if the registry holds one.
    cluster : Cluster
        Receives the list of instances.
    gossip : Gossip
        Receives the addresses of peers.
    rng : random.Random
        Random numbers for jitter.
    joiner : Joiner, optional
        Joins through other instances; without it only the registry is used.
    watcher_role : WatcherRole, optional
        Set ready once this instance knows the others.

    Attributes
    ----------
    joined_by : str or None
        Address of the instance through which this one joined; None if this instance
        enrolled itself.
    enrolled : Event
        Set once this instance is enrolled, so that others can join through it.
    """

    registry: Registry
    me: EntryRow
    keys: SharedKey | KeyRing
    cluster: Cluster
    gossip: Gossip
    rng: random.Random
    joiner: Joiner | None = None
    watcher_role: WatcherRole | None = None
    joined_by: str | None = None
    enrolled: Event = attrs.field(factory=Event)
    _incarnation: int = 0
    _is_leaving: bool = False
    _missing_since: dict[str, float] = attrs.field(factory=dict)
    _removed: set[str] = attrs.field(factory=set)
    _entries: dict[str, EntryRow] = attrs.field(factory=dict)
    _pending: dict[str, EntryRow] = attrs.field(factory=dict)
    _writing: RestartingTask = attrs.field(
        default=attrs.Factory(
            lambda self: RestartingTask(self._write_joining), takes_self=True
        )
    )
    # Whether the followed table lists this instance. Its own read at the enrolment does
    # not tell what the store still holds later.
    _is_in_table: bool = False
    _listed_at: float = attrs.field(factory=time.monotonic)

    def run(self) -> None:
        """Enrol this instance, with retries, then maintain the registry's rows."""
        self.enrol()
        while True:
            gevent.sleep(MAINTENANCE_S)
            self.maintain(time.monotonic())

    def enrol(self) -> None:
        """Enrol this instance, with retries until it succeeds."""
        if self.joiner is None or self.joiner.is_first:
            # This instance gets no member list from another one.
            self._allow_watching(-math.inf)
        pause = RETRY_S
        while not self._join() and not self._enrol():
            gevent.sleep(pause * (0.5 + self.rng.random()))
            pause = min(MAX_RETRY_S, 2 * pause)
        self.enrolled.set()
        self._allow_watching(time.monotonic())

    def _allow_watching(self, joined_at):
        if self.watcher_role is not None and not self.watcher_role.is_ready:
            self.watcher_role.joined_at = joined_at
            self.watcher_role.is_ready = True
            self.gossip.cross_zone_after = joined_at + SETTLE_S

    def _join(self):
        """Join through an instance from the settings; return whether this succeeded."""
        reply = self.joiner and self.joiner.request(self.me)
        if reply is None:
            return False
        self._incarnation = self.cluster.membership.me.incarnation
        self.joined_by = reply.responder
        self.keys.set(reply.key)
        self.cluster.reported_instances = reply.instances
        self.apply_entries(reply.entries)
        # The rules and targets are some 80 KB at 300 targets, and the responder may be
        # in another zone.
        fetches_directly = self.rng.random() < DIRECT_FETCHES / max(1, reply.instances)
        self.gossip.contact_listed_peers(reply.entries[0] if fetches_directly else None)
        log.info("joined", extra={"by": reply.responder, "others": len(reply.entries)})
        return True

    def _write(self):
        """Write this instance's row, and a shared key if the registry has none.

        All daemons start at the same moment. If each generated a key of its own, they
        would refuse each other. The registry accepts the first key only, and the other
        daemons read it.
        """
        written = self.registry.write_first(self.me, os.urandom(KEY_BYTES))
        if written.is_error() and isinstance(written.error, KeyExists):
            return self.registry.write(self.me)
        return written

    def _enrol(self):
        self._incarnation = self.cluster.membership.me.incarnation
        enrolled = self._write().bind(lambda _: self.registry.read())
        if enrolled.is_error():
            log.warning("not enrolled", extra={"why": str(enrolled.error)})
            return False
        if enrolled.ok.key is not None:
            self.keys.set(enrolled.ok.key)
        self.apply_entries(enrolled.ok.entries)
        self.gossip.contact_listed_peers()
        log.info("enrolled", extra={"others": len(self.gossip.listed_peers)})
        return True

    def refresh(self) -> None:
        """Read the list of instances once, if the platform maintains the registry."""
        listing = self.registry.read()
        if listing.is_error():
            log.debug("registry not read", extra={"why": str(listing.error)})
            return
        self.apply_entries(listing.ok.entries)

    def apply_entries(self, entries: Collection[EntryRow]) -> None:
        """Apply a list of instances, which may be partial."""
        now = time.monotonic()
        gone = self._find_stale(now)
        kept = [entry for entry in entries if entry.name not in gone]
        self.cluster.set_listed(
            {e.name: ListedInstance(e.zone, e.leaving, e.peer_address) for e in kept}
        )
        self.gossip.listed_peers = {
            entry.peer_address: entry.zone
            for entry in kept
            if entry.name != self.me.name and not entry.leaving
        }
        self._entries = {entry.name: entry for entry in kept}
        if self.me.name in self._entries:
            self._listed_at = now

    def apply_all_entries(self, entries: Collection[EntryRow]) -> None:
        """Apply the complete list of instances."""
        self.cluster.reported_instances = 0
        self._is_in_table = any(entry.name == self.me.name for entry in entries)
        self.apply_entries(entries)

    # -- instances that join through this one --------------------------------------

    def accept(self, joining: EntryRow) -> JoinReply | None:
        """Let an instance join; return None if this one is not enrolled itself."""
        if not self.keys.is_set:
            return None
        self._pending[joining.name] = joining
        self._writing.ensure_running()
        entries = self._entries | self._pending
        others = entries.values()
        selected = self._select(others, joining, same_zone=True, count=REPLY_SAME_ZONE)
        selected += self._select(
            others, joining, same_zone=False, count=REPLY_OTHER_ZONE
        )
        count = len(entries | {self.me.name: self.me})
        return JoinReply(
            self.keys.own_key(), (self.me, *selected), self.me.peer_address, count
        )

    def join_page(self, body: bytes) -> Page:
        """Answer an instance's request to join, whose body is its row."""
        joining = decode_object(body, lambda document: EntryRow(**document))
        if joining.is_error():
            why = str(joining.error)
            log.warning("join request cannot be read", extra={"why": why})
            return Page.of("400 Bad Request", {"error": "no row of an instance"})
        reply = self.accept(joining.ok)
        if reply is None:
            return Page.of("503 Service Unavailable", {"error": "not enrolled yet"})
        return Page.of("200 OK", reply.to_json())

    def _select(self, others, joining, same_zone, count):
        """Select the latest entries of each zone, as these are most likely alive."""
        by_zone = {}
        for entry in others:
            is_same = entry.zone == joining.zone
            if entry.name not in (joining.name, self.me.name) and is_same == same_zone:
                by_zone.setdefault(entry.zone, []).append(entry)
        return [entry for found in by_zone.values() for entry in found[-count:]]

    def _write_joining(self):
        """Write the rows of instances that joined, with retries until it succeeds."""
        pause = BATCH_S
        while self._pending:
            gevent.sleep(pause * (0.5 + self.rng.random()))
            rows = dict(self._pending)
            written = self.registry.write_all(rows.values())
            if written.is_error():
                log.info("rows not written", extra={"why": str(written.error)})
                pause = min(MAX_RETRY_S, 2 * pause)
                continue
            pause = BATCH_S
            log.info("rows written", extra={"instances": len(rows)})
            self._entries |= rows
            for name, row in rows.items():
                if self._pending[name] is row:
                    del self._pending[name]

    # -- outdated rows -------------------------------------------------------------

    def maintain(self, now: float) -> None:
        """Remove stale rows of other instances, and restore this instance's row.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._restore_row(now)
        gone = self._find_stale(now)
        zone = self.me.zone
        live = [m for m in self.cluster.membership.live() if m.zone == zone]
        # An instance that is partitioned from the others considers all of them lost. If
        # it removed their rows, daemons that start then would find only this one. If it
        # dropped them from the list, it would claim the common budgets for itself.
        if len(live) <= len(self._missing_since.keys() - self._removed):
            return
        for name in gone:
            self.cluster.listed.pop(name, None)
        is_first = bool(live) and live[0].name == self.me.name
        if is_first and self.joiner is not None and self.keys.is_set:
            # A store that was restored from a copy may lack the key. Daemons that start
            # then would generate another key, and all others would refuse them.
            self.registry.restore_key(self.keys.own_key())
        to_remove = gone - self._removed
        if to_remove and is_first and self._remove(to_remove):
            self._removed |= to_remove

    def leave(self) -> None:
        """Remove this instance's row; after a failure others remove it later."""
        self._is_leaving = True
        self._remove({self.me.name})

    def _remove(self, names):
        removed = self.registry.remove(names)
        if removed.is_error():
            log.info("rows not removed", extra={"why": str(removed.error)})
            return False
        log.info("rows removed", extra={"instances": sorted(names)})
        return True

    def _restore_row(self, now):
        """Write this instance's row again if it is missing.

        Other instances may have removed the row during a partition, or the instance
        through which this one joined was lost before it wrote the row. Daemons that
        start later would not find this instance.
        """
        incarnation = self.cluster.membership.me.incarnation
        if self._is_leaving or self._is_listed():
            return
        if incarnation == self._incarnation and not self._is_missing(now):
            return
        if self.registry.write(self.me).is_ok():
            self._incarnation = incarnation
            self._listed_at = now

    def _is_listed(self):
        """Return whether the table of instances is followed and lists this one."""
        return self.joiner is not None and self._is_in_table

    def _is_missing(self, now):
        """Return whether this instance's row appears to be missing in the store."""
        if self.joiner is None or now - self._listed_at < ROW_MISSING_S:
            return False
        return self.cluster.confirmation.age(now) < STORE_OUTAGE_S

    def _find_stale(self, now):
        """Return the names of lost instances of this zone whose rows are stale."""
        members = self.cluster.membership.others()
        zone = self.me.zone
        present = {m.name for m in members if m.state is not MemberState.GONE}
        present.add(self.me.name)
        listed = {n for n, each in self.cluster.listed.items() if each.zone == zone}
        names = listed | {m.name for m in members if m.zone == zone}
        names -= present
        self._removed &= names
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in names
        }
        return {
            n for n, since in self._missing_since.items() if now - since >= STALE_ROW_S
        }
