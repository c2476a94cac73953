"""Messages of the protocol in the project's own types."""

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
)
from cairnferry.peers._generated.peer import ttypes

NEVER_CONFIRMED = -1
NO_LIMIT_ON_WIRE = -1.0
MS_PER_S = 1000
MAX_AGE_MS = 2**31 - 1


@attrs.frozen
class TableState:
    """How new a daemon's copy of a table is.

    Attributes
    ----------
    table : str
        The table.
    version : int
        Version at which the copy is exact.
    grace_s : float
        Seconds for which rows that vanish are held, as the store was away.
    """

    table: str
    version: int
    grace_s: float = 0.0


@attrs.frozen
class Heartbeat:
    """What one daemon tells another.

    Attributes
    ----------
    sender : Member
        The daemon that speaks.
    revision : int
        Revision in force there.
    confirmed_age : float
        Seconds since the sender knew its revision to be the last; may be
        infinite.
    spare : int
        Thousandths of the sender's capacity that are free.
    news : tuple of Member
        News of other members.
    notes : tuple of Note
        Notes on targets.
    tables : tuple of TableState
        Copies of tables that daemons tell each other.
    suspicions : tuple of Note
        Notes on requests under which targets ended.
    limits : tuple of Note
        Notes on limits that targets name.
    """

    sender: Member
    revision: int
    confirmed_age: float
    spare: int
    news: tuple[Member, ...]
    notes: tuple[Note, ...] = ()
    tables: tuple[TableState, ...] = ()
    suspicions: tuple[Note, ...] = ()
    limits: tuple[Note, ...] = ()


@attrs.frozen
class LimitState:
    """What a target said last of its limit.

    Attributes
    ----------
    target : str
        Name of the target's start.
    per_s : float
        Requests a second from all daemons together; infinite if it names no limit.
    age : float
        Seconds since then.
    cold_s, cold_per_s : float
        Seconds for which it is cold, and requests a second that it takes meanwhile; 0
        if it is warm.
    """

    target: str
    per_s: float
    age: float
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class PermitsWanted:
    """What a daemon asks for, for one limited target.

    Attributes
    ----------
    limit : LimitState
        What it knows of the limit.
    zone : str
        Availability zone of the target.
    count, returned : int
        Permits that it asks for, and gives back unused.
    """

    limit: LimitState
    zone: str
    count: int
    returned: int = 0


@attrs.frozen
class PermitsGiven:
    """What it gets.

    Attributes
    ----------
    limit : LimitState
        What the one that gives permits knows of the limit.
    delays : tuple of float
        Seconds after which each permit may be used.
    retry_s : float
        Seconds after which to ask again.
    """

    limit: LimitState
    delays: tuple[float, ...]
    retry_s: float


def to_wire(heartbeat: Heartbeat) -> ttypes.Heartbeat:
    """Turn a heartbeat into the generated type."""
    return ttypes.Heartbeat(
        sender=_member_to_wire(heartbeat.sender),
        revision=heartbeat.revision,
        confirmed_age_ms=_age_to_wire(heartbeat.confirmed_age),
        spare=heartbeat.spare,
        news=[_member_to_wire(member) for member in heartbeat.news],
        notes=[_note_to_wire(note) for note in heartbeat.notes],
        # Left out if there are none, as by daemons of earlier releases.
        tables=[_state_to_wire(state) for state in heartbeat.tables] or None,
        suspicions=[_note_to_wire(note) for note in heartbeat.suspicions] or None,
        limits=[_note_to_wire(note) for note in heartbeat.limits] or None,
    )


def from_wire(message: ttypes.Heartbeat) -> Heartbeat:
    """Turn a generated heartbeat into the project's type.

    Raises
    ------
    ValueError
        If a state is not one of those known.
    """
    return Heartbeat(
        sender=_member_from_wire(message.sender),
        revision=message.revision,
        confirmed_age=_age_from_wire(message.confirmed_age_ms),
        spare=message.spare,
        news=tuple(_member_from_wire(member) for member in message.news),
        notes=tuple(_note_from_wire(note) for note in message.notes),
        tables=tuple(_state_from_wire(state) for state in message.tables or ()),
        suspicions=tuple(_note_from_wire(note) for note in message.suspicions or ()),
        limits=tuple(_note_from_wire(note) for note in message.limits or ()),
    )


def row_to_wire(row: LogRow) -> ttypes.LogRow:
    """Turn a row of the log into the generated type."""
    return ttypes.LogRow(revision=row.revision, body=row.to_body())


def row_from_wire(message: ttypes.LogRow) -> LogRow:
    """Turn a generated row into the project's type.

    Raises
    ------
    ValueError
        If the body is not JSON.
    """
    return LogRow.from_body(message.revision, message.body)


def news_to_wire(news: TableUpdate) -> ttypes.TableNews:
    """Turn news of a table into the generated type."""
    rows = [ttypes.TableRow(row.key, row.value, row.version) for row in news.rows]
    return ttypes.TableNews(news.whole, news.version, rows)


def news_from_wire(message: ttypes.TableNews) -> TableUpdate:
    """Turn generated news of a table into the project's type."""
    rows = tuple(Row(row.key, row.value, row.version) for row in message.rows)
    return TableUpdate(message.whole, rows, message.version)


def document_to_wire(news: DocumentNews) -> ttypes.DocumentNews:
    """Turn news of the rules into the generated type."""
    return ttypes.DocumentNews(news.revision, news.base, news.packed)


def document_from_wire(message: ttypes.DocumentNews) -> DocumentNews:
    """Turn generated news of the rules into the project's type."""
    return DocumentNews(message.revision, message.base, message.packed)


def wanted_to_wire(wanted: PermitsWanted) -> ttypes.PermitsWanted:
    """Turn what is asked for into the generated type."""
    limit = _limit_to_wire(wanted.limit)
    return ttypes.PermitsWanted(limit, wanted.zone, wanted.count, wanted.returned)


def wanted_from_wire(message: ttypes.PermitsWanted) -> PermitsWanted:
    """Turn what is asked for into the project's type."""
    limit = _limit_from_wire(message.limit)
    return PermitsWanted(limit, message.zone, message.count, message.returned)


def given_to_wire(given: PermitsGiven) -> ttypes.PermitsGiven:
    """Turn what is given into the generated type."""
    delays = [int(delay * MS_PER_S) for delay in given.delays]
    retry_ms = int(given.retry_s * MS_PER_S)
    return ttypes.PermitsGiven(_limit_to_wire(given.limit), delays, retry_ms)


def given_from_wire(message: ttypes.PermitsGiven) -> PermitsGiven:
    """Turn what is given into the project's type."""
    delays = tuple(delay / MS_PER_S for delay in message.delays_ms)
    limit = _limit_from_wire(message.limit)
    return PermitsGiven(limit, delays, message.retry_ms / MS_PER_S)


def _limit_to_wire(state):
    per_s = NO_LIMIT_ON_WIRE if math.isinf(state.per_s) else state.per_s
    age_ms = int(min(state.age * MS_PER_S, MAX_AGE_MS))
    cold_ms = int(state.cold_s * MS_PER_S) or None
    cold_per_s = state.cold_per_s if cold_ms else None
    return ttypes.LimitState(state.target, per_s, age_ms, cold_ms, cold_per_s)


def _limit_from_wire(message):
    """Read a limit.

    Raises
    ------
    ValueError
        If it is no number of requests; it would compare with nothing.
    """
    cold_per_s = message.cold_per_s or 0.0
    if math.isnan(message.per_s) or not math.isfinite(cold_per_s):
        raise ValueError("limit")
    per_s = math.inf if message.per_s < 0 else message.per_s
    cold_s = (message.cold_ms or 0) / MS_PER_S
    age = message.age_ms / MS_PER_S
    return LimitState(message.target, per_s, age, cold_s, cold_per_s)


def _state_to_wire(state):
    return ttypes.TableState(state.table, state.version, int(state.grace_s * MS_PER_S))


def _state_from_wire(message):
    return TableState(message.table, message.version, message.grace_ms / MS_PER_S)


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
