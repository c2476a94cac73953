"""What a target says of itself beside its answer."""

import attrs


@attrs.frozen
class AdvisoryFault:
    """A header that cannot be read; it changes nothing.

    Attributes
    ----------
    header, text : str
        Its name, and what it says.
    """

    header: str
    text: str


@attrs.frozen
class TargetAdvisory:
    """What an answer says of its target.

    Attributes
    ----------
    rest_s : float
        Seconds for which the target wants no requests of this daemon; 0 if it does not
        say so.
    leaving_s : float
        Seconds for which its word that it is leaving holds; infinite where each start
        of a target has a name of its own, 0 if it does not say so.
    faults : tuple of AdvisoryFault
        What cannot be read.
    """

    back_off_s: float = 0.0
    leaving_s: float = 0.0
    faults: tuple[AdvisoryFault, ...] = ()


NO_ADVISORY = TargetAdvisory()
