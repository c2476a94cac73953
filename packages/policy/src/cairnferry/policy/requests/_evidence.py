"""Evidence of an attempt, and the steps that it permits.

The evidence of an attempt, not its status code, decides the next step. The idea is
from "API Timeout After Ticket Creation" (see docs/design/0003-evidence.md).
"""

import enum

import attrs

from cairnferry.policy.targets import LoadReport


@attrs.frozen
class Answered:
    """A complete response was received: the request ran.

    Attributes
    ----------
    failed : bool
        Whether the response is a server error.
    report : LoadReport or None
        Load of the target, if the response contains it.
    """

    failed: bool = False
    report: LoadReport | None = None


@attrs.frozen
class TargetRefused:
    """The target refused as its refusal contract specifies: the request did not run.

    Attributes
    ----------
    draining : bool
        Whether the refusal says that the target is draining.
    report : LoadReport or None
        Load of the target, if the response contains it.
    """

    draining: bool = False
    report: LoadReport | None = None


@attrs.frozen
class NotRun:
    """No byte of the request was written: the request did not run.

    Attributes
    ----------
    deadline : bool
        Whether the deadline of the request was the reason, not the target.
    withdrawn : bool
        Whether the target requested a back-off or started to drain before the request
        was written.
    """

    deadline: bool = False
    withdrawn: bool = False


@attrs.frozen
class Lost:
    """The request was written without a complete response: it may have run.

    Attributes
    ----------
    timed_out : bool
        Whether the deadline of the request passed first.
    broken : bool
        Whether the target's side closed or reset the connection.
    """

    timed_out: bool = False
    broken: bool = False


AttemptResult = Answered | TargetRefused | NotRun | Lost


class Evidence(enum.Enum):
    """What a result proves about the execution of a request."""

    RAN = "ran"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NextStep(enum.Enum):
    """Next step that a result permits."""

    RELAY = "relay"
    RETRY_OR_RELAY = "again-or-relay"
    RETRY = "again"
    REPORT_UNKNOWN = "tell-unknown"


# By evidence and by whether the request is idempotent.
_NEXT_STEPS = {
    (Evidence.RAN, True): NextStep.RELAY,
    (Evidence.RAN, False): NextStep.RELAY,
    (Evidence.FAILED, True): NextStep.RETRY_OR_RELAY,
    (Evidence.FAILED, False): NextStep.RELAY,
    (Evidence.NOT_RUN, True): NextStep.RETRY,
    (Evidence.NOT_RUN, False): NextStep.RETRY,
    (Evidence.UNKNOWN, True): NextStep.RETRY,
    (Evidence.UNKNOWN, False): NextStep.REPORT_UNKNOWN,
}


def evidence_of(result: AttemptResult) -> Evidence:
    """Return what a result proves."""
    match result:
        case Answered(failed=True):
            return Evidence.FAILED
        case Answered():
            return Evidence.RAN
        case TargetRefused() | NotRun():
            return Evidence.NOT_RUN
        case Lost():
            return Evidence.UNKNOWN


def next_step(result: AttemptResult, idempotent: bool) -> NextStep:
    """Return the next step that a result permits."""
    return _NEXT_STEPS[evidence_of(result), idempotent]
