"""Who is there: direct heartbeats decide, an incarnation number orders.

Each member calls a few others a round, whatever the number of members. What
was learnt travels with those calls, a few times for each piece of news. So the
cost of a member does not grow with the size of its group.

The group is an availability zone: its members know each other in full, and a few
representatives of each other zone. 312 members that all knew each other told one
another 312 times 312 pieces of news at a start.
"""

import enum
import math
import random
from collections.abc import Callable

import attrs

from cairnferry.coordination._rendezvous import lowest_ranked

NEWS_FACTOR = 3
MAX_NEWS = 12
# Members of a zone that other zones know: all of a small one, and in a large one so
# many that the loss of most of them leaves some.
REPRESENTATIVES = 8
# What members are ranked by, for whatever only some of a zone do.
RANK_KEY = "representative"


class MemberState(enum.IntEnum):
    """State of a member; at the same incarnation the higher one holds."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    GONE = 3


@attrs.frozen
class Member:
    """What is known of one daemon.

    Attributes
    ----------
    name : str
        Instance name.
    zone : str
        Availability zone.
    peer_address : str
        "IP:port" for other daemons.
    caller_address : str
        "IP:port" for callers.
    incarnation : int
        Raised by the member itself alone, at a start and to refute a suspicion.
    state : MemberState
        State.
    """

    name: str
    zone: str
    peer_address: str
    caller_address: str
    incarnation: int
    state: MemberState

    def supersedes(self, other: "Member") -> bool:
        """Tell whether this is later news than `other` of the same member."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@attrs.frozen
class MembershipTimes:
    """Times in seconds.

    Attributes
    ----------
    suspicion : float
        From suspected to gone.
    memory : float
        For which a gone member is remembered, so that old news cannot bring it
        back.
    """

    suspicion: float = 4.0
    retention: float = 120.0


@attrs.define
class Membership:
    """One daemon's view of all.

    Parameters
    ----------
    me : Member
        This daemon.
    rng : random.Random
        For the order of calls.
    times : MembershipTimes
        Delays.
    on_change : callable, optional
        Called with what was known of a member, or None, and what is known now.
    """

    me: Member
    rng: random.Random
    times: MembershipTimes = MembershipTimes()
    on_change: Callable[[Member | None, Member], None] | None = None
    _members: dict[str, Member] = attrs.field(factory=dict)
    _changed_at: dict[str, float] = attrs.field(factory=dict)
    _news: dict[str, int] = attrs.field(factory=dict)
    _round: list[str] = attrs.field(factory=list)

    def merge(self, member: Member, now: float) -> bool:
        """Take in news; give back whether it was later than what was known.

        Notes
        -----
        News of this daemon itself that calls it suspected or gone is refuted by
        a higher incarnation: a paused instance that wakes is heard again, and
        cannot undo what was learnt since of others.
        """
        if member.name == self.me.name:
            return self._hear_of_myself(member)
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            if known.supersedes(member):
                # It may be the member itself that speaks, after a partition,
                # and the news of its departure was told long ago. Unless it
                # hears of it again, it cannot refute it, and stays out for good.
                self._spread(member.name)
            return False
        if known is None and member.state is MemberState.GONE:
            return False
        self._store(member, now)
        return True

    def _hear_of_myself(self, member):
        if member.incarnation < self.me.incarnation:
            return False
        if member.state <= self.me.state and member.incarnation == self.me.incarnation:
            return False
        self.me = attrs.evolve(self.me, incarnation=member.incarnation + 1)
        self._spread(self.me.name)
        return True

    def _store(self, member, now):
        before = self._members.get(member.name)
        self._members[member.name] = member
        self._changed_at[member.name] = now
        self._spread(member.name)
        if self.on_change is not None:
            self.on_change(before, member)

    def _spread(self, name):
        self._news[name] = NEWS_FACTOR * math.ceil(math.log2(len(self._members) + 2))

    def leave(self) -> None:
        """Announce that this daemon takes no new callers."""
        self.me = attrs.evolve(self.me, state=MemberState.LEAVING)
        self._spread(self.me.name)

    def suspect(self, name: str, now: float) -> None:
        """Note that a call to a member failed."""
        known = self._members.get(name)
        if known is not None and known.state is MemberState.ALIVE:
            self._store(attrs.evolve(known, state=MemberState.SUSPECTED), now)
        elif known is not None and known.state is MemberState.LEAVING:
            self._store(attrs.evolve(known, state=MemberState.GONE), now)

    def apply_timeouts(self, now: float) -> None:
        """Turn old suspicions into departures and drop what is long gone."""
        for name, member in list(self._members.items()):
            age = now - self._changed_at[name]
            if member.state is MemberState.SUSPECTED and age >= self.times.suspicion:
                self._store(attrs.evolve(member, state=MemberState.GONE), now)
            elif member.state is MemberState.GONE and age >= self.times.retention:
                del self._members[name]
                del self._changed_at[name]
                self._news.pop(name, None)

    def next_peers(self, count: int) -> list[Member]:
        """Choose whom of the own zone to call in this round.

        Notes
        -----
        Each member comes once before any comes twice, in an order drawn anew
        each time round, so that the longest time without a call is bounded.
        """
        chosen = []
        callable_names = {
            m.name
            for m in self.others()
            if m.state < MemberState.GONE and m.zone == self.me.zone
        }
        for _ in range(min(count, len(callable_names))):
            chosen.append(self._next_name(callable_names, chosen))
        return [self._members[name] for name in chosen]

    def _next_name(self, callable_names, taken):
        while True:
            while self._round:
                name = self._round.pop()
                if name in callable_names and name not in taken:
                    return name
            self._round = sorted(callable_names)
            self.rng.shuffle(self._round)

    def next_cross_zone_peer(self) -> Member | None:
        """Choose whom of the other zones to call; None if nobody is known there."""
        far = [
            m
            for m in self._members.values()
            if m.zone != self.me.zone and m.state < MemberState.GONE
        ]
        return self.rng.choice(far) if far else None

    def own_zone_names(self) -> list[str]:
        """List the names of the live members of the own zone, by rank.

        What only some of a zone do is done by the first of them. Members that see
        each other differ for as long as news travels: it is done by too many, or for a
        moment by too few.
        """
        names = [m.name for m in self.live() if m.zone == self.me.zone]
        return lowest_ranked(RANK_KEY, names, len(names))

    def updates_for(self, zone: str) -> list[Member]:
        """Give what one of a zone shall hear.

        To another zone the own representatives are told in full each time, dead ones
        too as long as they are remembered, so that nothing needs to be kept of what
        which zone was told. What is thought here of members of that zone is told as
        news: one that is called gone here, and is not, hears of it in no other way.
        """
        if zone == self.me.zone:
            return self.news()
        doubted = [
            name
            for name in self._news
            if name != self.me.name
            and self._members[name].zone == zone
            and self._members[name].state is not MemberState.ALIVE
        ]
        return [*self._representatives(), *self._tell(doubted)]

    def _representatives(self):
        lost = [
            m.name
            for m in self._members.values()
            if m.zone == self.me.zone and m.state is not MemberState.ALIVE
        ]
        # Those of lowest rank are the ones that the others have heard of.
        lost = lowest_ranked(RANK_KEY, lost, REPRESENTATIVES)
        return [
            self.get(name) for name in self.own_zone_names()[:REPRESENTATIVES] + lost
        ]

    def news(self) -> list[Member]:
        """Give what has not yet travelled often enough, the freshest first."""
        return self._tell(self._news)

    def _tell(self, names):
        fresh = sorted(names, key=self._news.get, reverse=True)[:MAX_NEWS]
        told = []
        for name in fresh:
            told.append(self.me if name == self.me.name else self._members[name])
            self._news[name] -= 1
            if self._news[name] <= 0:
                del self._news[name]
        return told

    def get(self, name: str) -> Member | None:
        """Give a member by its name."""
        return self.me if name == self.me.name else self._members.get(name)

    def others(self) -> list[Member]:
        """List all other members, gone ones too."""
        return list(self._members.values())

    def live(self) -> list[Member]:
        """List the members in use, this daemon among them, by name."""
        usable = [m for m in self._members.values() if m.state is MemberState.ALIVE]
        if self.me.state is MemberState.ALIVE:
            usable.append(self.me)
        return sorted(usable, key=lambda member: member.name)
