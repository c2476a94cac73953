"""Owner side of the limits of workspaces: grants tokens to all daemons."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from cairnferry.entry.members import PermitIssuers
from cairnferry.entry.workspaces._registry import WorkspaceRegistry
from cairnferry.peers import TokenQuery, TokenReply
from cairnferry.policy import LimitTolerance, WorkspaceBucket, WorkspaceLimit

# Seconds for which the process may stand still before its buckets are emptied. Daemons
# that get no answer consider their peer lost after longer.
STANDSTILL_S = 0.25
# The same while no bucket is in use; the clock is then read less often.
IDLE_STANDSTILL_S = 1.5
# Seconds between two readings of the clock while buckets are in use.
TICK_S = 0.1
# Seconds until a new owner's buckets accrue tokens. Within this time after a start or
# a loss, other daemons may still ask the previous owner.
TAKE_OVER_S = 1.0
# Share of the known members that are lost within a window from which a partition is
# assumed.
PARTITION_SHARE = 0.15
# Seconds until a larger part of the limit is granted, after daemons were found again.
# An owner that was cut off with them may still grant their part.
RAISE_DELAY_S = 2.0
# Seconds after which an unused bucket is dropped. A bucket is full again by then,
# unless its burst is larger than its rate in this time.
UNUSED_S = 60.0
# Rounds of heartbeats without an answer from the own zone, after which this daemon may
# be cut off. It calls some daemons of its zone in each round.
ROUNDS_ANSWERED = 3.2
# The same for all zones, if this daemon is the last of its zone. It calls one daemon of
# another zone in each round.
FAR_ROUNDS_ANSWERED = 6.2
# Minimum seconds between two checks of a daemon that others did not reach.
CHECK_INTERVAL_S = 0.5

log = logging.getLogger(__name__)


def read_clocks() -> tuple[float, float]:
    """Return monotonic seconds without and with the time of a suspended machine."""
    return time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class OwnedWorkspace:
    """A workspace whose requests this daemon counts.

    Attributes
    ----------
    bucket : WorkspaceBucket
        Tokens of the part of the limit that is granted here.
    limit : WorkspaceLimit
        The whole limit, by the newest rules of any asker.
    since : float
        Monotonic time in seconds at which the bucket was created.
    used_at : float
        Monotonic time in seconds of the last query.
    """

    bucket: WorkspaceBucket
    limit: WorkspaceLimit
    since: float
    used_at: float


@attrs.define
class TokenOwner:
    """Grants the tokens of the workspaces that this daemon owns.

    Parameters
    ----------
    issuers : PermitIssuers
        Determines the owner of a workspace.
    registry : WorkspaceRegistry
        Workspaces by the rules in force here.
    revision : callable
        Returns the revision of these rules.
    tolerance : LimitTolerance
        Tolerance of the limits.
    answered_at : callable
        Returns the times at which the latest calls began that a daemon of the own zone,
        and of another zone, answered.
    check_member : callable
        Calls a member that others did not reach.
    round_s : float, optional
        Seconds between two rounds of heartbeats.
    clocks : callable, optional
        Returns monotonic seconds without and with the time of a suspended machine.
    """

    issuers: PermitIssuers
    registry: WorkspaceRegistry
    revision: Callable[[], int]
    tolerance: LimitTolerance
    answered_at: Callable[[], tuple[float, float]]
    check_member: Callable[[str], None]
    round_s: float = 0.5
    clocks: Callable[[], tuple[float, float]] = read_clocks
    owned: dict[str, OwnedWorkspace] = attrs.field(factory=dict)
    _is_used: Event = attrs.field(factory=Event)
    _seen: tuple[float, float] = attrs.field(init=False)
    _view: tuple = ()
    _alive: set[str] = attrs.field(factory=set)
    _lost: dict[str, float] = attrs.field(factory=dict)
    _names: set[str] = attrs.field(factory=set)
    _zones: set[str] = attrs.field(factory=set)
    _since: float = attrs.field(init=False)
    _zones_since: float = -math.inf
    _partition_at: float = -math.inf
    _share: float = 0.0
    _raise_at: float | None = None
    _unconfirmed_since: float = -math.inf
    _checked: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._seen = self.clocks()
        self._since = self._seen[0]

    # -- time and members --------------------------------------------------------------

    def run(self) -> None:
        """Watch for a standstill of the process while buckets are in use, forever."""
        while True:
            self._is_used.wait()
            self.note_time()
            gevent.sleep(TICK_S)

    def observe(self) -> float:
        """Apply what happened since the last call; return the monotonic time."""
        now = self.note_time()
        self._note_members(now)
        self._update_share(now)
        self._drop_unused(now)
        return now

    def note_time(self) -> float:
        """Notice a standstill of the process; return the monotonic time."""
        seen = self.clocks()
        elapsed = max(new - old for new, old in zip(seen, self._seen, strict=True))
        self._seen = seen
        now = seen[0]
        if elapsed > (STANDSTILL_S if self.owned else IDLE_STANDSTILL_S):
            self._note_standstill(elapsed, now)
        return now

    def _note_standstill(self, elapsed, now):
        """Grant nothing until a peer confirms that this daemon is still a member."""
        self._unconfirmed_since = self._since = now
        for owned in self.owned.values():
            owned.bucket.restart(now)
        if self.owned:
            extra = {"stood_ms": round(elapsed * 1000), "workspaces": len(self.owned)}
            log.info("process stood still, limits of workspaces restarted", extra=extra)

    def _note_members(self, now):
        view = self.issuers.view()
        if view == self._view:
            return
        self._view = view
        membership = self.issuers.cluster.membership
        alive = {member.name for member in membership.live()}
        zones = self.issuers.live_zones()
        if alive == self._alive and zones == self._zones:
            return
        self._note_losses(self._alive - alive, len(alive), now)
        self._alive = alive
        names = set(membership.own_zone_names())
        if self._zones - zones:
            self._zones_since = now
        if self._names - names or self._zones - zones:
            self._since = now
        self._names, self._zones = names, zones
        self.owned = {
            name: owned for name, owned in self.owned.items() if self._is_owner(name)
        }

    def _note_losses(self, lost, alive_count, now):
        """Notice a partition: many members are lost within one window."""
        since = now - self.tolerance.window_s
        recent = {name: at for name, at in self._lost.items() if at > since}
        self._lost = recent | dict.fromkeys(lost, now)
        known = alive_count + len(self._lost)
        if lost and len(self._lost) >= max(2, PARTITION_SHARE * known):
            self._partition_at = now
            self._hold_new_buckets(now)

    def _hold_new_buckets(self, now):
        """Stop buckets that were created when the first members were lost."""
        window_s = self.tolerance.window_s
        for owned in self.owned.values():
            if owned.since > now - window_s:
                owned.since = now
                owned.bucket.hold(now + window_s, now)

    def _update_share(self, now):
        share = self.issuers.share_of_all()
        if share <= self._share or not self._share:
            self._share, self._raise_at = share, None
        elif self._raise_at is None:
            self._raise_at = now + RAISE_DELAY_S
        elif now >= self._raise_at:
            self._share, self._raise_at = share, None

    def _drop_unused(self, now):
        unused = [
            n for n, owned in self.owned.items() if owned.used_at < now - UNUSED_S
        ]
        for name in unused:
            del self.owned[name]
        if not self.owned:
            self._is_used.clear()

    def _is_owner(self, workspace):
        own_name = self.issuers.cluster.membership.me.name
        return self.issuers.owner_of(workspace) == own_name

    # -- queries -----------------------------------------------------------------------

    def grant(self, requester: str, queries: list[TokenQuery]) -> list[TokenReply]:
        """Answer the queries of a daemon.

        Parameters
        ----------
        requester : str
            Name of the daemon.
        queries : list of TokenQuery
            One query for each request.
        """
        now = self.observe()
        return [self._grant_one(query, now) for query in queries]

    def _grant_one(self, query, now):
        owner = self.issuers.owner_of(query.workspace)
        if owner != self.issuers.cluster.membership.me.name:
            self._check(owner, now)
            return TokenReply(owner=owner or "")
        if not self._may_grant(now):
            return TokenReply()
        limit = self._newest_limit(query)
        if not limit.rate_per_s:
            self.owned.pop(query.workspace, None)
            return TokenReply((0.0,) * query.count, capacity=0.0)
        bucket = self._bucket(query.workspace, limit, now)
        bucket.take_back(query.returned, now)
        grant = bucket.grant(query.rank, query.count, query.max_wait_s, now)
        return TokenReply(
            grant.delays, grant.retry_s, "", bucket.level, bucket.capacity
        )

    def _check(self, owner, now):
        """Check the owner, as a daemon that asks another one may not have reached it.

        Otherwise the zone would detect its loss only when a heartbeat happens to go
        to it.
        """
        if owner not in self._names:
            return
        if now - self._checked.get(owner, -math.inf) < CHECK_INTERVAL_S:
            return
        since = now - CHECK_INTERVAL_S
        self._checked = {n: at for n, at in self._checked.items() if at > since}
        self._checked[owner] = now
        self.check_member(owner)

    def _may_grant(self, now):
        """Return whether this daemon is certain to be connected to the others.

        A daemon that is cut off becomes the owner in its own view while it loses one
        peer after the other.
        """
        if self.issuers.is_alone():
            return False
        near, far = self.answered_at()
        if len(self._names) > 1:
            since = max(now - ROUNDS_ANSWERED * self.round_s, self._unconfirmed_since)
            return near > since
        if len(self._zones) > 1:
            since = max(
                now - FAR_ROUNDS_ANSWERED * self.round_s, self._unconfirmed_since
            )
            return max(near, far) > since
        return True

    def _newest_limit(self, query):
        newest = WorkspaceLimit(query.revision, query.rate_per_s, query.burst)
        owned = self.owned.get(query.workspace)
        if owned is not None and owned.limit.revision > newest.revision:
            newest = owned.limit
        revision = self.revision()
        workspace = self.registry.get(query.workspace)
        if workspace is not None and revision > newest.revision:
            newest = WorkspaceLimit(revision, workspace.rate_per_s, workspace.burst)
        return newest

    def _bucket(self, workspace, limit, now):
        part = limit.scaled(self._share)
        owned = self.owned.get(workspace)
        if owned is None:
            since = self._accrues_from(workspace)
            bucket = WorkspaceBucket.begin(self.tolerance, part, since, now)
            owned = self.owned[workspace] = OwnedWorkspace(bucket, limit, now, now)
            self._is_used.set()
        owned.limit = limit
        owned.used_at = now
        owned.bucket.set_limit(part, now)
        return owned.bucket

    def _accrues_from(self, workspace):
        """Return the time from which a new bucket accrues tokens.

        Many members, or all of a zone, may be cut off rather than lost. The owner among
        them grants the whole limit until it has noticed the cut as well.
        """
        window_s = self.tolerance.window_s
        since = max(self._since + TAKE_OVER_S, self._partition_at + window_s)
        listed = {each.zone for each in self.issuers.cluster.listed.values()}
        if self.issuers.is_first_zone(workspace, listed):
            return since
        return max(since, self._zones_since + window_s)
