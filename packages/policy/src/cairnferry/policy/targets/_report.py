"""Load reports of targets."""

import attrs


@attrs.frozen
class LoadReport:
    """Load that a target reports.

    Attributes
    ----------
    in_use : float
        Requests that the target runs or has in its own queue.
    slowdown : float
        Current duration of work at the target, as a multiple of the usual duration.
    """

    in_use: float
    slowdown: float = 1.0
