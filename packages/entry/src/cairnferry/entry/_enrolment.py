"""Finding the other daemons by a registry that all of them write to once."""

import logging
import os
import random

import attrs
import gevent

from cairnferry.entry._cluster import Cluster, Listed
from cairnferry.entry._gossip import Gossip
from cairnferry.entry._ports import EntryRow, KeyExists, Registry
from cairnferry.peers import SharedKey

# Pause in seconds after a failed call, doubled up to the longest, with jitter: all
# instances start within some 300 ms, and after an outage all try again.
RETRY_S = 0.2
MAX_RETRY_S = 2.0

# Length of the shared key in bytes; twice the least that peers accept.
KEY_BYTES = 32

log = logging.getLogger(__name__)


@attrs.define
class Enrolment:
    """Enrols this instance and tells the others' addresses to the heartbeats.

    Who lives is decided by heartbeats: a row is written once, and one of an instance
    that is gone costs a few calls that fail.

    Parameters
    ----------
    registry : Registry
        The registry.
    me : EntryRow
        This instance.
    keys : SharedKey
        Gets the key of the daemons.
    cluster : Cluster
        Gets the list of instances.
    gossip : Gossip
        Gets the addresses.
    rng : random.Random
        For jitter.
    """

    registry: Registry
    me: EntryRow
    keys: SharedKey
    cluster: Cluster
    gossip: Gossip
    rng: random.Random

    def run(self) -> None:
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
        enrolled = self._write().bind(lambda _: self.registry.read())
        if enrolled.is_error():
            log.warning("not enrolled", extra={"why": str(enrolled.error)})
            return False
        entries = enrolled.ok.entries
        self.keys.set(enrolled.ok.key)
        self.cluster.listed = {
            entry.name: Listed(entry.zone, leaving=False) for entry in entries
        }
        others = {e.peer_address for e in entries if e.name != self.me.name}
        self.gossip.strangers = others
        self.gossip.hurry()
        log.info("enrolled", extra={"others": len(others)})
        return True
