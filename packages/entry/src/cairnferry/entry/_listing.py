"""What the platform's list of instances says, as far as it can be trusted."""

import logging

import attrs

from cairnferry.cloudapi import InstanceList
from cairnferry.coordination import Note
from cairnferry.entry._cluster import Cluster, Listed
from cairnferry.entry._gossip import Gossip
from cairnferry.entry._services import Services
from cairnferry.policy import DrainSource

ENTRY_ROLE = "entry"
TARGET_ROLE = "target"
PLATFORM_NOTE_S = 15.0

log = logging.getLogger(__name__)


@attrs.define
class Listing:
    """Takes the platform's list as a seed of membership and a word on targets.

    Parameters
    ----------
    instances : InstanceList
        The list, which lags.
    cluster : Cluster
        This daemon's view.
    gossip : Gossip
        Gets addresses to try.
    services : Services
        The targets in force.
    """

    instances: InstanceList
    cluster: Cluster
    gossip: Gossip
    services: Services

    def refresh(self) -> None:
        """Read the list once."""
        fetched = self.instances.fetch()
        if fetched.is_error():
            log.debug("instance list", extra={"why": fetched.error.reason})
            return
        entries = [i for i in fetched.ok if i.role == ENTRY_ROLE]
        self.cluster.listed = {i.name: Listed(i.zone, i.leaving) for i in entries}
        self.gossip.strangers = {i.address for i in entries if not i.leaving}
        leaving = {i.address for i in fetched.ok if i.role == TARGET_ROLE and i.leaving}
        self._note_leaving(leaving)

    def _note_leaving(self, addresses):
        for target in self.services.targets():
            if f"{target.host}:{target.port}" in addresses:
                source = str(DrainSource.PLATFORM)
                note = Note(target.name, source, PLATFORM_NOTE_S)
                if self.cluster.post(note):
                    self.gossip.hurry()
