"""One start of an entry instance, and callers that it has taken."""

import attrs

from bench.model._loads import Kind
from cairnferry.policy import ServicePolicy


@attrs.define(eq=False)
class Caller:
    """One caller with its request.

    Attributes
    ----------
    kind : Kind
        What it asks for.
    began : float
        Time in seconds of its first try.
    tries_left : int
        Times that it may still come back.
    """

    kind: Kind
    began: float
    tries_left: int


@attrs.define(eq=False)
class Instance:
    """One start of an entry instance.

    Attributes
    ----------
    policy : ServicePolicy
        Its decisions.
    zone : str
        Availability zone.
    place : float
        Where among those of its zone it stands, 0 to 1.
    is_up : bool
        Whether its process has not been killed.
    held_until : float
        Time in seconds up to which its process does not run.
    open : dict of Call to Caller
        Requests that it has taken and not ended.
    waiting : dict of Call to Caller
        Those of them that wait for room.
    """

    policy: ServicePolicy
    zone: str
    place: float
    is_up: bool = True
    held_until: float = 0.0
    open: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
