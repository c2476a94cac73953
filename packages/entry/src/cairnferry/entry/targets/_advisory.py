"""Reading what a target says of itself in the headers of an answer."""

import re
from collections.abc import Container
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from cairnferry.policy import NO_ADVISORY, AdvisoryFault, TargetAdvisory

RETRY_AFTER = "retry-after"
# Longest rest in seconds that is believed: a target with a wrong header would be out of
# use to its end.
MAX_REST_S = 3600.0
LEAVING = "1"
NOT_LEAVING = "0"
# A decimal number, and nothing else: no sign, no exponent, no "nan", which would
# compare with nothing.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?", re.ASCII)


def read_advisory(
    status: int,
    headers: list[tuple[str, str]],
    rest_statuses: Container[int],
    leaving_names: Container[str],
    leaving_s: float,
) -> TargetAdvisory:
    """Read the headers of a target's own answer.

    Parameters
    ----------
    status : int
        Of the answer.
    headers : list of (str, str)
        As received.
    rest_statuses : container of int
        Statuses beside which Retry-After is a wish of the target.
    leaving_names : container of str
        Names of the header by which it says that it is leaving, in lower case.
    leaving_s : float
        Seconds for which that holds.
    """
    rest, is_leaving, faults = 0.0, False, []
    for name, value in headers:
        word, name = value.strip(), name.lower()
        if name == RETRY_AFTER and status in rest_statuses:
            seconds = _seconds(word)
            if seconds is None:
                faults.append(AdvisoryFault(name, word))
            else:
                rest = max(rest, seconds)
        elif name in leaving_names:
            is_leaving = is_leaving or word == LEAVING
            if word not in (LEAVING, NOT_LEAVING):
                faults.append(AdvisoryFault(name, word))
    if not rest and not is_leaving and not faults:
        return NO_ADVISORY
    return TargetAdvisory(rest, leaving_s if is_leaving else 0.0, tuple(faults))


def _seconds(text):
    """Read seconds or a date of HTTP; None if it is neither."""
    if _DECIMAL.fullmatch(text):
        return min(float(text), MAX_REST_S)
    try:
        date = parsedate_to_datetime(text)
    except ValueError:
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    left = (date - datetime.now(UTC)).total_seconds()
    return min(max(0.0, left), MAX_REST_S)
