"""Finding the other daemons by a registry that all of them write to once."""

import json
import logging
import math
import os
import random
import time
from collections.abc import Collection

import attrs
import gevent

from cairnferry.coordination import MemberState
from cairnferry.entry._ports import EntryRow, KeyExists, Registry
from cairnferry.entry.http import Page
from cairnferry.entry.members._cluster import Cluster, ListedInstance
from cairnferry.entry.members._gossip import Gossip
from cairnferry.entry.members._joining import Joiner, Welcome
from cairnferry.entry.members._watcher_role import SETTLE_S, WatcherRole
from cairnferry.peers import KeyRing, SharedKey

# Pause in seconds after a failed call, doubled up to the longest, with jitter: all
# instances start within some 300 ms, and after an outage all try again.
RETRY_S = 0.2
MAX_RETRY_S = 2.0

# Seconds between two looks at whose rows are out of date.
MAINTENANCE_S = 5.0
# Seconds for which nobody has heard of an instance after which its row is removed: half
# of the time for which members remember that it is gone, and longer than a restart.
GONE_S = 60.0

# Length of the shared key in bytes; twice the least that peers accept.
KEY_BYTES = 32

# Seconds for which rows of instances that join are gathered: a whole installation
# starts within some 300 ms, and each write has its price.
GATHER_S = 0.3
# Seconds after which an instance that finds no row of its own writes it itself: the one
# by which it joined may be gone with it. Several times what a row needs to be written,
# and to come here again.
ROW_MISSING_S = 8.0
# Seconds since the store was last heard of, by anyone, from which it is taken for away.
STORE_AWAY_S = 9.0
# Instances that are told to one that joins: enough that some live, of its own zone and
# of each other. It hears of the rest from these.
TOLD_NEAR = 16
TOLD_FAR = 2
# Instances that fetch what is in force from the one by which they joined, of all that
# start at once; the others hear it in their zone.
ASK_TELLER = 60

log = logging.getLogger(__name__)


@attrs.define
class Enrolment:
    """Enrols this instance and tells the others' addresses to the heartbeats.

    Who lives is decided by heartbeats: a row is written once, and removed when its
    instance leaves, or by another one when it is long gone. Rows that stayed would be
    called in vain by each daemon that starts, and each would make the others' part of
    the common budgets smaller.

    Most instances join by another one, which writes the rows of many at once: 312 that
    start together would else make some 1,200 calls before the first request.

    Parameters
    ----------
    registry : Registry
        The registry.
    me : EntryRow
        This instance.
    keys : SharedKey or KeyRing
        Gets the key of the daemons, if the registry holds it.
    cluster : Cluster
        Gets the list of instances.
    gossip : Gossip
        Gets the addresses.
    rng : random.Random
        For jitter.
    joiner : Joiner, optional
        Asks other instances; without it the registry alone is asked.
    duty : WatcherRole, optional
        Told when this instance knows of the others.

    Attributes
    ----------
    joined_by : str or None
        Address of the instance by which this one joined; None if it enrolled itself.
    """

    registry: Registry
    me: EntryRow
    keys: SharedKey | KeyRing
    cluster: Cluster
    gossip: Gossip
    rng: random.Random
    joiner: Joiner | None = None
    duty: WatcherRole | None = None
    joined_by: str | None = None
    _incarnation: int = 0
    _is_leaving: bool = False
    _missing_since: dict[str, float] = attrs.field(factory=dict)
    _removed: set[str] = attrs.field(factory=set)
    _entries: dict[str, EntryRow] = attrs.field(factory=dict)
    _joining: dict[str, EntryRow] = attrs.field(factory=dict)
    _is_gathering: bool = False
    _listed_at: float = attrs.field(factory=time.monotonic)

    def run(self) -> None:
        """Try until this instance is enrolled, then keep the rows up to date."""
        self.enrol()
        while True:
            gevent.sleep(MAINTENANCE_S)
            self.keep(time.monotonic())

    def enrol(self) -> None:
        """Try until this instance is enrolled."""
        if self.joiner is None or self.joiner.is_first:
            # Nobody else can be asked who watches the store.
            self._begin_duty(-math.inf)
        pause = RETRY_S
        while not self._join() and not self._enrol():
            gevent.sleep(pause * (0.5 + self.rng.random()))
            pause = min(MAX_RETRY_S, 2 * pause)
        self._begin_duty(time.monotonic())

    def _begin_duty(self, joined_at):
        if self.duty is not None and not self.duty.is_ready:
            self.duty.joined_at = joined_at
            self.duty.is_ready = True
            self.gossip.cross_zone_after = joined_at + SETTLE_S

    def _join(self):
        """Join by another instance, if there is one that is known from the start."""
        welcome = self.joiner and self.joiner.ask(self.me)
        if welcome is None:
            return False
        self._incarnation = self.cluster.membership.me.incarnation
        self.joined_by = welcome.told_by
        self.keys.set(welcome.key)
        self.cluster.told_instances = welcome.instances
        self.take_entries(welcome.entries)
        # What is in force is some 80 KB at 300 targets, and the teller may be far.
        asks_teller = self.rng.random() < ASK_TELLER / max(1, welcome.instances)
        self.gossip.meet(welcome.entries[0] if asks_teller else None)
        log.info(
            "joined", extra={"by": welcome.told_by, "others": len(welcome.entries)}
        )
        return True

    def _write(self):
        """Write the own row, and a key if nobody has written one.

        All daemons start at the same moment, and each would make a key of its own:
        they would refuse each other. The registry takes the first one, and later ones
        learn it by reading.
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
        self.take_entries(enrolled.ok.entries)
        self.gossip.meet()
        log.info("enrolled", extra={"others": len(self.gossip.listed_peers)})
        return True

    def refresh(self) -> None:
        """Read once who is listed, where the platform itself keeps the registry."""
        enrolled = self.registry.read()
        if enrolled.is_error():
            log.debug("registry not read", extra={"why": str(enrolled.error)})
            return
        self.take_entries(enrolled.ok.entries)

    def take_entries(self, entries: Collection[EntryRow]) -> None:
        """Take in who is listed."""
        now = time.monotonic()
        gone = self._long_gone(now)
        kept = [entry for entry in entries if entry.name not in gone]
        self.cluster.list_instances(
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

    def take_all(self, entries: Collection[EntryRow]) -> None:
        """Take in who is listed, where these are known to be all."""
        self.cluster.told_instances = 0
        self.take_entries(entries)

    # -- instances that join by this one ------------------------------------------

    def welcome(self, newcomer: EntryRow) -> Welcome | None:
        """Take in an instance that joins; None if this one is not enrolled itself."""
        if not self.keys.is_set:
            return None
        self._joining[newcomer.name] = newcomer
        if not self._is_gathering:
            self._is_gathering = True
            gevent.spawn(self._write_joining)
        known = self._entries | self._joining
        others = known.values()
        told = self._some(others, newcomer, same_zone=True, count=TOLD_NEAR)
        told += self._some(others, newcomer, same_zone=False, count=TOLD_FAR)
        count = len(known | {self.me.name: self.me})
        return Welcome(self.keys.own(), (self.me, *told), self.me.peer_address, count)

    def join_page(self, body: bytes) -> Page:
        """Answer an instance that asks to join, by its row."""
        try:
            newcomer = EntryRow(**json.loads(body))
        except (ValueError, TypeError) as exc:
            log.warning("join", extra={"why": f"{type(exc).__name__}: {exc}"})
            return Page.of("400 Bad Request", {"error": "no row of an instance"})
        welcome = self.welcome(newcomer)
        if welcome is None:
            return Page.of("503 Service Unavailable", {"error": "not enrolled yet"})
        return Page.of("200 OK", welcome.to_json())

    def _some(self, others, newcomer, same_zone, count):
        """Choose some of each zone; the last to join are likely to live."""
        by_zone = {}
        for entry in others:
            is_same = entry.zone == newcomer.zone
            if entry.name not in (newcomer.name, self.me.name) and is_same == same_zone:
                by_zone.setdefault(entry.zone, []).append(entry)
        return [entry for found in by_zone.values() for entry in found[-count:]]

    def _write_joining(self):
        """Write the rows of those that joined, until that is done."""
        pause = GATHER_S
        while self._joining:
            gevent.sleep(pause * (0.5 + self.rng.random()))
            rows = dict(self._joining)
            written = self.registry.write_all(rows.values())
            if written.is_error():
                log.info("rows not written", extra={"why": str(written.error)})
                pause = min(MAX_RETRY_S, 2 * pause)
                continue
            pause = GATHER_S
            log.info("rows written", extra={"instances": len(rows)})
            self._entries |= rows
            for name, row in rows.items():
                if self._joining[name] is row:
                    del self._joining[name]
        self._is_gathering = False

    # -- rows that are out of date ------------------------------------------------

    def keep(self, now: float) -> None:
        """Remove rows of instances that are long gone, and restore the own one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._restore(now)
        gone = self._long_gone(now)
        zone = self.me.zone
        live = [m for m in self.cluster.membership.live() if m.zone == zone]
        # An instance that is cut off from the others sees all of them gone. Were it to
        # remove their rows, daemons that start then would find it alone; were it to
        # forget them, it would take the whole of the common budgets for itself.
        if len(live) <= len(self._missing_since.keys() - self._removed):
            return
        for name in gone:
            self.cluster.listed.pop(name, None)
        is_first = bool(live) and live[0].name == self.me.name
        if is_first and self.joiner is not None and self.keys.is_set:
            # A store that came back from a copy may lack it: daemons that start then
            # would make another one, and be refused by all others.
            self.registry.restore_key(self.keys.own())
        left = gone - self._removed
        if left and is_first and self._remove(left):
            self._removed |= left

    def leave(self) -> None:
        """Remove the own row; a row that stays is removed by others later."""
        self._is_leaving = True
        self._remove({self.me.name})

    def _remove(self, names):
        removed = self.registry.remove(names)
        if removed.is_error():
            log.info("rows not removed", extra={"why": str(removed.error)})
            return False
        log.info("rows removed", extra={"instances": sorted(names)})
        return True

    def _restore(self, now):
        """Write the own row again if it is missing.

        Others may have called this instance gone and removed it while it was cut off
        from them, or the one by which it joined may have been lost before it wrote the
        row: daemons that start later would not find it.
        """
        incarnation = self.cluster.membership.me.incarnation
        if self._is_leaving or self._is_followed():
            return
        if incarnation == self._incarnation and not self._is_missing(now):
            return
        if self.registry.write(self.me).is_ok():
            self._incarnation = incarnation
            self._listed_at = now

    def _is_followed(self):
        """Tell whether the table of instances is followed here and has the own row."""
        return self.joiner is not None and self.me.name in self._entries

    def _is_missing(self, now):
        """Tell whether no row of this instance is there, as far as can be known."""
        if self.joiner is None or now - self._listed_at < ROW_MISSING_S:
            return False
        return self.cluster.confirmation.age(now) < STORE_AWAY_S

    def _long_gone(self, now):
        """Give the names of the own zone that nobody has heard of for long."""
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
        return {n for n, since in self._missing_since.items() if now - since >= GONE_S}
