"""Reading the limit that a target names in an answer."""

import re

import attrs

from cairnferry.policy import NO_LIMIT

# A decimal number of requests a second, and nothing else: no sign, no exponent, no
# "nan", which would compare with nothing.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


@attrs.frozen
class LimitFault:
    """A limit that cannot be read; it changes nothing.

    Attributes
    ----------
    text : str
        What the answer says.
    """

    text: str


def read_limit(
    headers: list[tuple[str, str]], names: frozenset[str], may_lift: bool
) -> float | LimitFault | None:
    """Read the limit from the headers of a target's own answer.

    Parameters
    ----------
    headers : list of (str, str)
        As received.
    names : frozenset of str
        Names of the header, in lower case.
    may_lift : bool
        Whether an answer without the header says that there is no limit. Not each does:
        one that was made before the target looked at its need tells nothing of it.

    Returns
    -------
    float, LimitFault or None
        Requests a second, the lowest if there are several; `NO_LIMIT`; None if the
        answer says nothing of limits.
    """
    words = [
        part.strip()
        for name, value in headers
        if name.lower() in names
        for part in value.split(",")
    ]
    if not words:
        return NO_LIMIT if may_lift else None
    if not all(_DECIMAL.fullmatch(word) for word in words):
        return LimitFault(", ".join(words))
    return min(float(word) for word in words)
