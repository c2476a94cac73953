"""Gossip membership with direct heartbeats and incarnation numbers.

In each round a member sends heartbeats to a constant number of other members. Updates
on the state of members are piggybacked on these heartbeats, each update a limited
number of times. The cost per member therefore does not depend on the size of the group.

A group is an availability zone. Members hold the complete membership of their own zone
and a few representatives of each other zone. If all 312 members of an installation
held each other's state, they would send 312 times 312 updates at a start.
"""

import enum
import math
import random
from collections.abc import Callable

import attrs

from cairnferry.coordination._rendezvous import lowest_ranked

# Number of sends of an update, per doubling of the number of members.
GOSSIP_FACTOR = 3
# Maximum number of updates in one message.
MAX_UPDATES = 12
# Number of members of a zone that other zones hold: all members of a small zone, and
# enough of a large one that some remain when most of them are lost.
REPRESENTATIVES = 8
# Key of the rendezvous ranks that assign work which only some members of a zone do.
RANK_KEY = "representative"


class MemberState(enum.IntEnum):
    """State of a member; at the same incarnation, the higher state takes precedence."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    GONE = 3


@attrs.frozen
class Member:
    """State of one daemon as seen by another.

    Attributes
    ----------
    name : str
        Instance name.
    zone : str
        Availability zone.
    peer_address : str
        "IP:port" for connections from other daemons.
    caller_address : str
        "IP:port" for connections from callers.
    incarnation : int
        Incremented only by the member itself, at a start and to refute a suspicion.
    state : MemberState
        State of the member.
    """

    name: str
    zone: str
    peer_address: str
    caller_address: str
    incarnation: int
    state: MemberState

    def supersedes(self, other: "Member") -> bool:
        """Return whether this is a later state than `other` of the same member."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@attrs.frozen
class MembershipTimes:
    """Timeouts in seconds.

    Attributes
    ----------
    suspicion : float
        Time after which a suspected member is considered gone.
    retention : float
        Time for which a gone member is remembered, so that old updates cannot revive
        it.
    """

    suspicion: float = 4.0
    retention: float = 120.0


@attrs.define
class Membership:
    """One daemon's view of all members.

    Parameters
    ----------
    me : Member
        This daemon.
    rng : random.Random
        Random source for the order of calls.
    times : MembershipTimes
        Timeouts.
    on_change : callable, optional
        Called with the previous state of a member, or None, and its new state.

    Attributes
    ----------
    version : int
        Number of changes so far of the members and their states.
    """

    me: Member
    rng: random.Random
    times: MembershipTimes = MembershipTimes()
    on_change: Callable[[Member | None, Member], None] | None = None
    version: int = 0
    _members: dict[str, Member] = attrs.field(factory=dict)
    _changed_at: dict[str, float] = attrs.field(factory=dict)
    _sends_left: dict[str, int] = attrs.field(factory=dict)
    _call_order: list[str] = attrs.field(factory=list)

    def merge(self, member: Member, now: float) -> bool:
        """Apply an update; return whether it was newer than the state held.

        Notes
        -----
        An update that calls this daemon itself suspected or gone is refuted with a
        higher incarnation. A paused instance that resumes is therefore accepted again,
        and its outdated view cannot revert updates on other members.
        """
        if member.name == self.me.name:
            return self._refute(member)
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            if known.supersedes(member):
                # The sender may be the member itself, after a partition. The update
                # on its departure is no longer gossiped by then. Without receiving
                # it again, the member cannot refute it and stays excluded for good.
                self._schedule_sends(member.name)
            return False
        if known is None and member.state is MemberState.GONE:
            return False
        self._store(member, now)
        return True

    def _refute(self, member):
        if member.incarnation < self.me.incarnation:
            return False
        if member.state <= self.me.state and member.incarnation == self.me.incarnation:
            return False
        self.me = attrs.evolve(self.me, incarnation=member.incarnation + 1)
        self._schedule_sends(self.me.name)
        return True

    def _store(self, member, now):
        before = self._members.get(member.name)
        self.version += 1
        self._members[member.name] = member
        self._changed_at[member.name] = now
        self._schedule_sends(member.name)
        if self.on_change is not None:
            self.on_change(before, member)

    def _schedule_sends(self, name):
        self._sends_left[name] = GOSSIP_FACTOR * math.ceil(
            math.log2(len(self._members) + 2)
        )

    def leave(self) -> None:
        """Announce that this daemon accepts no new callers."""
        self.me = attrs.evolve(self.me, state=MemberState.LEAVING)
        self.version += 1
        self._schedule_sends(self.me.name)

    def suspect(self, name: str, now: float) -> None:
        """Record that a call to a member failed."""
        known = self._members.get(name)
        if known is not None and known.state is MemberState.ALIVE:
            self._store(attrs.evolve(known, state=MemberState.SUSPECTED), now)
        elif known is not None and known.state is MemberState.LEAVING:
            self._store(attrs.evolve(known, state=MemberState.GONE), now)

    def apply_timeouts(self, now: float) -> None:
        """Mark suspected members as gone and forget gone ones after their timeouts."""
        for name, member in list(self._members.items()):
            age = now - self._changed_at[name]
            if member.state is MemberState.SUSPECTED and age >= self.times.suspicion:
                self._store(attrs.evolve(member, state=MemberState.GONE), now)
            elif member.state is MemberState.GONE and age >= self.times.retention:
                del self._members[name]
                self.version += 1
                del self._changed_at[name]
                self._sends_left.pop(name, None)

    def next_peers(self, count: int) -> list[Member]:
        """Return the members of the own zone to call in this round.

        Notes
        -----
        Members are called in a random order that is shuffled again after each pass.
        Each member is called once before any is called twice, so the longest time
        without a call is bounded.
        """
        chosen = []
        eligible_names = {
            m.name
            for m in self.others()
            if m.state < MemberState.GONE and m.zone == self.me.zone
        }
        for _ in range(min(count, len(eligible_names))):
            chosen.append(self._next_name(eligible_names, chosen))
        return [self._members[name] for name in chosen]

    def _next_name(self, eligible_names, chosen):
        while True:
            while self._call_order:
                name = self._call_order.pop()
                if name in eligible_names and name not in chosen:
                    return name
            self._call_order = sorted(eligible_names)
            self.rng.shuffle(self._call_order)

    def next_cross_zone_peer(self) -> Member | None:
        """Return a random member of another zone to call; None if none is known."""
        candidates = [
            m
            for m in self._members.values()
            if m.zone != self.me.zone and m.state < MemberState.GONE
        ]
        return self.rng.choice(candidates) if candidates else None

    def own_zone_names(self) -> list[str]:
        """List the names of the live members of the own zone, by rank.

        Work that only some members of a zone do is assigned to the first of them.
        While an update spreads, members disagree on this list, and for a short time too
        many or too few members do the work.
        """
        names = [m.name for m in self.live() if m.zone == self.me.zone]
        return lowest_ranked(RANK_KEY, names, len(names))

    def updates_for(self, zone: str) -> list[Member]:
        """Return the updates to send to a member of a zone.

        A member of another zone receives all own representatives each time, including
        gone ones while they are remembered, so that no record is needed of what each
        zone has received. It also receives updates on members of its own zone that are
        not considered alive here: a member that is wrongly considered gone has no other
        way to receive that update and refute it.
        """
        if zone == self.me.zone:
            return self.pending_updates()
        not_alive = [
            name
            for name in self._sends_left
            if name != self.me.name
            and self._members[name].zone == zone
            and self._members[name].state is not MemberState.ALIVE
        ]
        return [*self._representatives(), *self._next_updates(not_alive)]

    def _representatives(self):
        not_alive = [
            m.name
            for m in self._members.values()
            if m.zone == self.me.zone and m.state is not MemberState.ALIVE
        ]
        # The members of lowest rank are those that other zones hold.
        not_alive = lowest_ranked(RANK_KEY, not_alive, REPRESENTATIVES)
        return [
            self.get(name)
            for name in self.own_zone_names()[:REPRESENTATIVES] + not_alive
        ]

    def pending_updates(self) -> list[Member]:
        """Return the updates that still have to be gossiped, the newest first."""
        return self._next_updates(self._sends_left)

    def _next_updates(self, names):
        newest = sorted(names, key=self._sends_left.get, reverse=True)[:MAX_UPDATES]
        updates = []
        for name in newest:
            updates.append(self.me if name == self.me.name else self._members[name])
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return updates

    def get(self, name: str) -> Member | None:
        """Return a member by its name."""
        return self.me if name == self.me.name else self._members.get(name)

    def others(self) -> list[Member]:
        """List all other members, including gone ones."""
        return list(self._members.values())

    def live(self) -> list[Member]:
        """List the members that are alive, including this daemon, by name."""
        alive = [m for m in self._members.values() if m.state is MemberState.ALIVE]
        if self.me.state is MemberState.ALIVE:
            alive.append(self.me)
        return sorted(alive, key=lambda member: member.name)
