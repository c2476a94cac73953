"""The platform's list of instances as a registry, and its leaving targets."""

from collections.abc import Callable, Collection

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi import InstanceList
from cairnferry.coordination import Note
from cairnferry.entry._ports import (
    EntryRow,
    FeedFault,
    FeedUnavailable,
    KeyExists,
    RegistryContents,
)
from cairnferry.entry.members import Cluster, Gossip
from cairnferry.entry.targets import Services
from cairnferry.policy import DrainSource

ENTRY_ROLE = "entry"
TARGET_ROLE = "target"
# Seconds for which a note on a leaving target is valid.
PLATFORM_NOTE_S = 15.0


@attrs.define
class ListedRegistry:
    """Registry that the platform maintains: its list of instances, which lags behind.

    The platform adds each instance that it starts and removes each one that it stops,
    so that writes and removals do nothing here. The daemons' key is in a file.

    Parameters
    ----------
    instances : InstanceList
        Client of the platform's list.
    on_leaving_targets : callable
        Called with the addresses of all leaving targets, at each read of the list.
    """

    instances: InstanceList
    on_leaving_targets: Callable[[set[str]], None]

    def write(self, me: EntryRow) -> Result[None, FeedFault]:
        """Do nothing: the platform lists this instance."""
        return Ok(None)

    def write_first(
        self, me: EntryRow, key: bytes
    ) -> Result[None, FeedFault | KeyExists]:
        """Return `KeyExists`: the daemons' key is in a file."""
        return Error(KeyExists())

    def restore_key(self, key: bytes) -> Result[None, FeedFault]:
        """Do nothing: the daemons' key is in a file."""
        return Ok(None)

    def write_all(self, entries: Collection[EntryRow]) -> Result[None, FeedFault]:
        """Do nothing: the platform lists these instances."""
        return Ok(None)

    def read(self) -> Result[RegistryContents, FeedFault]:
        """Return the entry instances of the list."""
        fetched = self.instances.fetch()
        if fetched.is_error():
            return Error(FeedUnavailable(fetched.error.reason))
        listed = fetched.ok
        self.on_leaving_targets(
            {i.address for i in listed if i.role == TARGET_ROLE and i.leaving}
        )
        entries = (
            EntryRow(i.name, i.zone, i.address, leaving=i.leaving)
            for i in listed
            if i.role == ENTRY_ROLE
        )
        return Ok(RegistryContents(None, tuple(entries)))

    def remove(self, names: Collection[str]) -> Result[None, FeedFault]:
        """Do nothing: the platform removes the instances that it stopped."""
        return Ok(None)


@attrs.define
class LeavingTargets:
    """Reports targets that the platform lists as leaving to all daemons.

    Parameters
    ----------
    cluster : Cluster
        View of the daemons, whose notes it extends.
    gossip : Gossip
        Spreads the notes.
    services : Services
        Targets in force at this daemon.
    """

    cluster: Cluster
    gossip: Gossip
    services: Services

    def report(self, addresses: set[str]) -> None:
        """Post notes on leaving targets, given their addresses as "host:port"."""
        for target in self.services.targets():
            if f"{target.host}:{target.port}" in addresses:
                source = str(DrainSource.PLATFORM)
                note = Note(target.identity, source, PLATFORM_NOTE_S)
                if self.cluster.post(note):
                    self.gossip.trigger_round()
