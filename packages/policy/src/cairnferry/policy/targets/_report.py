"""What a target says of its load."""

import attrs


@attrs.frozen
class LoadReport:
    """What a target says of its load.

    Attributes
    ----------
    in_use : float
        Requests that it runs or holds in its own queue.
    pace : float
        How long work takes there at this moment, as a multiple of the usual.
    """

    in_use: float
    slowdown: float = 1.0
