"""Drives the decisions of many daemons on limits of workspaces, without a network.

The owners, the search for them, the reachability of zones and the buckets are those of
the product. This module delivers their messages with a delay and changes their views of
the members some time after daemons are lost or return.
"""

import bisect
import heapq
import itertools
import random
from collections import Counter, defaultdict

import attrs

from cairnferry.coordination import Member, MemberState, lowest_ranked
from cairnferry.entry.members import PermitIssuers
from cairnferry.entry.members._cluster import ListedInstance
from cairnferry.entry.workspaces import TokenOwner, WorkspaceRegistry
from cairnferry.entry.workspaces._owner_search import OwnerSearch, Reachability
from cairnferry.peers import TokenQuery
from cairnferry.policy import FallbackBucket, LimitTolerance, WorkspaceLimit

PATIENCE_S = 0.35
ZONES = ("z1", "z2", "z3")
NEAR_S = 0.0002
FAR_S = 0.0014
# Members of a zone that other zones know.
REPRESENTATIVES = 8
TOLERANCE = LimitTolerance()


def bound(rate, burst, tolerance=TOLERANCE):
    """Return the maximum number of requests in a window."""
    return (rate * tolerance.window_s + burst) * (1 + tolerance.over) + tolerance.slack


def fullest_window(times, seconds=TOLERANCE.window_s):
    """Return the maximum number of times in any window of this length."""
    times = sorted(times)
    return max(
        (
            i + 1 - bisect.bisect_right(times, at - seconds)
            for i, at in enumerate(times)
        ),
        default=0,
    )


@attrs.define
class View:
    """One daemon's members: its zone, and representatives of the others."""

    me: Member
    world: "World"
    alive: set[str] = attrs.field(factory=set)
    known: set[str] = attrs.field(factory=set)
    version: int = 0

    def live(self):
        return [self.world.members[name] for name in sorted(self.alive)]

    def own_zone_names(self):
        members = self.world.members
        names = [n for n in self.alive if members[n].zone == self.me.zone]
        return lowest_ranked("representative", names, len(names))

    def get(self, name):
        if name in self.alive:
            return self.world.members[name]
        if name in self.known:
            return attrs.evolve(self.world.members[name], state=MemberState.GONE)
        return None


@attrs.define
class ClusterView:
    membership: View
    listed: dict
    reported_instances: int = 0


class Daemon:
    """The parts of one daemon that decide on limits."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.view = View(world.members[name], world, {name})
        self.cluster = ClusterView(self.view, world.listed)
        self.is_up = True
        self.frozen_until = None
        self.held = []
        self.ticks = 0
        self.answered_at = self.answered_far_at = -1.0
        self.issuers = PermitIssuers(self.cluster, world.clock)
        self.owner = TokenOwner(
            self.issuers,
            WorkspaceRegistry(),
            lambda: 0,
            TOLERANCE,
            lambda: (self.answered_at, self.answered_far_at),
            self.check,
            0.5,
            lambda: (world.now, world.now),
        )
        self.reachability = Reachability()
        self.fallbacks = defaultdict(lambda: FallbackBucket(TOLERANCE))
        self.returned = Counter()
        self.called = set()
        world.after(world.rng.random() * 0.1, self.tick)
        world.after(world.rng.random() * 0.5, self.heartbeat)

    def run(self, function, *args):
        """Call a function in this daemon, once it runs again."""
        if not self.is_up:
            return
        if self.frozen_until is not None:
            self.held.append((function, args))
            return
        function(*args)

    def thaw(self):
        self.frozen_until = None
        held, self.held = self.held, []
        for function, args in held:
            self.run(function, *args)

    def tick(self):
        self.ticks += 1
        self.owner.note_time() if self.ticks % 10 else self.owner.observe()
        self.world.after(0.1, self.run, self.tick)

    def heartbeat(self):
        """Note that random members answer, if they do."""
        mates = self.view.own_zone_names()
        others = [name for name in self.view.alive if name not in mates]
        mates = [name for name in mates if name != self.name]
        for names, is_near in ((mates, True), (mates, True), (others, False)):
            if names and self.world.connected(self.name, self.world.rng.choice(names)):
                now = self.world.now
                self.world.after(2 * FAR_S, self.run, self.note_answer, now, is_near)
        self.world.after(0.5, self.run, self.heartbeat)

    def note_answer(self, started, is_near):
        if is_near:
            self.answered_at = max(self.answered_at, started)
        else:
            self.answered_far_at = max(self.answered_far_at, started)

    def check(self, name):
        """Call a member at once, and note its loss."""
        if not self.world.connected(self.name, name):
            takes = 2 * NEAR_S if not self.world.daemons[name].is_up else 0.8
            self.world.after(takes, self.run, self.note_loss, name)

    def note_loss(self, name):
        if not self.world.connected(self.name, name):
            self.view.alive.discard(name)
            self.view.version += 1
            # A member that is wrongly suspected refutes this.
            delay = self.world.rng.uniform(0.3, 1.5)
            self.world.after(delay, self.run, self.world.learn, self, name)

    # -- requests ----------------------------------------------------------------

    def request(self, workspace, rank=0, max_wait_s=0.2):
        """Decide on a request that arrives here."""
        Request(self, workspace, rank, max_wait_s).ask(None)

    def fall_back(self, workspace):
        names = sorted({*self.cluster.listed, self.name})
        return self.fallbacks[workspace].admit(
            self.world.limits[workspace],
            len(names),
            names.index(self.name) / len(names),
            self.world.now,
            self.world.now,
        )


class Request:
    """One request that looks for a token."""

    def __init__(self, daemon, workspace, rank, max_wait_s):
        self.daemon, self.world = daemon, daemon.world
        self.workspace, self.rank, self.max_wait_s = workspace, rank, max_wait_s
        self.search = OwnerSearch(daemon.issuers, daemon.name, workspace)
        self.pending = None

    def ask(self, reply):
        name = self.search.next(reply)
        if name is None:
            self.world.conclude(self, None, self.daemon.fall_back(self.workspace))
        elif name == self.daemon.name:
            self.take(self.daemon.owner.grant(name, [self.query()])[0])
        else:
            self.call(self.world.daemons[name])

    def query(self):
        limit = self.world.limits[self.workspace]
        returned = self.daemon.returned.pop(self.workspace, 0)
        return TokenQuery(
            self.workspace,
            self.rank,
            1,
            returned,
            self.max_wait_s,
            limit.revision,
            limit.rate_per_s,
            limit.burst,
        )

    def call(self, peer):
        daemon, world = self.daemon, self.world
        if not daemon.reachability.may_call(peer.zone, world.now):
            self.ask(None)
            return
        self.pending = token = object()
        # A daemon combines the queries to one peer while a call is under way.
        world.calls += peer.name not in daemon.called
        daemon.called.add(peer.name)
        query = self.query()
        world.after(PATIENCE_S, daemon.run, self.give_up, peer, token)
        if not peer.is_up:
            world.after(2 * NEAR_S, daemon.run, self.give_up, peer, token)
        elif world.connected(daemon.name, peer.name, ignore_freeze=True):
            delay = world.delay(daemon, peer)
            world.after(delay, peer.run, self.answer, peer, query, token)

    def answer(self, peer, query, token):
        reply = peer.owner.grant(self.daemon.name, [query])[0]
        if self.world.connected(peer.name, self.daemon.name):
            delay = self.world.delay(self.daemon, peer)
            self.world.after(delay, self.daemon.run, self.receive, peer, reply, token)

    def receive(self, peer, reply, token):
        self.daemon.called.discard(peer.name)
        self.daemon.reachability.note_answer(peer.zone)
        if self.pending is token:
            self.pending = None
            self.take(reply)
        else:
            self.daemon.returned[self.workspace] += len(reply.delays)

    def give_up(self, peer, token):
        if self.pending is not token:
            return
        self.daemon.called.discard(peer.name)
        self.pending = None
        if not self.daemon.issuers.is_unresponsive(peer.name):
            self.daemon.issuers.mark_unresponsive(peer.name)
            self.daemon.reachability.note_failure(peer.zone, self.world.now)
        self.ask(None)

    def take(self, reply):
        if reply.is_ready:
            self.world.conclude(self, reply, bool(reply.delays))
        else:
            self.ask(reply)


class World:
    """Daemons, their messages, the workspaces and what ran.

    Parameters
    ----------
    count : int
        Number of daemons.
    limits : dict of str to (float, float)
        Rate and burst of each workspace.
    seed : int
        Seed of all randomness.
    """

    def __init__(self, count, limits, seed=1, settled=True):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.events = []
        self.sequence = itertools.count()
        self.limits = {
            name: WorkspaceLimit(1, rate, burst)
            for name, (rate, burst) in limits.items()
        }
        self.groups = {}
        self.loss = 0.0
        self.lateness = 0.0
        self.unrun = None
        self.calls = 0
        self.runs = defaultdict(list)
        self.outcomes = defaultdict(Counter)
        self.log = []
        names = {f"d{n}": ZONES[n % len(ZONES)] for n in range(count)}
        self.members = {
            name: Member(name, zone, f"{name}:1", f"{name}:2", 1, MemberState.ALIVE)
            for name, zone in names.items()
        }
        self.listed = {
            name: ListedInstance(zone, False, f"{name}:1")
            for name, zone in names.items()
        }
        self.daemons = {}
        for name, zone in names.items():
            self.daemons[name] = Daemon(self, name, zone)
        if settled:
            for daemon in self.daemons.values():
                daemon.view.alive = self.known_to(daemon)
                daemon.view.known = self.known_to(daemon)
                daemon.view.version += 1
            self.run_for(8.0)

    # -- time --------------------------------------------------------------------

    def clock(self):
        return self.now

    def after(self, delay, function, *args):
        event = (self.now + delay, next(self.sequence), function, args)
        heapq.heappush(self.events, event)

    def run_for(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until

    # -- network -----------------------------------------------------------------

    def known_to(self, daemon):
        """Return the names of the members that a daemon reaches and comes to know."""
        reached = [name for name in self.members if self._is_reached(daemon.name, name)]
        known = set()
        for zone in ZONES:
            names = [name for name in reached if self.members[name].zone == zone]
            if zone != daemon.zone:
                names = lowest_ranked("representative", names, REPRESENTATIVES)
            known.update(names)
        return known

    def connected(self, one, other, ignore_freeze=False):
        """Return whether a message between two daemons arrives."""
        daemons = (self.daemons[one], self.daemons[other])
        if not all(daemon.is_up for daemon in daemons):
            return False
        if not ignore_freeze and any(d.frozen_until is not None for d in daemons):
            return False
        if self.groups.get(one) != self.groups.get(other):
            return False
        return self.rng.random() >= self.loss

    def delay(self, one, other):
        base = NEAR_S if one.zone == other.zone else FAR_S
        return base + self.rng.random() * self.lateness

    def update_views(self, near=(0.8, 3.0), far=(1.0, 8.0)):
        """Let each daemon learn after a while which members it reaches."""
        for daemon in self.daemons.values():
            if daemon.is_up:
                for name in sorted(daemon.view.known | self.known_to(daemon)):
                    low, high = near if self.members[name].zone == daemon.zone else far
                    delay = self.rng.uniform(low, high)
                    self.after(delay, daemon.run, self.learn, daemon, name)

    def learn(self, daemon, name):
        """Let a daemon learn whether it reaches a member."""
        daemon.view.known.add(name)
        daemon.view.version += 1
        is_reached = name == daemon.name or self._is_reached(daemon.name, name)
        (daemon.view.alive.add if is_reached else daemon.view.alive.discard)(name)

    def _is_reached(self, one, other):
        peer = self.daemons[other]
        is_running = peer.is_up and peer.frozen_until is None
        return is_running and self.groups.get(one) == self.groups.get(other)

    # -- faults ------------------------------------------------------------------

    def owner_name(self, workspace):
        """Return the owner in the view of most daemons."""
        owners = Counter(
            daemon.issuers.owner_of(workspace)
            for daemon in self.daemons.values()
            if daemon.is_up
        )
        return owners.most_common(1)[0][0]

    def kill(self, name):
        self.daemons[name].is_up = False
        self.update_views((0.1, 1.5), (0.5, 5.0))

    def start(self, name):
        self.daemons[name] = Daemon(self, name, self.members[name].zone)
        self.update_views((0.05, 2.0), (0.3, 3.0))

    def freeze(self, name, seconds):
        daemon = self.daemons[name]
        daemon.frozen_until = self.now + seconds
        self.after(seconds, daemon.thaw)
        self.update_views((0.8, 1.5), (0.8, 5.0))
        self.after(seconds, self.update_views, (0.02, 1.0), (0.3, 3.0))

    def partition(self, groups):
        """Separate groups of daemons; those in none remain connected."""
        self.groups = {name: n + 1 for n, group in enumerate(groups) for name in group}
        self.update_views()

    def heal(self):
        self.groups = {}
        self.update_views((0.3, 2.0), (0.5, 3.0))

    def set_limit(self, workspace, rate, burst):
        revision = self.limits[workspace].revision + 1
        self.limits[workspace] = WorkspaceLimit(revision, rate, burst)

    # -- demand ------------------------------------------------------------------

    def demand(self, workspace, per_s, seconds, ranks=(0,), daemons=None):
        """Let requests arrive at random daemons, as a Poisson process."""
        until = self.now + seconds
        names = daemons or list(self.daemons)

        def arrive():
            if self.now >= until:
                return
            daemon = self.daemons[self.rng.choice(names)]
            if daemon.is_up:
                daemon.run(daemon.request, workspace, self.rng.choice(ranks))
            self.after(self.rng.expovariate(per_s), arrive)

        self.after(self.rng.expovariate(per_s), arrive)

    def conclude(self, request, reply, may_run):
        """Record the decision on a request."""
        workspace = request.workspace
        kind = "fallback" if reply is None else "owner"
        outcome = "run" if may_run else "refused"
        self.outcomes[workspace][f"{outcome} {kind}"] += 1
        delay = reply.delays[0] if reply and reply.delays else 0.0
        retry_at = self.now + reply.retry_s if reply and not may_run else None
        self.log.append((self.now, workspace, request.rank, may_run, kind, retry_at))
        if not may_run:
            return
        held_s = self.unrun(self.rng) if self.unrun else None
        if held_s is None:
            self.runs[workspace].append(self.now + delay)
        elif reply is not None:
            self.after(delay + held_s, self.give_back, request)

    def give_back(self, request):
        request.daemon.returned[request.workspace] += 1

    def share_refused(self, workspace, since=0.0):
        made = [
            run
            for at, name, _, run, _, _ in self.log
            if name == workspace and at >= since
        ]
        return made.count(False) / len(made)
