"""Dissemination of a new version of a large document to all daemons, over slow links.

The fetch slots and the rate limits are those of the daemon. The model adds the rounds
of heartbeats, the links and the duration of transfers.
"""

import heapq
import random

import attrs

from cairnferry.entry.following._rules_exchange import (
    BUSY_RETRY_S,
    DocumentRateLimit,
    FetchSlots,
)

# Bytes per second of a link of 10 Mbit/s.
SLOW_LINK = 1_250_000.0
# Seconds between two heartbeat rounds of a daemon, and from the installation of the
# document to the additional round that it triggers.
ROUND_S = 0.5
TRIGGERED_ROUND_S = 0.02
# Peers of its zone that a daemon calls in a round.
FANOUT = 2
# Daemons of each zone that also call a daemon of another zone in each round.
CROSS_ZONE_CALLERS = 2
# Seconds from the call to the first byte of the transfer.
CALL_S = 0.002
# Seconds without a byte after which a call times out.
TIMEOUT_S = 0.8
# Seconds that a daemon takes to read and install a large document.
INSTALL_S = 0.06


@attrs.frozen
class TransferOptions:
    """Options of the transfer of a document.

    Attributes
    ----------
    size : int
        Bytes of one fetch.
    uses_fetch_slots : bool
        Whether a daemon fetches from one peer at a time.
    is_rate_limited : bool
        Whether a sender limits transfers to a share of its link.
    """

    size: int
    uses_fetch_slots: bool = True
    is_rate_limited: bool = True


@attrs.define(eq=False)
class _Daemon:
    index: int
    zone: int
    slots: FetchSlots
    rate_limit: DocumentRateLimit
    has_document: bool = False
    up_free_at: float = 0.0
    down_free_at: float = 0.0
    sent_bytes: int = 0


class Dissemination:
    """Daemons that fetch a new version of a document from each other.

    At first, one daemon of each zone has read the new version from the store.

    Parameters
    ----------
    size, zones : int
        Numbers of daemons and of availability zones.
    options : TransferOptions
        Options of transfers.
    seed : int
        Seed of all random choices.
    link : float, optional
        Bytes per second of each link.

    Attributes
    ----------
    far_bytes, fetches, failed : int
        Bytes between zones; number of fetches that began, and that timed out.
    """

    def __init__(
        self,
        size: int,
        zones: int,
        options: TransferOptions,
        seed: int,
        link: float = SLOW_LINK,
    ):
        self.options = options
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
            self._complete_install(zone[0])

    def run(self, seconds: float) -> float:
        """Run until all daemons have the document; return the seconds that this took.

        The run ends after `seconds` at the latest.
        """
        while self._events and self.now <= seconds:
            if all(daemon.has_document for daemon in self.daemons):
                return self.now
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return seconds

    def busiest_link(self, seconds: float) -> float:
        """Return the largest share of its link that a daemon used for sending."""
        return max(d.sent_bytes for d in self.daemons) / (self.link * seconds)

    def _after(self, delay, action, *args):
        self._serial += 1
        heapq.heappush(self._events, (self.now + delay, self._serial, action, args))

    def _complete_install(self, daemon):
        daemon.has_document = True
        self._after(TRIGGERED_ROUND_S, self._round, daemon, False)

    def _round(self, daemon, is_periodic):
        near = [d for d in self._zones[daemon.zone] if d is not daemon]
        called = self.rng.sample(near, min(FANOUT, len(near)))
        if daemon in self._zones[daemon.zone][:CROSS_ZONE_CALLERS]:
            far = [d for d in self.daemons if d.zone != daemon.zone]
            called += self.rng.sample(far, min(1, len(far)))
        for other in called:
            if daemon.has_document and not other.has_document:
                self._offer(other, daemon)
            elif other.has_document and not daemon.has_document:
                self._offer(daemon, other)
        if is_periodic:
            self._after(ROUND_S, self._round, daemon, True)

    def _offer(self, receiver, sender):
        name = str(sender.index)
        if receiver.has_document:
            return
        if self.options.uses_fetch_slots and not receiver.slots.begin(name, self.now):
            return
        if self.options.is_rate_limited and not sender.rate_limit.admit(
            self.options.size, self.now
        ):
            receiver.slots.end(name)
            pause = BUSY_RETRY_S * (0.5 + self.rng.random())
            self._after(pause, self._offer, receiver, sender)
            return
        self._transfer(receiver, sender)

    def _transfer(self, receiver, sender):
        self.fetches += 1
        begin = max(self.now + CALL_S, sender.up_free_at, receiver.down_free_at)
        if begin > self.now + TIMEOUT_S:
            self.failed += 1
            self._after(TIMEOUT_S, receiver.slots.end, str(sender.index))
            return
        end = begin + self.options.size / self.link
        sender.up_free_at = receiver.down_free_at = end
        sender.sent_bytes += self.options.size
        if sender.zone != receiver.zone:
            self.far_bytes += self.options.size
        self._after(end - self.now, self._complete_transfer, receiver, sender)

    def _complete_transfer(self, receiver, sender):
        receiver.slots.end(str(sender.index))
        if not receiver.has_document:
            self._after(INSTALL_S, self._complete_install, receiver)
