"""Parse the limit header of a target's answer."""

import re

import attrs

# A decimal number of requests per second without a sign or an exponent. "nan" is
# excluded because every comparison with it is false.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


@attrs.frozen
class LimitFault:
    """A malformed limit header, which has no effect.

    Attributes
    ----------
    text : str
        Value of the header.
    """

    text: str


def read_limit(
    headers: list[tuple[str, str]], names: frozenset[str]
) -> float | LimitFault | None:
    """Parse the limit in the headers of a target's own answer.

    Parameters
    ----------
    headers : list of (str, str)
        Headers as received.
    names : frozenset of str
        Accepted names of the limit header, in lower case.

    Returns
    -------
    float, LimitFault or None
        Requests per second, the lowest of several values; None without such a header.
    """
    values = [value for name, value in headers if name.lower() in names]
    if not values:
        return None
    parts = [part.strip() for value in values for part in value.split(",")]
    if not all(_DECIMAL.fullmatch(part) for part in parts):
        return LimitFault(", ".join(parts))
    return min(float(part) for part in parts)
