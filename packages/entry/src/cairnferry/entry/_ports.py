"""Ports: interfaces between the daemon and the platform that it runs on.

The default interface and the adapter to another platform implement them. The daemon
does not depend on which of the two is in use.
"""

import typing
from collections.abc import Callable, Collection

import attrs
from attrs.validators import instance_of
from expression import Error, Ok, Result

from cairnferry.coordination import (
    Batch,
    DocumentNews,
    Hold,
    TableReplica,
    TableUpdate,
    VersionSpan,
)
from cairnferry.peers import PeerLink
from cairnferry.records import Route, Service, Target, Workspace


class RulesStatus(typing.Protocol):
    """State of the rules in force at a daemon.

    Attributes
    ----------
    revision : int
        Revision of the rules in force; 0 before the first.
    behind : object or None
        Set once the daemon has received a revision that it cannot apply.
    """

    revision: int
    behind: object | None


class SharedTable(typing.Protocol):
    """Table that daemons replicate from each other.

    Attributes
    ----------
    copy : TableReplica
        Local replica of the table.
    hold : Hold
        Time for which removed rows are retained after an outage of the store.
    settled : VersionSpan
        Versions whose removals are settled.
    """

    copy: TableReplica
    hold: Hold
    settled: VersionSpan

    def extend(self, hold: Hold) -> None:
        """Retain removed rows for some time after an outage of the store."""

    def settle(self, span: VersionSpan) -> bool:
        """Settle the removals in a span; return whether retained rows are dropped."""

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update from another daemon; return whether it was newer."""


class Records(RulesStatus, typing.Protocol):
    """Applies rules and targets from the platform or from a peer.

    Attributes
    ----------
    tables : dict of str to SharedTable
        Tables that daemons replicate from each other.
    """

    tables: dict[str, SharedTable]

    def tasks(self) -> list[Callable[[], None]]:
        """Return the functions that run as long as the daemon does."""

    def rows_from(self, first: int) -> list:
        """Return the change log from a revision on, for a peer."""

    def snapshot(self) -> bytes:
        """Return the rules in force, for a peer."""

    def document_since(self, revision: int) -> DocumentNews:
        """Return the part of the rules that a peer at `revision` lacks."""

    def pull_from(self, link: PeerLink, offered: int) -> None:
        """Fetch from a peer the revisions that this daemon lacks."""


@attrs.frozen
class FeedUnavailable:
    """Error: a call got no answer, or an error answer that it had no effect.

    Attributes
    ----------
    reason : str
        Description of the failure.
    """

    reason: str


@attrs.frozen
class HistoryLost:
    """Error: changes since a version are no longer kept; all rows must be listed."""


FeedFault = FeedUnavailable | HistoryLost


class ChangeFeed(typing.Protocol):
    """Table whose rows can be listed and whose changes can be waited for."""

    def list_all(self) -> Result[Batch, FeedFault]:
        """List all rows."""

    def wait_for_changes(self, version: int, wait_s: float) -> Result[Batch, FeedFault]:
        """Wait for changes after a version, for at most `wait_s` seconds."""


@attrs.frozen
class CallerLimits:
    """Size and time limits of callers' requests.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum size of a request's head and body.
    head_s, idle_s : float
        Maximum time in seconds for a head to arrive, and between two requests.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@attrs.frozen
class Rules:
    """Services, routes and workspaces of one revision.

    Attributes
    ----------
    revision : int
        Revision of the rules.
    services : tuple of Service
        All services.
    routes : tuple of Route
        All routes.
    limits : CallerLimits
        Limits of callers' requests.
    workspaces : tuple of Workspace or None
        All workspaces; None if callers do not authenticate.
    """

    revision: int
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None = None

    def check_references(self) -> Result["Rules", "DecodeFault"]:
        """Return the rules if every service that a route names exists."""
        names = {service.name for service in self.services}
        for route in self.routes:
            for name in route.service_names():
                if name not in names:
                    where = f"route {route.name} ({route.identity})"
                    return Error(DecodeFault(where, f"no {name}"))
        return Ok(self)


@attrs.frozen
class DecodeFault:
    """Error: a document that cannot be decoded.

    Attributes
    ----------
    where, reason : str
        Part of the document, and the fault in it.
    """

    where: str
    reason: str

    def __str__(self):
        return f"{self.where}: {self.reason}"


@attrs.frozen
class RecordDecoders:
    """Decoders of the platform's documents.

    Attributes
    ----------
    rules : callable
        Decodes the bytes of the one document that holds all rules.
    target : callable
        Decodes a target's row from its name and bytes.
    evacuated : callable
        Returns the availability zone that a row beside the rules evacuates, from the
        row's key; None if it evacuates none.
    redact : callable, optional
        Returns the document that holds all rules without secrets. A peer of an earlier
        release may send one with secrets.
    """

    rules: Callable[[bytes], Result[Rules, DecodeFault]]
    target: Callable[[str, bytes], Result[Target, DecodeFault]]
    evacuated: Callable[[str], str | None]
    redact: Callable[[bytes], bytes] = lambda document: document


@attrs.frozen
class EntryRow:
    """Row of an entry instance in the registry.

    Attributes
    ----------
    name, zone : str
        Name and availability zone.
    peer_address, caller_address : str
        "IP:port" for other daemons and for callers; a registry that the platform
        maintains may lack the second.
    leaving : bool
        Whether the platform is about to remove the instance.
    """

    name: str = attrs.field(validator=instance_of(str))
    zone: str = attrs.field(validator=instance_of(str))
    peer_address: str = attrs.field(validator=instance_of(str))
    caller_address: str = attrs.field(default="", validator=instance_of(str))
    leaving: bool = attrs.field(default=False, validator=instance_of(bool))


@attrs.frozen
class RegistryContents:
    """Contents of the registry.

    Attributes
    ----------
    key : bytes or None
        Shared key of the daemons; None if the registry holds none and the daemons get
        it from another source.
    entries : tuple of EntryRow
        All enrolled instances, including those that are gone.
    """

    key: bytes | None
    entries: tuple[EntryRow, ...]


@attrs.frozen
class KeyExists:
    """Error: the registry already holds a key, so nothing was written."""


class Registry(typing.Protocol):
    """Registry through which entry instances find each other."""

    def write(self, me: EntryRow) -> Result[None, FeedFault]:
        """Write this instance's row."""

    def write_first(
        self, me: EntryRow, key: bytes
    ) -> Result[None, FeedFault | KeyExists]:
        """Write this instance's row and the daemons' key if there is no key yet."""

    def restore_key(self, key: bytes) -> Result[None, FeedFault]:
        """Write the daemons' key again if it is known to be missing."""

    def write_all(self, entries: Collection[EntryRow]) -> Result[None, FeedFault]:
        """Write the rows of instances that joined through this one, in few calls."""

    def read(self) -> Result[RegistryContents, FeedFault]:
        """Return the contents."""

    def remove(self, names: Collection[str]) -> Result[None, FeedFault]:
        """Remove the rows of instances that are gone.

        A row that is rewritten in the meantime stays, because the call may take
        effect seconds after it was made, when the instance is back.
        """


class BlockRows(typing.Protocol):
    """Persistent storage for blocks of requests that crash targets.

    Stored blocks survive a restart of all daemons.
    """

    def write(
        self, name: str, data: bytes | None, version: int
    ) -> Result[None, FeedFault]:
        """Write a row, or remove it if `data` is None.

        Nothing is done unless the row still has this version; version 0 means that the
        row must not exist.
        """
