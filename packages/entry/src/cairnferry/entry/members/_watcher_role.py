"""Which daemons watch the platform's store for all others of their zone."""

import math
import time

import attrs

from cairnferry.coordination import Note
from cairnferry.entry.members._cluster import Cluster

# Daemons that watch, over all zones. What one misses another one tells: zones hear from
# each other within half a second or so, and of a watcher that is lost about as fast.
WATCHERS = 3
# Daemons of a zone that may come to watch. All of them call when an outage ends; too
# few might all be refused by a store that serves others.
CANDIDATES = 6
# Seconds since the rules in force were last confirmed, by whomever, from which a
# further daemon of the zone watches, and after which yet another does. A call of a
# watcher waits up to 8 s for changes, and confirms nothing before its end.
LATE_S = 9.0
LATER_S = 1.0
# Seconds for which one whose call to the store failed leaves the watching to others: a
# store that is away altogether is asked by each candidate in turn, about that often.
REFUSED_S = 6.0
# Seconds for which what was found is taken for true: several followers ask.
CHECK_S = 0.1
# Source of the note that a daemon got no answer from the store.
NO_STORE = "no-store"
# Seconds after the start for which a daemon that was told of the others by one of them
# leaves the watching to these: it has heard none of them yet, and would call for
# itself.
SETTLE_S = 2.0
# Multiple of that for which one that asked the store itself watches in any case.
STAY = 1.5


@attrs.define
class WatcherRole:
    """Tells whether it is this daemon's turn to watch the store.

    The rank among the live daemons of the zone decides, without a lease: doing it twice
    costs some calls and harms nothing. Daemons that see nobody watch themselves, so
    that each part of a partition has watchers.

    Parameters
    ----------
    cluster : Cluster
        Who is there, and how old the confirmed rules are.

    Attributes
    ----------
    told_at : float
        Monotonic time in seconds at which another daemon told this one of the others;
        minus infinity if it asked the store itself.
    is_ready : bool
        Whether this daemon knows by now where the others are to be found.
    """

    cluster: Cluster
    joined_at: float = -math.inf
    is_ready: bool = False
    _since: float = attrs.field(factory=lambda: time.monotonic())
    _looked_at: float = -math.inf
    _was_mine: bool = False

    def is_active(self) -> bool:
        """Tell whether to watch now."""
        now = time.monotonic()
        if now >= self._looked_at + CHECK_S:
            self._looked_at = now
            self._was_mine = self.is_active_at(now)
        return self._was_mine

    def is_active_at(self, now: float) -> bool:
        """Tell whether to watch at a monotonic time in seconds."""
        if not self.is_ready or now < self.joined_at + SETTLE_S:
            return False
        if self.joined_at == -math.inf and now < self._since + STAY * SETTLE_S:
            # Those that rank before it may have started with it, and not watch yet.
            return True
        membership = self.cluster.membership
        candidates = membership.own_zone_names()[:CANDIDATES]
        notes = self.cluster.notes
        served = [n for n in candidates if not notes.is_in_effect(n, NO_STORE, now)]
        # With the store away for all, the first go on trying.
        return membership.me.name in (served or candidates)[: self._watchers(now)]

    def _watchers(self, now):
        """Give how many of the zone watch, more while nothing is confirmed."""
        zones = {member.zone for member in self.cluster.membership.live()}
        usual = math.ceil(WATCHERS / max(1, len(zones)))
        age = min(self.cluster.confirmation.age(now), now - self._since)
        if age < LATE_S:
            return usual
        return usual + 1 + int((age - LATE_S) / LATER_S)

    def report_store_failure(self) -> bool:
        """Tell the others that the store gave no answer; give back if that is new."""
        name = self.cluster.membership.me.name
        return self.cluster.post(Note(name, NO_STORE, REFUSED_S))
