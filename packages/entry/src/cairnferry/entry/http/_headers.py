"""Headers of forwarded requests and answers."""

import re

import attrs

from cairnferry.records import Priority

TIMEOUT_HEADER = "cairnferry-timeout"
ATTEMPT_HEADER = "cairnferry-attempt"
OUTCOME_HEADER = "cairnferry-outcome"
WORKSPACE_HEADER = "cairnferry-workspace"
AUTHORIZATION = "authorization"
PRIORITY_HEADER = "priority"
VIA = "1.1 cairnferry"
MAX_TIMEOUT_MS = 600_000
# Lowest urgency value (RFC 9218) of requests that count as background work.
BACKGROUND_URGENCY = 5

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
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
# The outcome header is set by the load balancer only. A target's value could not be
# distinguished from it.
_REPLACED_IN_ANSWER = frozenset(["content-length", OUTCOME_HEADER, "via"])
_URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:,|\Z)")


class BadDeadline(ValueError):
    """The deadline header is not a whole number of milliseconds in range."""


@attrs.frozen
class RequestHead:
    """Parsed headers of a request.

    Attributes
    ----------
    timeout_ms : int or None
        Time limit that the caller sets for the request, in milliseconds.
    is_retry : bool
        Whether the request is already a retry by a layer above.
    priority : Priority or None
        Priority class that the caller requests.
    via : str
        Value of the Via header to forward.
    forwarded : list of (str, str)
        Headers to forward.
    request_id : str or None
        Identifies the request in logs and answers.
    host : str or None
        Value of the Host header.
    credentials : str or None
        Value of the Authorization header.
    """

    timeout_ms: int | None
    is_retry: bool
    priority: Priority | None
    via: str
    forwarded: list[tuple[str, str]]
    request_id: str | None = None
    host: str | None = None
    credentials: str | None = attrs.field(default=None, repr=False)


@attrs.frozen
class FieldNames:
    """Names, in lower case, of the request headers for the load balancer itself.

    Attributes
    ----------
    timeout : str
        Header with the time limit that the caller sets, in milliseconds.
    attempt : str or None
        Header with the number of the attempt by a layer above.
    request_id : str or None
        Header that identifies the request.
    workspace : str
        Header that tells targets the workspace of the caller.
    """

    timeout: str
    attempt: str | None = None
    request_id: str | None = None
    workspace: str = WORKSPACE_HEADER


DEFAULT_FIELDS = FieldNames(TIMEOUT_HEADER, ATTEMPT_HEADER)


def read_request_head(
    pairs: list[tuple[str, str]], names: FieldNames = DEFAULT_FIELDS
) -> RequestHead:
    """Parse the headers of a request.

    Raises
    ------
    BadDeadline
        If the deadline cannot be parsed. If it were ignored, the request could run
        after its caller has given up.
    """
    found = {}
    forwarded = []
    dropped = _connection_options(pairs)
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
        is_retry=found.get(names.attempt, "1").strip() != "1",
        priority=None if priority is None else _read_priority(priority),
        via=f"{via}, {VIA}" if via else VIA,
        forwarded=forwarded,
        request_id=found.get(names.request_id),
        host=found.get("host"),
        credentials=found.get("authorization"),
    )


def end_to_end_headers(
    pairs: list[tuple[str, str]], timeout_ms: int, names: FieldNames = DEFAULT_FIELDS
) -> list[tuple[str, str]]:
    """Return the headers of a request for another daemon, with another time limit.

    Parameters
    ----------
    pairs : list of (str, str)
        Headers as the caller sent them.
    timeout_ms : int
        Time left in milliseconds.
    names : FieldNames, optional
        Names of the headers for the load balancer.
    """
    dropped = _connection_options(pairs)
    excluded = {"host", "content-length", "expect", names.timeout}
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in dropped
        and name.lower() not in excluded
    ]
    return [*kept, (names.timeout, str(max(1, timeout_ms)))]


def without_identity(
    pairs: list[tuple[str, str]], names: FieldNames = DEFAULT_FIELDS
) -> list[tuple[str, str]]:
    """Return headers without credentials and without a caller's claim of a workspace.

    Some servers treat ``_`` and ``-`` in names alike, so that a target might accept
    the claim in either form.
    """
    replaced = (AUTHORIZATION, names.workspace)
    return [
        (name, value)
        for name, value in pairs
        if name.lower().replace("_", "-") not in replaced
    ]


def answer_headers(pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a target's answer to relay to the caller."""
    dropped = _connection_options(pairs)
    kept = []
    for name, value in pairs:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in dropped or lower in _REPLACED_IN_ANSWER:
            continue
        kept.append((name, value))
    kept.append(("Via", VIA))
    return kept


def _connection_options(pairs):
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
