"""Answers that the load balancer generates itself.

The body contains problem details (RFC 9457), Proxy-Status (RFC 9209) names the cause,
and Retry-After (RFC 9110) says when to retry. Cairnferry-Outcome says whether the
request may have run, for which there is no standard header.
"""

import enum
import json
import math

import attrs

from cairnferry.policy import Cause

OUTCOME_HEADER = "Cairnferry-Outcome"
PROBLEM_TYPE = "application/problem+json"
PROXY_NAME = "cairnferry"


class RequestOutcome(enum.StrEnum):
    """Whether a request without an answer from a target may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Problem(enum.Enum):
    """Faults that are found before a service is selected.

    Values are the HTTP status, its reason phrase, the name of the fault, the error
    type of Proxy-Status, and the seconds of Retry-After or None.
    """

    MALFORMED = (400, "Bad Request", "malformed", "http_request_error", None)
    AMBIGUOUS_FRAMING = (
        400,
        "Bad Request",
        "ambiguous-framing",
        "http_request_error",
        None,
    )
    HEAD_TOO_LARGE = (
        431,
        "Request Header Fields Too Large",
        "head-too-large",
        "http_request_error",
        None,
    )
    BODY_TOO_LARGE = (
        413,
        "Content Too Large",
        "body-too-large",
        "http_request_error",
        None,
    )
    BODY_INCOMPLETE = (
        400,
        "Bad Request",
        "body-incomplete",
        "http_request_error",
        None,
    )
    SLOW_SENDER = (
        408,
        "Request Timeout",
        "slow-sender",
        "http_request_error",
        1,
    )
    KEY_MISSING = (401, "Unauthorized", "key-missing", "http_request_denied", None)
    KEY_MALFORMED = (401, "Unauthorized", "key-malformed", "http_request_denied", None)
    KEY_REPEATED = (401, "Unauthorized", "key-repeated", "http_request_denied", None)
    KEY_UNKNOWN = (401, "Unauthorized", "key-unknown", "http_request_denied", None)
    BAD_DEADLINE = (400, "Bad Request", "bad-deadline", "http_request_error", None)
    NO_ROUTE = (404, "Not Found", "no-route", "destination_not_found", None)
    NOT_READY = (
        503,
        "Service Unavailable",
        "not-ready",
        "destination_unavailable",
        # Retry-After depends on whether other instances are ready.
        None,
    )
    BODIES_FULL = (
        503,
        "Service Unavailable",
        "bodies-full",
        "connection_limit_reached",
        # Retry-After is spread over callers.
        None,
    )
    MEMORY_FULL = (
        503,
        "Service Unavailable",
        "memory-full",
        "connection_limit_reached",
        # Retry-After is spread over callers.
        None,
    )
    LEAVING = (
        503,
        "Service Unavailable",
        "leaving",
        "destination_unavailable",
        # Other instances serve at once.
        0.05,
    )
    TOO_MANY_CONNECTIONS = (
        503,
        "Service Unavailable",
        "too-many-connections",
        "connection_limit_reached",
        1,
    )

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
        return f"{self.value[0]} {self.value[1]}"


@attrs.frozen
class Answer:
    """An answer for a caller.

    Attributes
    ----------
    status : str
        Status code and reason phrase.
    headers : list of (str, str)
        Headers other than Content-Length.
    body : bytes
        The whole body.
    length : int or None
        Value of Content-Length; None omits the header.
    retry_after : float or None
        Delay before a retry, in seconds.
    """

    status: str
    headers: list[tuple[str, str]]
    body: bytes
    length: int | None = attrs.field()
    retry_after: float | None = None

    @length.default
    def _length_of_body(self):
        return len(self.body)


# Headers that the status of an answer requires (RFC 9110, section 11.6.1).
_HEADERS_BY_STATUS = {"401": [("WWW-Authenticate", "Bearer")]}

_NOT_RUN_CAUSES = {
    Cause.DEADLINE: "http_response_timeout",
    Cause.OVERLOAD: "connection_limit_reached",
    Cause.NO_TARGET: "destination_unavailable",
    Cause.RETRIES_EXHAUSTED: "destination_unavailable",
    Cause.TARGET_LOST: "destination_unavailable",
    Cause.CALLER_GONE: "http_request_error",
    Cause.CRASHES_TARGETS: "http_request_denied",
    Cause.TARGET_LIMIT: "connection_limit_reached",
    Cause.EVACUATED: "destination_unavailable",
    Cause.BACKING_OFF: "destination_unavailable",
    Cause.WORKSPACE_LIMIT: "http_request_denied",
    Cause.LIMIT_UNVERIFIED: "proxy_internal_error",
    Cause.BODIES_FULL: "connection_limit_reached",
    Cause.MEMORY_FULL: "connection_limit_reached",
    Cause.KEY_UNKNOWN: "http_request_denied",
    Cause.UNREACHABLE: "destination_unavailable",
    Cause.LEAVING: "destination_unavailable",
}
_NOT_RUN_STATUSES = {
    Cause.WORKSPACE_LIMIT: "429 Too Many Requests",
    Cause.KEY_UNKNOWN: "401 Unauthorized",
}
_NOT_RUN_DEFAULT = "503 Service Unavailable"

_UNKNOWN_CAUSES = {
    Cause.DEADLINE: ("504 Gateway Timeout", "http_response_timeout"),
}
_UNKNOWN_DEFAULT = ("502 Bad Gateway", "http_response_incomplete")


def not_run_answer(cause: Cause, retry_after: float) -> Answer:
    """Return the answer for a request that no target has run."""
    error = _NOT_RUN_CAUSES[cause]
    status = _NOT_RUN_STATUSES.get(cause, _NOT_RUN_DEFAULT)
    return _make_answer(status, str(cause), error, RequestOutcome.NOT_RUN, retry_after)


def unknown_answer(cause: Cause, retry_after: float) -> Answer:
    """Return the answer for a request that may or may not have run."""
    status, error = _UNKNOWN_CAUSES.get(cause, _UNKNOWN_DEFAULT)
    return _make_answer(status, str(cause), error, RequestOutcome.UNKNOWN, retry_after)


def problem_answer(problem: Problem, retry_after: float | None = None) -> Answer:
    """Return the answer for a fault found before a service was selected.

    Such a request has not run.

    Parameters
    ----------
    problem : Problem
        The fault.
    retry_after : float, optional
        Delay before a retry, in seconds; the default is the delay of the fault.
    """
    _, _, name, error, default = problem.value
    retry_after = default if retry_after is None else retry_after
    return _make_answer(
        problem.status_line, name, error, RequestOutcome.NOT_RUN, retry_after
    )


def _make_answer(status, cause, error, outcome, retry_after):
    document = {
        "type": f"urn:cairnferry:problem:{cause}",
        "title": status[4:],
        "status": int(status[:3]),
        "cause": cause,
        "outcome": str(outcome),
    }
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        (OUTCOME_HEADER, str(outcome)),
        ("Proxy-Status", f"{PROXY_NAME}; error={error}"),
        *_HEADERS_BY_STATUS.get(status[:3], ()),
    ]
    if retry_after is not None:
        seconds = int(retry_after)
        document["retry_after_s"] = seconds if seconds == retry_after else retry_after
    body = json.dumps(document).encode()
    return Answer(status, headers, body, retry_after=retry_after)


def encode_raw(problem: Problem) -> bytes:
    """Encode a complete answer that ends its connection."""
    answer = problem_answer(problem)
    lines = [f"HTTP/1.1 {answer.status}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if answer.retry_after is not None:
        lines.append(f"Retry-After: {math.ceil(answer.retry_after)}")
    lines += [f"Content-Length: {len(answer.body)}", "Connection: close"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + answer.body
