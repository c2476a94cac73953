"""Ports: what the daemon needs of the platform that it runs on.

The own interface and the adapter to another platform implement them, and the daemon
cannot tell which one it was given.
"""

import typing
from collections.abc import Callable, Collection

import attrs
from attrs.validators import instance_of
from expression import Error, Ok, Result

from cairnferry.coordination import Batch, DocumentNews, TableReplica, TableUpdate
from cairnferry.peers import PeerLink
from cairnferry.records import Route, Service, Target


class InForce(typing.Protocol):
    """What a daemon says of the rules in force at it.

    Attributes
    ----------
    revision : int
        Revision of the rules in force; 0 before the first.
    behind : object or None
        Set once a revision was seen that cannot be applied.
    """

    revision: int
    behind: object | None


class SharedTable(typing.Protocol):
    """A table of which daemons tell each other.

    Attributes
    ----------
    copy : TableReplica
        What is held of it.
    grace_left : float
        Seconds for which rows that vanish are held.
    """

    copy: TableReplica
    grace_left: float

    def hold_for(self, seconds: float) -> None:
        """Hold rows that vanish from now on, as the store was away until now."""

    def apply_update(self, news: TableUpdate) -> bool:
        """Take in what another daemon told; tell whether that was newer."""


class Records(InForce, typing.Protocol):
    """Brings rules and targets into force, from the platform or from a peer.

    Attributes
    ----------
    tables : dict of str to SharedTable
        Tables of which daemons tell each other.
    """

    tables: dict[str, SharedTable]

    def tasks(self) -> list[Callable[[], None]]:
        """Give the functions that run as long as the daemon does."""

    def rows_from(self, first: int) -> list:
        """Give the log of changes from a revision on, for a peer."""

    def snapshot(self) -> bytes:
        """Give the rules in force, for a peer."""

    def document_since(self, revision: int) -> DocumentNews:
        """Give what a peer lacks of the rules that holds a revision."""

    def pull_from(self, link: PeerLink, offered: int) -> None:
        """Fetch from a peer what it has and this daemon has not."""


@attrs.frozen
class FeedUnavailable:
    """A call gave no answer, or one that says that nothing was done.

    Attributes
    ----------
    reason : str
        What was seen.
    """

    reason: str


@attrs.frozen
class HistoryLost:
    """Changes since the version asked for are no longer kept: list again."""


FeedFault = FeedUnavailable | HistoryLost


class ChangeFeed(typing.Protocol):
    """A table of which rows can be listed and changes waited for."""

    def everything(self) -> Result[Batch, FeedFault]:
        """List all rows."""

    def since(self, version: int, wait_s: float) -> Result[Batch, FeedFault]:
        """Wait for changes after a version, so long at most."""


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Longest head and body of a request.
    head_s, idle_s : float
        Seconds for a head to arrive, and between two requests.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@attrs.frozen
class Rules:
    """Services and routes of one revision.

    Attributes
    ----------
    revision : int
        The revision.
    services : tuple of Service
        Services.
    routes : tuple of Route
        Routes.
    limits : CallerLimits
        Limits of callers.
    """

    revision: int
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    limits: CallerLimits

    def check_references(self) -> Result["Rules", "DecodeFault"]:
        """Give the rules if every route names services that there are."""
        names = {service.name for service in self.services}
        for route in self.routes:
            for name in route.service_names():
                if name not in names:
                    return Error(DecodeFault(f"route {route.name}", f"no {name}"))
        return Ok(self)


@attrs.frozen
class DecodeFault:
    """A document that cannot be read.

    Attributes
    ----------
    where, reason : str
        Part of the document, and what is wrong with it.
    """

    where: str
    reason: str

    def __str__(self):
        return f"{self.where}: {self.reason}"


@attrs.frozen
class RecordDecoders:
    """Turn the platform's documents into the internal form.

    Attributes
    ----------
    rules : callable
        From the bytes of the one document that holds all rules.
    target : callable
        From the name and the bytes of a target's row.
    evacuated : callable
        From the key of a row beside the rules: the availability zone that it evacuates,
        or None.
    """

    rules: Callable[[bytes], Result[Rules, DecodeFault]]
    target: Callable[[str, bytes], Result[Target, DecodeFault]]
    evacuated: Callable[[str], str | None]


@attrs.frozen
class EntryRow:
    """An entry instance as the registry holds it.

    Attributes
    ----------
    name, zone : str
        Name and availability zone.
    peer_address, caller_address : str
        "IP:port" for other daemons and for callers; a registry that the platform
        keeps may not know the second.
    leaving : bool
        Whether the platform is about to take the instance away.
    """

    name: str = attrs.field(validator=instance_of(str))
    zone: str = attrs.field(validator=instance_of(str))
    peer_address: str = attrs.field(validator=instance_of(str))
    caller_address: str = attrs.field(default="", validator=instance_of(str))
    leaving: bool = attrs.field(default=False, validator=instance_of(bool))


@attrs.frozen
class Enrolled:
    """What the registry holds once this instance is in it.

    Attributes
    ----------
    key : bytes or None
        Shared key of the daemons; None if the registry holds none, and they have it
        from elsewhere.
    entries : tuple of EntryRow
        All instances that are enrolled, also those that are gone by now.
    """

    key: bytes | None
    entries: tuple[EntryRow, ...]


@attrs.frozen
class KeyExists:
    """The registry holds a key already, so that nothing was written."""


class Registry(typing.Protocol):
    """Where entry instances find each other."""

    def write(self, me: EntryRow) -> Result[None, FeedFault]:
        """Write this instance's row."""

    def write_first(
        self, me: EntryRow, key: bytes
    ) -> Result[None, FeedFault | KeyExists]:
        """Write this instance's row and the daemons' key, if there is no key yet."""

    def restore_key(self, key: bytes) -> Result[None, FeedFault]:
        """Write the daemons' key again if it is known to be missing."""

    def write_all(self, entries: Collection[EntryRow]) -> Result[None, FeedFault]:
        """Write the rows of instances that joined by this one, in few calls."""

    def read(self) -> Result[Enrolled, FeedFault]:
        """Give what is there."""

    def remove(self, names: Collection[str]) -> Result[None, FeedFault]:
        """Remove the rows of instances that are gone.

        A row that is written anew meanwhile stays: the call may be done seconds
        after it was made, when the instance is back.
        """


class BlockRows(typing.Protocol):
    """Where blocks of requests that end targets outlive all daemons."""

    def write(
        self, name: str, data: bytes | None, version: int
    ) -> Result[None, FeedFault]:
        """Write a row, or remove it if there is no data.

        Nothing is done unless the row still has the version; 0 if it must not be there.
        """
