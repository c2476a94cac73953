"""Message types of the project, and their conversion from and to Thrift types."""

import math

import attrs

from cairnferry.coordination import (
    DocumentNews,
    LogRow,
    Member,
    MemberState,
    Note,
    Row,
    TableUpdate,
    VersionSpan,
)
from cairnferry.peers._generated.peer import ttypes

# Value on the wire of an infinite age.
NEVER_CONFIRMED = -1
# Value on the wire of the rate of a target without a limit.
NO_LIMIT_ON_WIRE = -1.0
MS_PER_S = 1000
# Largest value of an i32 on the wire.
MAX_AGE_MS = 2**31 - 1


@attrs.frozen
class TableState:
    """Version of a daemon's copy of a table.

    Attributes
    ----------
    table : str
        Name of the table.
    version : int
        Version of the table that the copy equals.
    grace_s : float
        Seconds for which the daemon still keeps removed rows, because the store was
        unavailable.
    outage_age_s : float
        Seconds since the store became unavailable; may be infinite.
    settled : VersionSpan
        Versions whose removals are settled.
    """

    table: str
    version: int
    grace_s: float = 0.0
    outage_age_s: float = math.inf
    settled: VersionSpan = VersionSpan()


@attrs.frozen
class Heartbeat:
    """State that a daemon sends to a peer.

    Attributes
    ----------
    sender : Member
        The daemon that sends the heartbeat.
    revision : int
        Revision in force at the sender.
    confirmed_age : float
        Seconds since the sender last confirmed that its revision is the newest; may
        be infinite.
    spare : int
        Free capacity of the sender, in thousandths of its capacity.
    member_updates : tuple of Member
        Changed state of other members.
    notes : tuple of Note
        Notes on targets.
    tables : tuple of TableState
        Copies of the tables that daemons exchange.
    suspicions : tuple of Note
        Notes on requests suspected of crashing targets.
    limits : tuple of Note
        Notes on limits that targets declare.
    """

    sender: Member
    revision: int
    confirmed_age: float
    spare: int
    member_updates: tuple[Member, ...]
    notes: tuple[Note, ...] = ()
    tables: tuple[TableState, ...] = ()
    suspicions: tuple[Note, ...] = ()
    limits: tuple[Note, ...] = ()


@attrs.frozen
class LimitState:
    """Limit that a target declared last.

    Attributes
    ----------
    target : str
        Name of this run of the target; it changes when the target restarts.
    per_s : float
        Requests per second from all daemons together; infinite without a limit.
    age : float
        Seconds since the target declared it.
    cold_s, cold_per_s : float
        Seconds for which the target is still cold, and requests per second that it
        accepts during that time; 0 if it is warm.
    """

    target: str
    per_s: float
    age: float
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class PermitQuery:
    """Request of a daemon for permits for one limited target.

    Attributes
    ----------
    limit : LimitState
        Limit of the target as known to the requester.
    zone : str
        Availability zone of the target.
    count, returned : int
        Number of permits requested, and number of unused permits returned.
    """

    limit: LimitState
    zone: str
    count: int
    returned: int = 0


@attrs.frozen
class PermitReply:
    """Reply of the permit issuer to a `PermitQuery`.

    Attributes
    ----------
    limit : LimitState
        Limit of the target as known to the issuer.
    delays : tuple of float
        Seconds after which each permit may be used.
    retry_s : float
        Seconds after which the requester may send another query.
    """

    limit: LimitState
    delays: tuple[float, ...]
    retry_s: float


def heartbeat_to_wire(heartbeat: Heartbeat) -> ttypes.Heartbeat:
    """Convert a heartbeat to the generated type."""
    return ttypes.Heartbeat(
        sender=_member_to_wire(heartbeat.sender),
        revision=heartbeat.revision,
        confirmed_age_ms=_age_to_wire(heartbeat.confirmed_age),
        spare=heartbeat.spare,
        news=[_member_to_wire(member) for member in heartbeat.member_updates],
        notes=[_note_to_wire(note) for note in heartbeat.notes],
        # Omitted if empty, as in heartbeats of earlier releases.
        tables=[_table_state_to_wire(state) for state in heartbeat.tables] or None,
        suspicions=[_note_to_wire(note) for note in heartbeat.suspicions] or None,
        limits=[_note_to_wire(note) for note in heartbeat.limits] or None,
    )


def heartbeat_from_wire(message: ttypes.Heartbeat) -> Heartbeat:
    """Convert a generated heartbeat to the project's type.

    Raises
    ------
    ValueError
        If the state of a member is unknown.
    """
    return Heartbeat(
        sender=_member_from_wire(message.sender),
        revision=message.revision,
        confirmed_age=_age_from_wire(message.confirmed_age_ms),
        spare=message.spare,
        member_updates=tuple(_member_from_wire(member) for member in message.news),
        notes=tuple(_note_from_wire(note) for note in message.notes),
        tables=tuple(_table_state_from_wire(state) for state in message.tables or ()),
        suspicions=tuple(_note_from_wire(note) for note in message.suspicions or ()),
        limits=tuple(_note_from_wire(note) for note in message.limits or ()),
    )


def row_to_wire(row: LogRow) -> ttypes.LogRow:
    """Convert a log row to the generated type."""
    return ttypes.LogRow(revision=row.revision, body=row.to_body())


def row_from_wire(message: ttypes.LogRow) -> LogRow:
    """Convert a generated log row to the project's type.

    Raises
    ------
    ValueError
        If the body is not JSON.
    """
    return LogRow.from_body(message.revision, message.body)


def table_update_to_wire(update: TableUpdate) -> ttypes.TableNews:
    """Convert an update of a table to the generated type."""
    rows = [ttypes.TableRow(row.key, row.value, row.version) for row in update.rows]
    return ttypes.TableNews(update.whole, update.version, rows)


def table_update_from_wire(message: ttypes.TableNews) -> TableUpdate:
    """Convert a generated update of a table to the project's type."""
    rows = tuple(Row(row.key, row.value, row.version) for row in message.rows)
    return TableUpdate(message.whole, rows, message.version)


def document_to_wire(update: DocumentNews) -> ttypes.DocumentNews:
    """Convert an update of the rules to the generated type."""
    return ttypes.DocumentNews(update.revision, update.base, update.packed)


def document_from_wire(message: ttypes.DocumentNews) -> DocumentNews:
    """Convert a generated update of the rules to the project's type."""
    return DocumentNews(message.revision, message.base, message.packed)


def permit_query_to_wire(query: PermitQuery) -> ttypes.PermitsWanted:
    """Convert a permit query to the generated type."""
    limit = _limit_to_wire(query.limit)
    return ttypes.PermitsWanted(limit, query.zone, query.count, query.returned)


def permit_query_from_wire(message: ttypes.PermitsWanted) -> PermitQuery:
    """Convert a generated permit query to the project's type.

    Raises
    ------
    ValueError
        If a rate of its limit is not a usable number.
    """
    limit = _limit_from_wire(message.limit)
    return PermitQuery(limit, message.zone, message.count, message.returned)


def permit_reply_to_wire(reply: PermitReply) -> ttypes.PermitsGiven:
    """Convert a permit reply to the generated type."""
    delays = [int(delay * MS_PER_S) for delay in reply.delays]
    retry_ms = int(reply.retry_s * MS_PER_S)
    return ttypes.PermitsGiven(_limit_to_wire(reply.limit), delays, retry_ms)


def permit_reply_from_wire(message: ttypes.PermitsGiven) -> PermitReply:
    """Convert a generated permit reply to the project's type.

    Raises
    ------
    ValueError
        If a rate of its limit is not a usable number.
    """
    delays = tuple(delay / MS_PER_S for delay in message.delays_ms)
    limit = _limit_from_wire(message.limit)
    return PermitReply(limit, delays, message.retry_ms / MS_PER_S)


def _limit_to_wire(state):
    per_s = NO_LIMIT_ON_WIRE if math.isinf(state.per_s) else state.per_s
    age_ms = int(min(state.age * MS_PER_S, MAX_AGE_MS))
    cold_ms = int(state.cold_s * MS_PER_S) or None
    cold_per_s = state.cold_per_s if cold_ms else None
    return ttypes.LimitState(state.target, per_s, age_ms, cold_ms, cold_per_s)


def _limit_from_wire(message):
    """Convert a generated limit to the project's type.

    Raises
    ------
    ValueError
        If the limit is NaN, as every comparison with it would be false, or if the
        rate of a cold target is not finite.
    """
    cold_per_s = message.cold_per_s or 0.0
    if math.isnan(message.per_s) or not math.isfinite(cold_per_s):
        raise ValueError("limit")
    per_s = math.inf if message.per_s < 0 else message.per_s
    cold_s = (message.cold_ms or 0) / MS_PER_S
    age = message.age_ms / MS_PER_S
    return LimitState(message.target, per_s, age, cold_s, cold_per_s)


def _table_state_to_wire(state):
    message = ttypes.TableState(
        state.table, state.version, int(state.grace_s * MS_PER_S)
    )
    if state.grace_s and math.isfinite(state.outage_age_s):
        message.outage_age_ms = _age_to_wire(state.outage_age_s)
    if state.settled:
        message.settled_after = state.settled.after - state.version
        message.settled_until = state.settled.until - state.version
    return message


def _table_state_from_wire(message):
    age_ms, settled = message.outage_age_ms, VersionSpan()
    if message.settled_after is not None and message.settled_until is not None:
        settled = VersionSpan(
            message.version + message.settled_after,
            message.version + message.settled_until,
        )
    return TableState(
        message.table,
        message.version,
        message.grace_ms / MS_PER_S,
        math.inf if age_ms is None else _age_from_wire(age_ms),
        settled,
    )


def _age_to_wire(age):
    milliseconds = age * MS_PER_S
    return NEVER_CONFIRMED if milliseconds > MAX_AGE_MS else int(milliseconds)


def _age_from_wire(milliseconds):
    if milliseconds < 0:
        return float("inf")
    return milliseconds / MS_PER_S


def _note_to_wire(note):
    return ttypes.Note(
        subject=note.subject,
        source=note.source,
        remaining_ms=int(note.remaining * MS_PER_S),
    )


def _note_from_wire(message):
    remaining = message.remaining_ms / MS_PER_S
    return Note(message.subject, message.source, remaining)


def _member_to_wire(member):
    return ttypes.MemberNews(
        name=member.name,
        zone=member.zone,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def _member_from_wire(message):
    return Member(
        name=message.name,
        zone=message.zone,
        peer_address=message.peer_address,
        caller_address=message.caller_address,
        incarnation=message.incarnation,
        state=MemberState(message.state),
    )
