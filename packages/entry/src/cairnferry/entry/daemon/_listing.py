"""The platform's list of instances as a registry, and its word on targets."""

from collections.abc import Callable, Collection

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi import InstanceList
from cairnferry.coordination import Note
from cairnferry.entry._ports import (
    Enrolled,
    EntryRow,
    FeedFault,
    FeedUnavailable,
    KeyExists,
)
from cairnferry.entry.members import Cluster, Gossip
from cairnferry.entry.targets import Services
from cairnferry.policy import DrainSource

ENTRY_ROLE = "entry"
TARGET_ROLE = "target"
PLATFORM_NOTE_S = 15.0


@attrs.define
class ListedRegistry:
    """Registry that the platform itself keeps: its list of instances, which lags.

    The platform enters each instance that it starts and drops those it took away, so
    that writing and removing do nothing. The daemons' key is in a file.

    Parameters
    ----------
    instances : InstanceList
        The list.
    note_targets : callable
        Called with the addresses of the targets that are leaving, at each reading.
    """

    instances: InstanceList
    note_targets: Callable[[set[str]], None]

    def write(self, me: EntryRow) -> Result[None, FeedFault]:
        """Do nothing: the platform lists this instance."""
        return Ok(None)

    def write_first(
        self, me: EntryRow, key: bytes
    ) -> Result[None, FeedFault | KeyExists]:
        """Refuse the key: there is one in a file."""
        return Error(KeyExists())

    def restore_key(self, key: bytes) -> Result[None, FeedFault]:
        """Do nothing: the daemons' key is in a file."""
        return Ok(None)

    def write_all(self, entries: Collection[EntryRow]) -> Result[None, FeedFault]:
        """Do nothing: the platform lists these instances."""
        return Ok(None)

    def read(self) -> Result[Enrolled, FeedFault]:
        """Give the entry instances of the list."""
        fetched = self.instances.fetch()
        if fetched.is_error():
            return Error(FeedUnavailable(fetched.error.reason))
        listed = fetched.ok
        self.note_targets(
            {i.address for i in listed if i.role == TARGET_ROLE and i.leaving}
        )
        entries = (
            EntryRow(i.name, i.zone, i.address, leaving=i.leaving)
            for i in listed
            if i.role == ENTRY_ROLE
        )
        return Ok(Enrolled(None, tuple(entries)))

    def remove(self, names: Collection[str]) -> Result[None, FeedFault]:
        """Do nothing: the platform drops what it took away."""
        return Ok(None)


@attrs.define
class LeavingTargets:
    """Tells all daemons of targets that the platform calls leaving.

    Parameters
    ----------
    cluster : Cluster
        This daemon's view.
    gossip : Gossip
        Spreads the news.
    services : Services
        The targets in force.
    """

    cluster: Cluster
    gossip: Gossip
    services: Services

    def note(self, addresses: set[str]) -> None:
        """Take in the addresses of targets that are leaving."""
        for target in self.services.targets():
            if f"{target.host}:{target.port}" in addresses:
                source = str(DrainSource.PLATFORM)
                note = Note(target.identity, source, PLATFORM_NOTE_S)
                if self.cluster.post(note):
                    self.gossip.trigger_round()
