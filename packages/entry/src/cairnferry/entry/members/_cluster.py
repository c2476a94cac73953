"""One daemon's view of all daemons: membership, health and shared notes."""

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
from cairnferry.entry._ports import RulesStatus, SharedTable
from cairnferry.entry.telemetry import RateLimit
from cairnferry.peers import Heartbeat, TableState

# Age in seconds of the last confirmed head from which a daemon may lack accepted
# changes, so that callers are steered to other daemons.
STALE_HEAD_S = 10.0
# Spare capacity of an idle daemon, in thousandths.
FULL_SPARE = 1000
# Spare capacity reported by a daemon to which callers must not be steered.
STEER_AWAY = -1
# Notes of each kind that a peer gets at its first heartbeat: several times what is in
# effect at a time, and a few per cent of the size of the rules.
MAX_FIRST_NOTES = 256

log = logging.getLogger(__name__)


@attrs.define
class PeerHealth:
    """Health of a peer according to its last heartbeat.

    Attributes
    ----------
    revision : int
        Revision in force at the peer.
    spare : int
        Spare capacity of the peer in thousandths, or `STEER_AWAY`.
    confirmed_at : float
        Local monotonic time in seconds up to which the peer's head is confirmed.
    incarnation : int
        Incarnation of the peer that sent the heartbeat.
    """

    revision: int
    spare: int
    confirmed_at: float
    incarnation: int


@attrs.frozen
class ListedInstance:
    """Entry instance in the list of the platform or of the registry.

    Attributes
    ----------
    zone : str
        Availability zone.
    leaving : bool
        Whether the platform is about to remove the instance.
    peer_address : str
        "IP:port" for other daemons.
    """

    zone: str
    leaving: bool
    peer_address: str = ""


@attrs.define
class Cluster:
    """Membership, age of the confirmed head, and notes on targets.

    Parameters
    ----------
    membership : Membership
        Known members and their states.
    configuration : RulesStatus
        Reports the revision in force at this daemon.
    notes : NoteRegistry
        Notes on targets.
    spare : callable
        Returns the share of this daemon's capacity that is free, from 0 to 1.
    confirmation : HeadConfirmation, optional
        Time up to which the head is confirmed.

    Attributes
    ----------
    suspicions : NoteRegistry or None
        Notes on requests that crashed targets.
    limits : NoteRegistry or None
        Notes on limits that targets advertise.
    is_cut_off : callable
        Returns whether this daemon reaches no target of some service that others reach.
    block_notes : callable
        Returns a note for each blocked request.
    listed : dict of str to ListedInstance
        Instances listed by the platform or the registry, by name.
    tables : dict of str to SharedTable
        Copies of the tables that daemons exchange.
    reported_instances : int
        Number of instances reported by the instance through which this daemon joined.
        It is 0 once the complete list is known.
    on_listed : callable
        Called after `listed` has been replaced.
    """

    membership: Membership
    configuration: RulesStatus
    notes: NoteRegistry
    spare: object
    confirmation: HeadConfirmation = attrs.field(factory=HeadConfirmation)
    suspicions: NoteRegistry | None = None
    limits: NoteRegistry | None = None
    is_cut_off: Callable[[], bool] = lambda: False
    block_notes: Callable[[], list[Note]] = list
    listed: dict[str, ListedInstance] = attrs.field(factory=dict)
    tables: dict[str, SharedTable] = attrs.field(factory=dict)
    reported_instances: int = 0
    on_listed: Callable[[], None] = lambda: None
    _health: dict[str, PeerHealth] = attrs.field(factory=dict)

    def set_listed(self, listed: dict[str, ListedInstance]) -> None:
        """Replace the instances listed by the platform or the registry."""
        self.listed = listed
        self.on_listed()

    def heartbeat(self, zone: str) -> Heartbeat:
        """Return the heartbeat to send to a daemon of an availability zone."""
        now = time.monotonic()
        return Heartbeat(
            sender=self.membership.me,
            revision=self.configuration.revision,
            confirmed_age=self.confirmation.age(now),
            spare=self._own_spare(now),
            member_updates=tuple(self.membership.updates_for(zone)),
            notes=self.notes.next_notes(now),
            tables=tuple(
                _table_state(name, table, now) for name, table in self.tables.items()
            ),
            suspicions=self.suspicions.next_notes(now) if self.suspicions else (),
            limits=self.limits.next_notes(now) if self.limits else (),
        )

    def has_heard_from(self, member: Member | None) -> bool:
        """Return whether a member has sent a heartbeat since it started.

        Parameters
        ----------
        member : Member or None
            The member; None for a peer of unknown name.
        """
        health = member and self._health.get(member.name)
        return health is not None and health.incarnation == member.incarnation

    def first_heartbeat(self, zone: str) -> Heartbeat:
        """Return the heartbeat for a peer that has just started, with all notes.

        Notes are gossiped for a few seconds only. A daemon that starts later would send
        a blocked request, or exceed a limit, until it observes the fact itself.

        Parameters
        ----------
        zone : str
            Availability zone of the peer.
        """
        now = time.monotonic()
        heartbeat = self.heartbeat(zone)
        limits = self.limits.active_notes(now) if self.limits else []
        return attrs.evolve(
            heartbeat,
            notes=_with_latest(heartbeat.notes, self.notes.active_notes(now)),
            suspicions=_with_latest(heartbeat.suspicions, self.block_notes()),
            limits=_with_latest(heartbeat.limits, limits),
        )

    def _own_spare(self, now):
        """Return the spare capacity in thousandths, or STEER_AWAY."""
        if not self.is_up_to_date(now) or self.is_cut_off():
            return STEER_AWAY
        return int(self.spare() * FULL_SPARE)

    def apply_heartbeat(self, received: Heartbeat) -> bool:
        """Apply a peer's heartbeat; return whether it has updates to pass on."""
        now = time.monotonic()
        has_updates = self.membership.merge(received.sender, now)
        for member in received.member_updates:
            has_updates = self.membership.merge(member, now) or has_updates
        for note in received.notes:
            has_updates = self.post(note) or has_updates
        for note in received.suspicions:
            has_updates = self.post_suspicion(note) or has_updates
        for note in received.limits:
            has_updates = self.post_limit(note) or has_updates
        confirmed_at = now - received.confirmed_age
        health = PeerHealth(
            received.revision,
            received.spare,
            confirmed_at,
            received.sender.incarnation,
        )
        self._health[received.sender.name] = health
        if received.revision == self.configuration.revision:
            self.confirmation.confirm(now, received.confirmed_age)
        return has_updates

    def prune(self) -> None:
        """Drop the health of members that are no longer known, and expired notes.

        Replacement instances have new names, so that stale entries would accumulate.
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
        """Record a note on a target; return whether it was new."""
        members = len(self.membership.others())
        return self.notes.post(note, time.monotonic(), members)

    def post_suspicion(self, note: Note, again: bool = False) -> bool:
        """Record a note on a request that crashed targets; return whether it was new.

        Parameters
        ----------
        note : Note
            The note.
        again : bool, optional
            Whether to pass the note on to peers even if it is already known.
        """
        return self._post_to(self.suspicions, note, again)

    def post_limit(self, note: Note, again: bool = False) -> bool:
        """Record a note on a target's advertised limit; return whether it was new.

        Parameters
        ----------
        note : Note
            The note.
        again : bool, optional
            Whether to pass the note on to peers even if it is already known.
        """
        return self._post_to(self.limits, note, again)

    def _post_to(self, note_registry, note, again):
        if note_registry is None:
            return False
        now = time.monotonic()
        members = len(self.membership.others())
        if again:
            note_registry.spread_again((note.subject, note.source), now, members)
        return note_registry.post(note, now, members)

    def count_instances(self) -> int:
        """Return an upper estimate of the instances that share common budgets.

        Not all members of other zones are known, and lost members may return. With
        too low a count all instances together would exceed the budgets.
        """
        members = len(self.membership.live())
        return max(members, len(self.listed), self.reported_instances, 1)

    def is_up_to_date(self, now: float) -> bool:
        """Return whether callers may be steered to this daemon."""
        config = self.configuration
        if config.revision == 0 or config.behind:
            return False
        return self.confirmation.age(now) < STALE_HEAD_S

    def usable(self, now: float) -> list[Member]:
        """Return the members to which callers may be steered.

        While the platform's store is unreachable for all daemons, none of them can
        confirm its revision, but no change can be accepted either. In that case all
        live members are used.
        """
        live = self.membership.live()
        usable = [m for m in live if self._is_usable(m, now)]
        return usable or live or [self.membership.me]

    def _is_usable(self, member, now):
        if member.name == self.membership.me.name:
            return self.is_up_to_date(now) and not self.is_cut_off()
        listed = self.listed.get(member.name)
        if listed is not None and listed.leaving:
            return False
        health = self._health.get(member.name)
        if health is None:
            return True
        return health.spare != STEER_AWAY

    def has_usable_peer(self) -> bool:
        """Return whether callers may be steered to another daemon."""
        me = self.membership.me.name
        return any(member.name != me for member in self.usable(time.monotonic()))

    def any_peer_has_rules(self) -> bool:
        """Return whether a peer has reported that it has rules in force."""
        return any(health.revision for health in self._health.values())

    def spare_of(self, name: str) -> int:
        """Return the spare capacity of a member in thousandths."""
        if name == self.membership.me.name:
            return int(self.spare() * FULL_SPARE)
        health = self._health.get(name)
        return max(0, health.spare) if health else FULL_SPARE

    def snapshot(self) -> dict:
        """Return the state for a dump, as plain values."""
        now = time.monotonic()
        age = self.confirmation.age(now)
        members = [self.membership.me, *self.membership.others()]
        return {
            "sound": self.is_up_to_date(now),
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


def _table_state(name, table, now):
    hold = table.hold
    grace_s = max(0.0, hold.until - now)
    outage_age_s = now - hold.began_at if grace_s else 0.0
    return TableState(name, table.copy.version, grace_s, outage_age_s, table.settled)


def _with_latest(gossiped, in_effect):
    """Add the notes in effect that expire last, at most `MAX_FIRST_NOTES` of them."""
    latest = sorted(in_effect, key=lambda note: note.remaining)[-MAX_FIRST_NOTES:]
    notes = {(note.subject, note.source): note for note in (*latest, *gossiped)}
    return tuple(notes.values())


def new_membership(name, zone, peer_address, caller_address) -> Membership:
    """Return the initial membership, which holds this daemon alone.

    The incarnation is the start time in milliseconds, so that it is higher than the
    incarnation of an earlier process of the same name.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of this daemon.
    peer_address, caller_address : str
        "IP:port" for other daemons and for callers.
    """
    me = Member(
        name=name,
        zone=zone,
        peer_address=peer_address,
        caller_address=caller_address,
        incarnation=time.time_ns() // 1_000_000,
        state=MemberState.ALIVE,
    )
    return Membership(me, random.Random(), on_change=_MemberLog().log_change)


@attrs.define
class _MemberLog:
    """Logs changes of the members' states at a limited rate."""

    _limit: RateLimit = attrs.field(factory=RateLimit)

    def log_change(self, before: Member | None, member: Member) -> None:
        """Log a member whose state has changed, unless the rate limit is reached."""
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
                "left_out": self._limit.take_suppressed(),
            },
        )
