"""Parse the advisory that a target sends in the headers of an answer."""

import re
from collections.abc import Container
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from cairnferry.policy import NO_ADVISORY, AdvisoryFault, TargetAdvisory

RETRY_AFTER = "retry-after"
# Maximum back-off in seconds. Without it, a target with a wrong header would remain
# unused until it terminates.
MAX_BACK_OFF_S = 3600.0
LEAVING = "1"
NOT_LEAVING = "0"
# A decimal number without a sign or an exponent. "nan" is excluded because every
# comparison with it is false.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?", re.ASCII)


def read_advisory(
    status: int,
    headers: list[tuple[str, str]],
    back_off_statuses: Container[int],
    leaving_names: Container[str],
    leaving_s: float,
) -> TargetAdvisory:
    """Parse the advisory in the headers of a target's own answer.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : list of (str, str)
        Headers as received.
    back_off_statuses : container of int
        Statuses with which Retry-After requests a back-off for the whole target.
    leaving_names : container of str
        Names of the header that announces that the target is leaving, in lower case.
    leaving_s : float
        Seconds for which that announcement is valid.

    Returns
    -------
    TargetAdvisory
        Back-off, announcement and malformed headers; `NO_ADVISORY` if there are none.
    """
    back_off, is_leaving, faults = 0.0, False, []
    for name, value in headers:
        text, name = value.strip(), name.lower()
        if name == RETRY_AFTER and status in back_off_statuses:
            seconds = _parse_delay(text)
            if seconds is None:
                faults.append(AdvisoryFault(name, text))
            else:
                back_off = max(back_off, seconds)
        elif name in leaving_names:
            is_leaving = is_leaving or text == LEAVING
            if text not in (LEAVING, NOT_LEAVING):
                faults.append(AdvisoryFault(name, text))
    if not back_off and not is_leaving and not faults:
        return NO_ADVISORY
    return TargetAdvisory(back_off, leaving_s if is_leaving else 0.0, tuple(faults))


def _parse_delay(text):
    """Return the delay in seconds, from a number or an HTTP date; None for others."""
    if _DECIMAL.fullmatch(text):
        return min(float(text), MAX_BACK_OFF_S)
    try:
        date = parsedate_to_datetime(text)
    except ValueError:
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    left = (date - datetime.now(UTC)).total_seconds()
    return min(max(0.0, left), MAX_BACK_OFF_S)
