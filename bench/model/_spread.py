"""A new version of a large document on its way to all daemons, over slow links.

Who fetches from whom, and who gives when, is decided by the daemon's own parts; rounds
of heartbeats, links and the time that a transfer takes are the model's.
"""

import heapq
import random

import attrs

from cairnferry.entry.following._rules_exchange import (
    BUSY_RETRY_S,
    DocumentRateLimit,
    FetchSlots,
)

# Bytes a second of a link of 10 Mbit/s.
SLOW_LINK = 1_250_000.0
ROUND_S = 0.5
HURRY_S = 0.02
FANOUT = 2
FAR_CALLERS = 2
CALL_S = 0.002
# Seconds without a byte after which a call is given up.
TIMEOUT_S = 0.8
# Seconds in which a daemon reads and installs a large document.
INSTALL_S = 0.06


@attrs.frozen
class Way:
    """How a document is told.

    Attributes
    ----------
    size : int
        Bytes that one fetch takes.
    in_turns : bool
        Whether a daemon fetches from one peer at a time.
    is_paced : bool
        Whether it is given at a part of the link.
    """

    size: int
    in_turns: bool = True
    is_paced: bool = True


@attrs.define(eq=False)
class _Daemon:
    index: int
    zone: int
    turns: FetchSlots
    pace: DocumentRateLimit
    is_informed: bool = False
    up_free_at: float = 0.0
    down_free_at: float = 0.0
    given: int = 0


class Spread:
    """Daemons in zones, of which some have just read a new version from the store.

    Parameters
    ----------
    size, zones : int
        Daemons, and availability zones.
    way : Way
        How the document is told.
    seed : int
        Seed of all choices.
    link : float, optional
        Bytes a second of each link.

    Attributes
    ----------
    far_bytes, fetches, failed : int
        Bytes between zones; fetches that began, and that timed out.
    """

    def __init__(
        self, size: int, zones: int, way: Way, seed: int, link: float = SLOW_LINK
    ):
        self.way = way
        self.link = link
        self.rng = random.Random(seed)
        self.far_bytes = self.fetches = self.failed = 0
        self.now = 0.0
        self._events = []
        self._serial = 0
        self.daemons = [
            _Daemon(i, i % zones, FetchSlots(), DocumentRateLimit(link))
            for i in range(size)
        ]
        self._zones = [
            [d for d in self.daemons if d.zone == zone] for zone in range(zones)
        ]
        for daemon in self.daemons:
            self._after(self.rng.random() * ROUND_S, self._round, daemon, True)
        for zone in self._zones:
            self._inform(zone[0])

    def run(self, seconds: float) -> float:
        """Let time pass until all are informed; give the seconds that took."""
        while self._events and self.now <= seconds:
            if all(daemon.is_informed for daemon in self.daemons):
                return self.now
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return seconds

    def busiest_link(self, seconds: float) -> float:
        """Give the share of its link that the daemon used which gave most."""
        return max(d.given for d in self.daemons) / (self.link * seconds)

    def _after(self, delay, action, *args):
        self._serial += 1
        heapq.heappush(self._events, (self.now + delay, self._serial, action, args))

    def _inform(self, daemon):
        daemon.is_informed = True
        self._after(HURRY_S, self._round, daemon, False)

    def _round(self, daemon, goes_on):
        near = [d for d in self._zones[daemon.zone] if d is not daemon]
        called = self.rng.sample(near, min(FANOUT, len(near)))
        if daemon in self._zones[daemon.zone][:FAR_CALLERS]:
            far = [d for d in self.daemons if d.zone != daemon.zone]
            called += self.rng.sample(far, min(1, len(far)))
        for other in called:
            if daemon.is_informed and not other.is_informed:
                self._offer(other, daemon)
            elif other.is_informed and not daemon.is_informed:
                self._offer(daemon, other)
        if goes_on:
            self._after(ROUND_S, self._round, daemon, True)

    def _offer(self, taker, giver):
        name = str(giver.index)
        if taker.is_informed:
            return
        if self.way.in_turns and not taker.turns.begin(name, self.now):
            return
        if self.way.is_paced and not giver.pace.admit(self.way.size, self.now):
            taker.turns.end(name)
            pause = BUSY_RETRY_S * (0.5 + self.rng.random())
            self._after(pause, self._offer, taker, giver)
            return
        self._transfer(taker, giver)

    def _transfer(self, taker, giver):
        self.fetches += 1
        begin = max(self.now + CALL_S, giver.up_free_at, taker.down_free_at)
        if begin > self.now + TIMEOUT_S:
            self.failed += 1
            self._after(TIMEOUT_S, taker.turns.end, str(giver.index))
            return
        end = begin + self.way.size / self.link
        giver.up_free_at = taker.down_free_at = end
        giver.given += self.way.size
        if giver.zone != taker.zone:
            self.far_bytes += self.way.size
        self._after(end - self.now, self._taken, taker, giver)

    def _taken(self, taker, giver):
        taker.turns.end(str(giver.index))
        if not taker.is_informed:
            self._after(INSTALL_S, self._inform, taker)
