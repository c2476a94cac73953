"""Headers of requests and answers as they pass through."""

import re

import attrs

from cairnferry.records import Priority

TIMEOUT_HEADER = "cairnferry-timeout"
ATTEMPT_HEADER = "cairnferry-attempt"
OUTCOME_HEADER = "cairnferry-outcome"
PRIORITY_HEADER = "priority"
VIA = "1.1 cairnferry"
MAX_TIMEOUT_MS = 600_000
# Urgency of RFC 9218 from which a request counts as background work.
BACKGROUND_URGENCY = 5

# RFC 9110, section 7.6.1: these concern one connection only.
_HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
_REPLACED_IN_REQUEST = frozenset(
    ["host", "content-length", "expect", TIMEOUT_HEADER, ATTEMPT_HEADER, "via"]
)
# The outcome is the system's word; a target's would be taken for it.
_REPLACED_IN_ANSWER = frozenset(["content-length", OUTCOME_HEADER, "via"])
_URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:,|\Z)")


class BadDeadline(ValueError):
    """The deadline header is not a whole number of milliseconds in range."""


@attrs.frozen
class RequestHead:
    """What the headers of a request say to the system itself.

    Attributes
    ----------
    timeout_ms : int or None
        Time that the caller gives the request, in milliseconds.
    is_repeated : bool
        Whether a layer above already repeats it.
    priority : Priority or None
        Class that the caller asks for.
    via : str
        Value of the Via header to send on.
    forwarded : list of (str, str)
        Headers to send on.
    """

    timeout_ms: int | None
    is_repeated: bool
    priority: Priority | None
    via: str
    forwarded: list[tuple[str, str]]


def read_request_head(pairs: list[tuple[str, str]]) -> RequestHead:
    """Sort the headers of a request.

    Raises
    ------
    BadDeadline
        If the deadline cannot be read. Ignoring it would run work too late.
    """
    timeout_ms = None
    is_repeated = False
    priority = None
    via = VIA
    forwarded = []
    dropped = _named_by_connection(pairs)
    for name, value in pairs:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in dropped:
            continue
        if lower not in _REPLACED_IN_REQUEST:
            forwarded.append((name, value))
            if lower == PRIORITY_HEADER:
                priority = _read_priority(value)
        elif lower == TIMEOUT_HEADER:
            timeout_ms = _read_timeout(value)
        elif lower == ATTEMPT_HEADER:
            is_repeated = value.strip() != "1"
        elif lower == "via":
            via = f"{value}, {VIA}"
    return RequestHead(timeout_ms, is_repeated, priority, via, forwarded)


def answer_headers(pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Give the headers of a target's answer that go on to the caller."""
    dropped = _named_by_connection(pairs)
    kept = []
    for name, value in pairs:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in dropped or lower in _REPLACED_IN_ANSWER:
            continue
        kept.append((name, value))
    kept.append(("Via", VIA))
    return kept


def _named_by_connection(pairs):
    for name, value in pairs:
        if name.lower() == "connection":
            return {token.strip().lower() for token in value.split(",")}
    return ()


def _read_timeout(value):
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        raise BadDeadline(value)
    milliseconds = int(value)
    if not 0 < milliseconds <= MAX_TIMEOUT_MS:
        raise BadDeadline(value)
    return milliseconds


def _read_priority(value):
    found = _URGENCY.search(value)
    if found and int(found.group(1)) >= BACKGROUND_URGENCY:
        return Priority.BACKGROUND
    return Priority.INTERACTIVE
