"""What is known after an attempt, and what that allows.

Evidence, not status codes, decides what may follow. The source of the idea is
"API Timeout After Ticket Creation" (see docs/design/0003-evidence.md).
"""

import enum

import attrs

from cairnferry.policy.targets import LoadReport


@attrs.frozen
class Answered:
    """A whole answer came: the request ran.

    Attributes
    ----------
    failed : bool
        Whether the answer is a server error.
    report : LoadReport or None
        The target's load, if the answer told it.
    """

    failed: bool = False
    report: LoadReport | None = None


@attrs.frozen
class TargetRefused:
    """The target refused by the contract in its record: not run.

    Attributes
    ----------
    draining : bool
        Whether the refusal says that the target is leaving.
    report : LoadReport or None
        The target's load, if the answer told it.
    """

    draining: bool = False
    report: LoadReport | None = None


@attrs.frozen
class NotRun:
    """No byte of the request was written.

    Attributes
    ----------
    deadline : bool
        Whether that was for the request's deadline, not for the target.
    withdrawn : bool
        Whether the target asked to be left alone before the request was written.
    """

    deadline: bool = False
    withdrawn: bool = False


@attrs.frozen
class Lost:
    """Something was written, and no whole answer came: unknown.

    Attributes
    ----------
    timed_out : bool
        Whether the request's time was over first.
    broken : bool
        Whether the target's side broke the connection.
    """

    timed_out: bool = False
    broken: bool = False


AttemptResult = Answered | TargetRefused | NotRun | Lost


class Evidence(enum.Enum):
    """Classes of results, by what they prove."""

    RAN = "ran"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Follow(enum.Enum):
    """What may follow."""

    RELAY = "relay"
    AGAIN_OR_RELAY = "again-or-relay"
    AGAIN = "again"
    TELL_UNKNOWN = "tell-unknown"


# By evidence and whether the request is idempotent.
_FOLLOW = {
    (Evidence.RAN, True): Follow.RELAY,
    (Evidence.RAN, False): Follow.RELAY,
    (Evidence.FAILED, True): Follow.AGAIN_OR_RELAY,
    (Evidence.FAILED, False): Follow.RELAY,
    (Evidence.NOT_RUN, True): Follow.AGAIN,
    (Evidence.NOT_RUN, False): Follow.AGAIN,
    (Evidence.UNKNOWN, True): Follow.AGAIN,
    (Evidence.UNKNOWN, False): Follow.TELL_UNKNOWN,
}


def evidence_of(result: AttemptResult) -> Evidence:
    """Give what a result proves."""
    match result:
        case Answered(failed=True):
            return Evidence.FAILED
        case Answered():
            return Evidence.RAN
        case TargetRefused() | NotRun():
            return Evidence.NOT_RUN
        case Lost():
            return Evidence.UNKNOWN


def follow(result: AttemptResult, idempotent: bool) -> Follow:
    """Give what may follow a result."""
    return _FOLLOW[evidence_of(result), idempotent]
