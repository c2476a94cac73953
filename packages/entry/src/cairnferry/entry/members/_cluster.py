"""View of all daemons that one of them has: membership, and how each fares."""

import logging
import random
import time
from collections.abc import Callable

import attrs

from cairnferry.coordination import (
    HeadConfirmation,
    Member,
    Membership,
    MemberState,
    Note,
    NoteRegistry,
)
from cairnferry.entry._ports import InForce, SharedTable
from cairnferry.entry.telemetry import RateLimit
from cairnferry.peers import Heartbeat, TableState

# A daemon whose last confirmed head is older than this may miss accepted
# changes; callers are steered to others.
STALE_HEAD_S = 10.0
FULL_SPARE = 1000
STEER_AWAY = -1

log = logging.getLogger(__name__)


@attrs.define
class PeerHealth:
    """What a peer last said of itself.

    Attributes
    ----------
    revision : int
        Revision in force there.
    spare : int
        Thousandths of its capacity that are free.
    confirmed_at : float
        Local time in seconds to which its head was confirmed.
    """

    revision: int
    spare: int
    confirmed_at: float


@attrs.frozen
class ListedInstance:
    """What the platform's list says of a daemon.

    Attributes
    ----------
    zone : str
        Availability zone.
    leaving : bool
        Whether its instance is about to be taken away.
    peer_address : str
        "IP:port" for other daemons.
    """

    zone: str
    leaving: bool
    peer_address: str = ""


@attrs.define
class Cluster:
    """Membership, the age of the head, and notes on targets.

    Parameters
    ----------
    membership : Membership
        Who is there.
    configuration : InForce
        Tells the revision in force here.
    notes : NoteRegistry
        Notes on targets.
    spare : callable
        Gives the share of the own capacity that is free, 0 to 1.

    Attributes
    ----------
    listed : dict of str to ListedInstance
        Instances that the platform or the registry lists, by name.
    on_listed : callable
        Called after `listed` was renewed.
    suspicions : NoteRegistry or None
        Notes on requests under which targets ended.
    limits : NoteRegistry or None
        Notes on limits that targets name.
    tables : dict of str to SharedTable
        Copies of tables that daemons tell each other.
    told_instances : int
        Instances that there are by the word of the one by which this daemon joined, as
        long as it has not heard of all of them.
    """

    membership: Membership
    configuration: InForce
    notes: NoteRegistry
    spare: object
    confirmation: HeadConfirmation = attrs.field(factory=HeadConfirmation)
    suspicions: NoteRegistry | None = None
    limits: NoteRegistry | None = None
    listed: dict[str, ListedInstance] = attrs.field(factory=dict)
    tables: dict[str, SharedTable] = attrs.field(factory=dict)
    told_instances: int = 0
    on_listed: Callable[[], None] = lambda: None
    _health: dict[str, PeerHealth] = attrs.field(factory=dict)

    def list_instances(self, listed: dict[str, ListedInstance]) -> None:
        """Take in all that the platform or the registry lists."""
        self.listed = listed
        self.on_listed()

    def heartbeat(self, zone: str) -> Heartbeat:
        """Give what this daemon now tells one of an availability zone."""
        now = time.monotonic()
        return Heartbeat(
            sender=self.membership.me,
            revision=self.configuration.revision,
            confirmed_age=self.confirmation.age(now),
            spare=self._own_spare(now),
            news=tuple(self.membership.updates_for(zone)),
            notes=self.notes.next_notes(now),
            tables=tuple(
                TableState(name, table.copy.version, table.grace_left)
                for name, table in self.tables.items()
            ),
            suspicions=self.suspicions.next_notes(now) if self.suspicions else (),
            limits=self.limits.next_notes(now) if self.limits else (),
        )

    def _own_spare(self, now):
        """Give the free thousandths; STEER_AWAY if callers shall go elsewhere."""
        if not self.is_sound(now):
            return STEER_AWAY
        return int(self.spare() * FULL_SPARE)

    def take_in(self, theirs: Heartbeat) -> bool:
        """Learn from a heartbeat; give back whether there is news to pass on."""
        now = time.monotonic()
        fresh = self.membership.merge(theirs.sender, now)
        for member in theirs.news:
            fresh = self.membership.merge(member, now) or fresh
        for note in theirs.notes:
            fresh = self.post(note) or fresh
        for note in theirs.suspicions:
            fresh = self.post_suspicion(note) or fresh
        for note in theirs.limits:
            fresh = self.post_limit(note) or fresh
        confirmed_at = now - theirs.confirmed_age
        health = PeerHealth(theirs.revision, theirs.spare, confirmed_at)
        self._health[theirs.sender.name] = health
        if theirs.revision == self.configuration.revision:
            self.confirmation.confirm(now, theirs.confirmed_age)
        return fresh

    def forget_old(self) -> None:
        """Drop what was said by members that are forgotten, and lapsed notes.

        Instances are replaced all the time under new names; what they said would
        pile up.
        """
        self._health = {
            name: health
            for name, health in self._health.items()
            if self.membership.get(name) is not None
        }
        now = time.monotonic()
        self.notes.drop_expired(now)
        if self.suspicions is not None:
            self.suspicions.drop_expired(now)
        if self.limits is not None:
            self.limits.drop_expired(now)

    def post(self, note: Note) -> bool:
        """Take in a note on a target; give back whether it was new."""
        members = len(self.membership.others())
        return self.notes.post(note, time.monotonic(), members)

    def post_suspicion(self, note: Note, again: bool = False) -> bool:
        """Take in a note on a request under which targets ended; tell if it was new.

        Parameters
        ----------
        note : Note
            The note.
        again : bool, optional
            Whether to pass it on also if it is known.
        """
        return self._post_on(self.suspicions, note, again)

    def post_limit(self, note: Note, again: bool = False) -> bool:
        """Take in a note on a limit that a target names; tell whether it was new.

        Parameters
        ----------
        note : Note
            The note.
        again : bool, optional
            Whether to pass it on also if it is known.
        """
        return self._post_on(self.limits, note, again)

    def _post_on(self, board, note, again):
        if board is None:
            return False
        now = time.monotonic()
        members = len(self.membership.others())
        if again:
            board.spread_again((note.subject, note.source), now, members)
        return board.post(note, now, members)

    def count_instances(self) -> int:
        """Count the instances that share common budgets, rather too many than too few.

        Members of other zones are not all known, and those that were lost may come
        back: counted too low, all together would overspend.
        """
        members = len(self.membership.live())
        return max(members, len(self.listed), self.told_instances, 1)

    def is_sound(self, now: float) -> bool:
        """Tell whether callers may be sent to this daemon."""
        config = self.configuration
        if config.revision == 0 or config.behind:
            return False
        return self.confirmation.age(now) < STALE_HEAD_S

    def usable(self, now: float) -> list[Member]:
        """List the members to which callers may be sent.

        While nobody reaches the table, no daemon can be sure of its revision;
        but nothing can be accepted either, so that all go on to be used.
        """
        live = self.membership.live()
        usable = [m for m in live if self._is_usable(m, now)]
        return usable or live or [self.membership.me]

    def _is_usable(self, member, now):
        if member.name == self.membership.me.name:
            return self.is_sound(now)
        listed = self.listed.get(member.name)
        if listed is not None and listed.leaving:
            return False
        health = self._health.get(member.name)
        if health is None:
            return True
        return health.spare != STEER_AWAY

    def others_have_rules(self) -> bool:
        """Tell whether a daemon was heard that has rules in force."""
        return any(health.revision for health in self._health.values())

    def spare_of(self, name: str) -> int:
        """Give the thousandths of a member's capacity that are free."""
        if name == self.membership.me.name:
            return int(self.spare() * FULL_SPARE)
        health = self._health.get(name)
        return max(0, health.spare) if health else FULL_SPARE

    def snapshot(self) -> dict:
        """Give the state for a dump, as plain values."""
        now = time.monotonic()
        age = self.confirmation.age(now)
        members = [self.membership.me, *self.membership.others()]
        return {
            "sound": self.is_sound(now),
            "confirmed_head_age_s": None if age == float("inf") else round(age, 3),
            "members": [self._member_snapshot(m) for m in members],
            "notes": [
                {
                    "target": note.subject,
                    "source": note.source,
                    "remaining_s": round(note.remaining, 1),
                }
                for note in self.notes.active_notes(now)
            ],
        }

    def _member_snapshot(self, member):
        health = self._health.get(member.name)
        return {
            "name": member.name,
            "zone": member.zone,
            "state": member.state.name.lower(),
            "incarnation": member.incarnation,
            "callers": member.caller_address,
            "peers": member.peer_address,
            "revision": health.revision if health else None,
        }


def new_membership(name, zone, peer_address, caller_address) -> Membership:
    """Start the membership of this daemon.

    The incarnation is the time of the start, so that it is higher than that of
    an earlier process of the same name.
    """
    me = Member(
        name=name,
        zone=zone,
        peer_address=peer_address,
        caller_address=caller_address,
        incarnation=time.time_ns() // 1_000_000,
        state=MemberState.ALIVE,
    )
    return Membership(me, random.Random(), on_change=_MemberLog().note)


@attrs.define
class _MemberLog:
    """Writes a line for each member that is seen in another state."""

    _limit: RateLimit = attrs.field(factory=RateLimit)

    def note(self, before: Member | None, member: Member) -> None:
        """Write a line, up to a rate."""
        if before is not None and before.state is member.state:
            return
        if not self._limit.allows():
            return
        log.info(
            "member",
            extra={
                "member": member.name,
                "state": member.state.name.lower(),
                "before": before.state.name.lower() if before else None,
                "incarnation": member.incarnation,
                "left_out": self._limit.take_left_out(),
            },
        )
