"""Finding the other daemons by a registry that all of them write to once."""

import logging
import os
import random
import time

import attrs
import gevent

from cairnferry.coordination import MemberState
from cairnferry.entry._ports import Enrolled, EntryRow, KeyExists, Registry
from cairnferry.entry.members._cluster import Cluster, Listed
from cairnferry.entry.members._gossip import Gossip
from cairnferry.peers import KeyRing, SharedKey

# Pause in seconds after a failed call, doubled up to the longest, with jitter: all
# instances start within some 300 ms, and after an outage all try again.
RETRY_S = 0.2
MAX_RETRY_S = 2.0

# Seconds between two looks at whose rows are out of date.
KEEP_S = 5.0
# Seconds for which nobody has heard of an instance after which its row is removed: half
# of the time for which members remember that it is gone, and longer than a restart.
GONE_S = 60.0

# Length of the shared key in bytes; twice the least that peers accept.
KEY_BYTES = 32

log = logging.getLogger(__name__)


@attrs.define
class Enrolment:
    """Enrols this instance and tells the others' addresses to the heartbeats.

    Who lives is decided by heartbeats: a row is written once, and removed when its
    instance leaves, or by another one when it is long gone. Rows that stayed would be
    called in vain by each daemon that starts, and each would make the others' part of
    the common budgets smaller.

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
    """

    registry: Registry
    me: EntryRow
    keys: SharedKey | KeyRing
    cluster: Cluster
    gossip: Gossip
    rng: random.Random
    _incarnation: int = 0
    _is_leaving: bool = False
    _missing_since: dict[str, float] = attrs.field(factory=dict)
    _removed: set[str] = attrs.field(factory=set)

    def run(self) -> None:
        """Try until this instance is enrolled, then keep the rows up to date."""
        self.enrol()
        while True:
            gevent.sleep(KEEP_S)
            self.keep(time.monotonic())

    def enrol(self) -> None:
        """Try until this instance is enrolled."""
        pause = RETRY_S
        while not self._enrol():
            gevent.sleep(pause * (0.5 + self.rng.random()))
            pause = min(MAX_RETRY_S, 2 * pause)

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
        self._take_in(enrolled.ok)
        self.gossip.hurry()
        log.info("enrolled", extra={"others": len(self.gossip.strangers)})
        return True

    def refresh(self) -> None:
        """Read once who is listed, where the platform itself keeps the registry."""
        enrolled = self.registry.read()
        if enrolled.is_error():
            log.debug("registry not read", extra={"why": str(enrolled.error)})
            return
        self._take_in(enrolled.ok)

    def _take_in(self, enrolled: Enrolled):
        entries = enrolled.entries
        self.cluster.listed = {e.name: Listed(e.zone, e.leaving) for e in entries}
        self.gossip.strangers = {
            entry.peer_address
            for entry in entries
            if entry.name != self.me.name and not entry.leaving
        }

    # -- rows that are out of date ------------------------------------------------

    def keep(self, now: float) -> None:
        """Remove rows of instances that are long gone, and restore the own one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._restore()
        gone = self._long_gone(now)
        live = self.cluster.membership.live()
        # An instance that is cut off from the others sees all of them gone. Were it to
        # remove their rows, daemons that start then would find it alone; were it to
        # forget them, it would take the whole of the common budgets for itself.
        if len(live) <= len(self._missing_since.keys() - self._removed):
            return
        for name in gone:
            self.cluster.listed.pop(name, None)
        left = gone - self._removed
        if left and live[0].name == self.me.name and self._remove(left):
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

    def _restore(self):
        """Write the own row again after others called this instance gone.

        They may have removed it while this instance was cut off from them, and
        daemons that start later would not find it.
        """
        incarnation = self.cluster.membership.me.incarnation
        if incarnation == self._incarnation or self._is_leaving:
            return
        if self.registry.write(self.me).is_ok():
            self._incarnation = incarnation

    def _long_gone(self, now):
        members = self.cluster.membership.others()
        present = {m.name for m in members if m.state is not MemberState.GONE}
        present.add(self.me.name)
        names = {*self.cluster.listed, *(m.name for m in members)} - present
        self._removed &= names
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in names
        }
        return {n for n, since in self._missing_since.items() if now - since >= GONE_S}
