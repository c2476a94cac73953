"""Settings and conventions that a daemon's core is built from."""

import math

import attrs

from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.http import Limits
from cairnferry.entry.targets import (
    CallerConvention,
    DefaultCallerConvention,
    DefaultTargetConvention,
    TargetConvention,
)
from cairnferry.policy import PolicySettings
from cairnferry.settings import Address


@attrs.frozen
class LeavingTimes:
    """How long a daemon that leaves goes on.

    Attributes
    ----------
    serve_s : float
        Seconds for which it takes new requests: callers still hold old answers.
    limit_s : float
        Further seconds for requests in progress to end.
    """

    serve_s: float
    limit_s: float


@attrs.frozen
class PeerSettings:
    """How a daemon speaks to others.

    Attributes
    ----------
    listen : Address
        Where it listens.
    advertise : str
        "IP:port" at which others reach it.
    interval_s : float
        Seconds between two rounds of heartbeats.
    fanout : int
        Peers called in a round.
    seeds : tuple of str
        Addresses to try at the start.
    link_bytes_per_s : float
        Rate of the instance's link; infinite if it is not known.
    """

    listen: Address
    advertise: str
    interval_s: float
    fanout: int
    seeds: tuple[str, ...] = ()
    link_bytes_per_s: float = math.inf


@attrs.frozen
class CoreSettings:
    """Checked settings that do not depend on the platform.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this instance.
    callers : Address
        Where callers connect.
    caller_limits : Limits
        Limits of their connections.
    page_limits : Limits
        Limits of connections to the pages for the platform and operators.
    bodies : BodyLimits
        Limits of their requests' bodies.
    answer_ttl_s : float
        Seconds for which callers keep a steering answer.
    shard : int
        Entry instances for one service; 0 for all.
    peers : PeerSettings
        How to speak to other daemons.
    connect_s : float
        Seconds to open a connection to a target.
    max_answer_bytes : int
        Longest body of a target's answer.
    policy : PolicySettings
        Constants of the decisions.
    checks_per_s : float
        Status checks a second and target, over all instances; 0 for no limit.
    leaving : LeavingTimes
        How long a daemon that leaves goes on.
    seed : int or None
        Seed of the random choices.
    """

    name: str
    zone: str
    callers: Address
    caller_limits: Limits
    page_limits: Limits
    bodies: BodyLimits
    answer_ttl_s: float
    shard: int
    peers: PeerSettings
    connect_s: float
    max_answer_bytes: int
    policy: PolicySettings
    checks_per_s: float
    leaving: LeavingTimes
    seed: int | None = None


@attrs.frozen
class Conventions:
    """How callers and targets are spoken to."""

    callers: CallerConvention = attrs.field(factory=DefaultCallerConvention)
    targets: TargetConvention = attrs.field(factory=DefaultTargetConvention)
