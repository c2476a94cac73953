"""Selection of the daemons that watch the platform's store for their zone."""

import math
import time

import attrs

from cairnferry.coordination import Note
from cairnferry.entry.members._cluster import Cluster

# Watchers over all zones. A change that one watcher misses is reported by another:
# updates, and the loss of a watcher, reach the other zones within about 0.5 s.
WATCHERS = 3
# Daemons of a zone that may become watchers. All of them call the store when an outage
# ends. With too few candidates, the store might refuse all of them although it serves
# other daemons.
CANDIDATES = 6
# Age in seconds of the last confirmation of the rules, by any daemon, from which one
# more daemon of the zone watches. A watcher's call waits up to 8 s for changes and
# confirms the rules only when it ends.
UNCONFIRMED_S = 9.0
# Further seconds without a confirmation after which each additional daemon watches.
ESCALATION_S = 1.0
# Seconds for which a daemon whose call to the store failed leaves watching to others.
# During a complete outage each candidate in turn calls the store about this often.
STORE_FAILURE_S = 6.0
# Seconds for which a decision is cached, as several followers request it.
CHECK_S = 0.1
# Source of the note that the store did not answer a daemon.
STORE_UNREACHABLE = "no-store"
# Seconds after a daemon has joined through another one for which it leaves watching to
# others. It has received no heartbeat yet, so that it would consider itself alone.
SETTLE_S = 2.0
# Multiple of `SETTLE_S` for which a daemon that read the member list from the store
# itself watches in any case.
FIRST_SETTLE_FACTOR = 1.5


@attrs.define
class WatcherRole:
    """Decides whether this daemon watches the store for its zone.

    The rank among the live daemons of the zone decides. No lease is needed, as a
    redundant watcher costs some calls and does no harm. A daemon that sees no other
    daemon is a watcher, so that each side of a partition has watchers.

    Parameters
    ----------
    cluster : Cluster
        Members, and the age of the confirmed rules.

    Attributes
    ----------
    joined_at : float
        Monotonic time in seconds at which this daemon got the member list from another
        daemon; minus infinity if it read the list from the store itself.
    is_ready : bool
        Whether the addresses of the other daemons are known.
    """

    cluster: Cluster
    joined_at: float = -math.inf
    is_ready: bool = False
    _started_at: float = attrs.field(factory=lambda: time.monotonic())
    _checked_at: float = -math.inf
    _was_active: bool = False

    def is_active(self) -> bool:
        """Return whether to watch now."""
        now = time.monotonic()
        if now >= self._checked_at + CHECK_S:
            self._checked_at = now
            self._was_active = self.is_active_at(now)
        return self._was_active

    def is_active_at(self, now: float) -> bool:
        """Return whether to watch at a monotonic time in seconds."""
        if not self.is_ready or now < self.joined_at + SETTLE_S:
            return False
        if (
            self.joined_at == -math.inf
            and now < self._started_at + FIRST_SETTLE_FACTOR * SETTLE_S
        ):
            # Daemons of a higher rank may have just started and not watch yet.
            return True
        membership = self.cluster.membership
        candidates = membership.own_zone_names()[:CANDIDATES]
        notes = self.cluster.notes
        available = [
            n for n in candidates if not notes.is_in_effect(n, STORE_UNREACHABLE, now)
        ]
        # If the store is unreachable for all candidates, the first ones keep trying.
        return membership.me.name in (available or candidates)[: self._watchers(now)]

    def _watchers(self, now):
        """Return the number of watchers in the zone; it grows without confirmations."""
        zones = {member.zone for member in self.cluster.membership.live()}
        usual = math.ceil(WATCHERS / max(1, len(zones)))
        age = min(self.cluster.confirmation.age(now), now - self._started_at)
        if age < UNCONFIRMED_S:
            return usual
        return usual + 1 + int((age - UNCONFIRMED_S) / ESCALATION_S)

    def report_store_failure(self) -> bool:
        """Post a note that the store did not answer; return whether the note is new."""
        name = self.cluster.membership.me.name
        return self.cluster.post(Note(name, STORE_UNREACHABLE, STORE_FAILURE_S))

    def is_store_doubted(self) -> bool:
        """Return whether another daemon has reported that the store did not answer."""
        me = self.cluster.membership.me.name
        notes = self.cluster.notes.active_notes(time.monotonic())
        return any(
            note.source == STORE_UNREACHABLE and note.subject != me for note in notes
        )
