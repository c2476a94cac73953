"""Advisory headers by which a target describes its own state."""

import attrs


@attrs.frozen
class AdvisoryFault:
    """A malformed advisory header, which has no effect.

    Attributes
    ----------
    header, text : str
        Name and value of the header.
    """

    header: str
    text: str


@attrs.frozen
class TargetAdvisory:
    """Advisory of a target about itself, from the headers of a response.

    Attributes
    ----------
    back_off_s : float
        Seconds for which the target requests that this daemon sends it no requests; 0
        if it requests no back-off.
    leaving_s : float
        Seconds for which the announcement that the target is leaving is valid; 0 if
        there is none. It is infinite if each run of a target has its own identity.
    faults : tuple of AdvisoryFault
        Malformed headers.
    """

    back_off_s: float = 0.0
    leaving_s: float = 0.0
    faults: tuple[AdvisoryFault, ...] = ()


NO_ADVISORY = TargetAdvisory()
