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
    request_id : str or None
        Identifies the request in logs and answers.
    host : str or None
        Host that the caller named.
    credentials : str or None
        By which the caller proves who it is.
    """

    timeout_ms: int | None
    is_repeated: bool
    priority: Priority | None
    via: str
    forwarded: list[tuple[str, str]]
    request_id: str | None = None
    host: str | None = None
    credentials: str | None = None


@attrs.frozen
class FieldNames:
    """Names, in lower case, of the headers that speak to the system itself.

    Attributes
    ----------
    timeout : str
        Time that the caller gives the request, in milliseconds.
    attempt : str or None
        Number of the attempt of a layer above.
    request_id : str or None
        Identifies the request.
    """

    timeout: str
    attempt: str | None = None
    request_id: str | None = None


OWN_FIELDS = FieldNames(TIMEOUT_HEADER, ATTEMPT_HEADER)


def read_request_head(
    pairs: list[tuple[str, str]], names: FieldNames = OWN_FIELDS
) -> RequestHead:
    """Sort the headers of a request.

    Raises
    ------
    BadDeadline
        If the deadline cannot be read. Ignoring it would run work too late.
    """
    found = {}
    forwarded = []
    dropped = _named_by_connection(pairs)
    for name, value in pairs:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in dropped:
            continue
        found.setdefault(lower, value)
        if lower not in _REPLACED_IN_REQUEST and lower != names.timeout:
            forwarded.append((name, value))
    timeout = found.get(names.timeout)
    priority = found.get(PRIORITY_HEADER)
    via = found.get("via")
    return RequestHead(
        timeout_ms=None if timeout is None else _read_timeout(timeout),
        is_repeated=found.get(names.attempt, "1").strip() != "1",
        priority=None if priority is None else _read_priority(priority),
        via=f"{via}, {VIA}" if via else VIA,
        forwarded=forwarded,
        request_id=found.get(names.request_id),
        host=found.get("host"),
        credentials=found.get("authorization"),
    )


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
