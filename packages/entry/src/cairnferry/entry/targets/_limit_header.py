"""Reading the limit that a target names in an answer."""

import re

import attrs

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
    headers: list[tuple[str, str]], names: frozenset[str]
) -> float | LimitFault | None:
    """Read the limit from the headers of a target's own answer.

    Parameters
    ----------
    headers : list of (str, str)
        As received.
    names : frozenset of str
        Names of the header, in lower case.

    Returns
    -------
    float, LimitFault or None
        Requests a second, the lowest if there are several; None if none is named.
    """
    values = [value for name, value in headers if name.lower() in names]
    if not values:
        return None
    words = [word.strip() for value in values for word in value.split(",")]
    if not all(_DECIMAL.fullmatch(word) for word in words):
        return LimitFault(", ".join(words))
    return min(float(word) for word in words)
