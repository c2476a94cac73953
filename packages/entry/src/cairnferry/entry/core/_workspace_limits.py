"""The parts of a daemon that limit the requests of workspaces."""

import random
import time

import attrs

from cairnferry.entry.core._core_settings import CoreSettings
from cairnferry.entry.members import Cluster, Gossip, PermitIssuers
from cairnferry.entry.targets import Services
from cairnferry.entry.workspaces import (
    TokenCalls,
    TokenOwner,
    WorkspaceLimiter,
    WorkspaceRegistry,
)
from cairnferry.peers import PeerLinks


@attrs.frozen
class WorkspaceLimits:
    """Both sides of the limits of workspaces.

    Attributes
    ----------
    owner : TokenOwner
        Grants the tokens of the workspaces that this daemon owns.
    limiter : WorkspaceLimiter
        Admits requests that arrive here.
    """

    owner: TokenOwner
    limiter: WorkspaceLimiter

    def maintain(self) -> None:
        """Notice changed members, and close connections that are not used."""
        self.owner.observe()
        self.limiter.calls.close_unused()


def build_workspace_limits(
    cfg: CoreSettings,
    cluster: Cluster,
    gossip: Gossip,
    services: Services,
    workspaces: WorkspaceRegistry,
    links: PeerLinks,
) -> WorkspaceLimits:
    """Build the parts, and let peers query the owner.

    Parameters
    ----------
    cfg : CoreSettings
        Checked settings.
    cluster, gossip : Cluster, Gossip
        View of the other daemons, and exchange with them.
    services : Services
        Provides the revision of the rules in force.
    workspaces : WorkspaceRegistry
        Workspaces in force.
    links : PeerLinks
        Connections of the gossip. Queries use others with the same keys, as they would
        wait for the transfer of rules or tables on these.
    """
    issuers = PermitIssuers(cluster)

    def revision():
        return services.revision

    owner = TokenOwner(
        issuers,
        workspaces,
        revision,
        cfg.workspace_limits,
        lambda: (gossip.answered_at, gossip.answered_far_at),
        gossip.check_member,
        cfg.peers.interval_s,
    )
    gossip.tokens = owner.grant
    own_links = PeerLinks(links.keys, links.meter, links.timeout)
    limiter = WorkspaceLimiter(
        cfg.name,
        cluster,
        issuers,
        owner,
        TokenCalls(cfg.name, cfg.zone, issuers, own_links),
        revision,
        cfg.workspace_limits,
        random.Random(time.time_ns()),
    )
    return WorkspaceLimits(owner, limiter)
