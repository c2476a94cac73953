"""Load patterns that policies are compared over."""

import math

import attrs


@attrs.frozen
class Kind:
    """Requests that are alike.

    Attributes
    ----------
    name : str
        Name of the route.
    share : float
        Part of all requests.
    work : float
        Mean seconds of work at an idle target of usual pace.
    objective, deadline : float
        Seconds.
    idempotent : bool
        Whether it may run twice.
    rank : int
        0 goes first.
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
class Load:
    """A load pattern.

    Attributes
    ----------
    rate : float
        Requests a second.
    burst : float
        Factor in the middle third of the time.
    swing : float
        Part by which the rate swings in a wave of 11 s.
    retries : int
        Times that a caller tries again.
    at_once : bool
        Whether callers come back without waiting.
    slow, failing, leaving : float
        Parts of the targets that are five times slower, fail half of their requests
        at once, or leave in the middle third.
    """

    rate: float = 190.0
    burst: float = 1.0
    swing: float = 0.15
    retries: int = 1
    at_once: bool = False
    slow: float = 0.0
    failing: float = 0.0
    leaving: float = 0.0

    def rate_at(self, now: float, length: float) -> float:
        """Give the requests a second at a time."""
        rate = self.rate * (1 + self.swing * math.sin(2 * math.pi * now / 11))
        return rate * self.burst if self.in_middle(now, length) else rate

    def in_middle(self, now: float, length: float) -> bool:
        """Tell whether a time lies in the middle third."""
        return length / 3 <= now < 2 * length / 3


LOADS = {
    "steady": Load(swing=0.0),
    "wave": Load(rate=320.0, swing=0.4),
    "burst": Load(rate=320.0, burst=2.2),
    "retry storm": Load(rate=320.0, burst=2.0, retries=3, at_once=True),
    "slow targets": Load(rate=260.0, slow=0.2),
    "grey targets": Load(rate=260.0, failing=0.2),
    "scale-in": Load(rate=320.0, leaving=0.3),
}
