"""Load patterns and sites for the comparison of policies."""

import math

import attrs

from bench.model._target import Noise


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes
    ----------
    name : str
        Name of the route.
    share : float
        Share of all requests, 0 to 1.
    work : float
        Mean seconds of work at an idle target of usual speed.
    objective, deadline : float
        Objective and deadline of the response time in seconds.
    idempotent : bool
        Whether the request may run twice.
    rank : int
        Rank in priority; 0 is served first.
    """

    name: str
    share: float
    work: float
    objective: float
    deadline: float
    idempotent: bool
    rank: int


KINDS = (
    Kind("lookup", 0.63, 0.12, 0.3, 1.0, True, 2),
    Kind("order", 0.33, 0.16, 0.4, 1.2, False, 1),
    Kind("artwork", 0.04, 0.048, 0.15, 0.4, True, 1),
)


@attrs.frozen
class Site:
    """The machines of a service, and its requests.

    Attributes
    ----------
    targets, instances, zones : int
        Numbers of targets, entry instances and availability zones.
    slots, queue : int
        Maximum number of requests that a target runs, and that wait there.
    kinds : tuple of Kind
        Kinds of requests.
    far_s : float
        Latency in seconds one way between zones.
    rate : float
        Requests per second at which about half of the slots are in use. The rates of
        loads are multiples of it.
    noise : Noise
        Effect of other workloads on the targets' machines.
    retry_slack : float
        Retries that all instances may make in a window in addition to a share of the
        requests.
    """

    targets: int
    slots: int
    queue: int
    rate: float
    kinds: tuple[Kind, ...]
    noise: Noise = Noise()
    instances: int = 18
    zones: int = 3
    far_s: float = 0.0009
    retry_slack: float = 64.0


SIX_SLOTS = Site(targets=20, slots=6, queue=12, rate=320.0, kinds=KINDS)
# Few slots and little work: one slot is half of a target's capacity.
TWO_SLOTS = Site(
    targets=11,
    slots=2,
    queue=4,
    rate=95.0,
    kinds=(Kind("lookup", 1.0, 0.06, 0.2, 1.2, True, 2),),
    noise=Noise(0.25, 5.0, 0.15),
    instances=13,
    far_s=0.0014,
    retry_slack=56.0,
)
# These sizes match no real deployment. They show whether a constant fits only some
# sizes.
ONE_ZONE = Site(
    targets=12,
    slots=1,
    queue=2,
    rate=170.0,
    kinds=(Kind("quick", 1.0, 0.02, 0.08, 0.4, True, 1),),
    instances=6,
    zones=1,
)
FIVE_ZONES = Site(
    targets=15,
    slots=12,
    queue=12,
    rate=30.0,
    kinds=(
        Kind("long", 0.6, 2.0, 5.0, 12.0, True, 2),
        Kind("order", 0.4, 1.5, 4.0, 10.0, False, 1),
    ),
    instances=20,
    zones=5,
    far_s=0.002,
)
SITES = {
    "six slots": SIX_SLOTS,
    "two slots": TWO_SLOTS,
    "one zone": ONE_ZONE,
    "five zones": FIVE_ZONES,
}


@attrs.frozen
class Load:
    """A load pattern.

    Attributes
    ----------
    rate : float
        Requests per second, as a multiple of the site's rate.
    burst : float
        Factor of the rate in the middle third of the time.
    swing : float
        Relative amplitude of the rate in a wave of 11 s.
    retries : int
        Number of retries of a caller.
    retry_at_once : bool
        Whether callers retry without a delay.
    slow, failing, leaving : float
        Shares of the targets that are five times slower, that fail half of their
        requests at once, and that are draining in the middle third.
    """

    rate: float = 0.6
    burst: float = 1.0
    swing: float = 0.15
    retries: int = 1
    retry_at_once: bool = False
    slow: float = 0.0
    failing: float = 0.0
    leaving: float = 0.0

    def rate_at(self, now: float, length: float) -> float:
        """Return the request rate at a time, as a multiple of the site's rate."""
        rate = self.rate * (1 + self.swing * math.sin(2 * math.pi * now / 11))
        return rate * self.burst if self.in_middle(now, length) else rate

    def in_middle(self, now: float, length: float) -> bool:
        """Return whether a time lies in the middle third."""
        return length / 3 <= now < 2 * length / 3


LOADS = {
    "steady": Load(swing=0.0),
    "wave": Load(rate=1.0, swing=0.4),
    "burst": Load(rate=1.0, burst=2.2),
    "retry storm": Load(rate=1.0, burst=2.0, retries=3, retry_at_once=True),
    "slow targets": Load(rate=0.8, slow=0.2),
    "grey targets": Load(rate=0.8, failing=0.2),
    "scale-in": Load(rate=1.0, leaving=0.3),
}
