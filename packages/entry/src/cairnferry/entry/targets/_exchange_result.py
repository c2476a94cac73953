"""Derive the result of an attempt from the outcome of its exchange."""

from cairnferry.policy import (
    Answered,
    AttemptResult,
    LoadReport,
    Lost,
    NotRun,
    TargetRefused,
)
from cairnferry.records import RefusalContract
from cairnferry.wire import Failure, Incomplete, NotSent, Outcome, Reply

# Header of the open standard for load reports (ORCA), in its text form.
REPORT_HEADER = "endpoint-load-metrics"
REPORT_TEXT = "TEXT "
IN_USE_METRIC = "named_metrics.in_use"
DRAINING_VALUE = "draining"
SERVER_ERROR = 500
# Failures that the target's side caused by closing or resetting the connection before
# the answer was complete.
CONNECTION_BREAKS = frozenset([Failure.RESET, Failure.CUT_SHORT])


def classify(outcome: Outcome, refusal: RefusalContract | None) -> AttemptResult:
    """Return the result of an attempt, given the outcome of its exchange.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the exchange.
    refusal : RefusalContract or None
        Status and header by which the target declares that it did not run a request.
    """
    match outcome:
        case NotSent(failure):
            return not_run_result(failure)
        case Incomplete() as incomplete:
            return lost_result(incomplete)
        case Reply() as reply:
            return _classify_reply(reply, refusal)


def not_run_result(failure: Failure) -> NotRun:
    """Return the result of an attempt of which no byte was written."""
    return NotRun(
        deadline=failure is Failure.TIMEOUT, withdrawn=failure is Failure.WITHDRAWN
    )


def lost_result(outcome: Incomplete) -> Lost:
    """Return the result of an exchange that ended without a complete answer."""
    failure = outcome.failure
    return Lost(
        timed_out=failure is Failure.TIMEOUT, broken=failure in CONNECTION_BREAKS
    )


def _classify_reply(reply, refusal):
    report = read_report(reply.header(REPORT_HEADER))
    if refusal is not None and reply.status == refusal.status:
        value = reply.header(refusal.header)
        if value is not None:
            return TargetRefused(value.strip().lower() == DRAINING_VALUE, report)
    return Answered(failed=reply.status >= SERVER_ERROR, report=report)


def read_report(text: str | None) -> LoadReport | None:
    """Return the load in a report header; None if it is missing or malformed."""
    if text is None or not text.startswith(REPORT_TEXT):
        return None
    for part in text[len(REPORT_TEXT) :].split(","):
        name, _, value = part.strip().partition("=")
        if name == IN_USE_METRIC:
            return _parse_report(value)
    return None


def _parse_report(value):
    try:
        in_use = float(value)
    except ValueError:
        return None
    # An implausible report must not make a target appear idle or full permanently.
    if not 0 <= in_use < 1e6:
        return None
    return LoadReport(in_use)
