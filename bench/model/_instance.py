"""Entry instances, and the callers that they serve."""

import attrs

from bench.model._loads import Kind
from cairnferry.policy import ServicePolicy


@attrs.define(eq=False)
class Caller:
    """A caller with its request.

    Attributes
    ----------
    kind : Kind
        Kind of the request.
    started_at : float
        Time in seconds at which the caller first sent the request.
    retries_left : int
        Number of retries that the caller may still make.
    """

    kind: Kind
    started_at: float
    retries_left: int


@attrs.define(eq=False)
class Instance:
    """One run of an entry instance, from its start to its end.

    Attributes
    ----------
    policy : ServicePolicy
        Policy of the instance.
    zone : str
        Availability zone.
    ring_position : float
        Position among the instances of its zone, 0 to 1.
    is_up : bool
        Whether its process has not been killed.
    paused_until : float
        Time in seconds until which its process does not run.
    open_requests : dict of Call to Caller
        Requests accepted and not yet finished.
    waiting : dict of Call to Caller
        Open requests that wait for capacity.
    """

    policy: ServicePolicy
    zone: str
    ring_position: float
    is_up: bool = True
    paused_until: float = 0.0
    open_requests: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
