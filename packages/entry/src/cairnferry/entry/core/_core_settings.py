"""Settings and protocols of the daemon's core."""

import math
import os

import attrs

from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.http import ListenerLimits
from cairnferry.entry.targets import (
    CallerConvention,
    DefaultCallerConvention,
    DefaultTargetConvention,
    TargetConvention,
)
from cairnferry.policy import LeavingTimes, LimitTolerance, PolicySettings
from cairnferry.settings import Address

# Maximum connections from other daemons unless there are few file descriptors.
PEER_CONNECTIONS = 512
# Memory of an instance that is not for callers: the process itself, its copies of
# tables and the buffers of sockets, in bytes at least and as a share of all.
OWN_BYTES = 72_000_000
OWN_SHARE = 0.47
# Share for callers of an instance that has less than the process needs.
LEAST_SHARE = 0.1


def default_memory_bytes(memory_bytes: float | None) -> float:
    """Return how many bytes callers may make a daemon hold.

    Parameters
    ----------
    memory_bytes : float or None
        Memory of the instance in bytes; None for all that the machine has.
    """
    if memory_bytes is None:
        memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    left = memory_bytes - max(OWN_BYTES, OWN_SHARE * memory_bytes)
    return max(left, LEAST_SHARE * memory_bytes)


@attrs.frozen
class PeerSettings:
    """Settings of the communication with other daemons.

    Attributes
    ----------
    listen : Address
        Address on which the daemon listens for peers.
    advertise : str
        "IP:port" at which other daemons reach it.
    interval_s : float
        Seconds between two rounds of heartbeats.
    fanout : int
        Peers called in a round.
    seeds : tuple of str
        Addresses of peers to call at the start.
    link_bytes_per_s : float
        Rate of the instance's link in bytes per second; infinite if unknown.
    max_connections : int
        Maximum connections from other daemons.
    """

    listen: Address
    advertise: str
    interval_s: float
    fanout: int
    seeds: tuple[str, ...] = ()
    link_bytes_per_s: float = math.inf
    max_connections: int = PEER_CONNECTIONS


@attrs.frozen
class CoreSettings:
    """Checked settings that do not depend on the platform.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this instance.
    callers : Address
        Address on which the daemon listens for callers.
    caller_limits : ListenerLimits
        Limits of callers' connections.
    page_limits : ListenerLimits
        Limits of connections to the pages for the platform and operators.
    bodies : BodyLimits
        Limits of the bodies of callers' requests.
    answer_ttl_s : float
        Seconds for which callers cache a steering answer.
    shard : int
        Number of entry instances for one service; 0 for all.
    peers : PeerSettings
        Settings of the communication with other daemons.
    connect_s : float
        Timeout in seconds to open a connection to a target.
    max_answer_bytes : int
        Maximum size in bytes of the body of a target's response.
    policy : PolicySettings
        Constants of the load balancing policy.
    checks_per_s : float
        Status checks per second and target, over all instances; 0 for no limit.
    leaving : LeavingTimes
        Durations of the phases of the daemon's departure.
    hold_s : float
        Seconds after the start in which requests wait for the first rules; 0 to refuse
        them at once.
    workspace_limits : LimitTolerance
        Tolerance of the limits of workspaces.
    memory_bytes : float
        Most bytes that callers may make the daemon hold.
    bodies_bytes : float
        Most bytes of request bodies among them; infinite for no limit of their own.
    seed : int or None
        Seed of the random number generator; None to use the time.
    """

    name: str
    zone: str
    callers: Address
    caller_limits: ListenerLimits
    page_limits: ListenerLimits
    bodies: BodyLimits
    answer_ttl_s: float
    shard: int
    peers: PeerSettings
    connect_s: float
    max_answer_bytes: int
    policy: PolicySettings
    checks_per_s: float
    leaving: LeavingTimes
    hold_s: float = 0.0
    workspace_limits: LimitTolerance = LimitTolerance()
    memory_bytes: float = math.inf
    bodies_bytes: float = math.inf
    seed: int | None = None


@attrs.frozen
class Conventions:
    """Protocols of callers and targets.

    Attributes
    ----------
    callers : CallerConvention
        Protocol of callers.
    targets : TargetConvention
        Protocol of targets.
    """

    callers: CallerConvention = attrs.field(factory=DefaultCallerConvention)
    targets: TargetConvention = attrs.field(factory=DefaultTargetConvention)
