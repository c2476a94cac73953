"""From what was seen of an exchange to what it proves."""

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

# The header of the open standard for load reports, in its text form.
REPORT_HEADER = "endpoint-load-metrics"
REPORT_TEXT = "TEXT "
IN_USE_METRIC = "named_metrics.in_use"
DRAINING_VALUE = "draining"
SERVER_ERROR = 500
# Ends of an exchange that the target's side brought about: it closed or reset the
# connection before the answer was whole.
BREAKS = frozenset([Failure.RESET, Failure.CUT_SHORT])


def classify(outcome: Outcome, refusal: RefusalContract | None) -> AttemptResult:
    """Give what an exchange proves.

    Parameters
    ----------
    outcome : Outcome
        What was seen.
    refusal : RefusalContract or None
        How the target says that it did not run a request.
    """
    match outcome:
        case NotSent(failure):
            return not_run_result(failure)
        case Incomplete() as incomplete:
            return lost_result(incomplete)
        case Reply() as reply:
            return _classify_reply(reply, refusal)


def not_run_result(failure: Failure) -> NotRun:
    """Give what it proves that no byte was written."""
    return NotRun(
        deadline=failure is Failure.TIMEOUT, withdrawn=failure is Failure.WITHDRAWN
    )


def lost_result(outcome: Incomplete) -> Lost:
    """Give what an exchange without a whole answer proves."""
    failure = outcome.failure
    return Lost(timed_out=failure is Failure.TIMEOUT, broken=failure in BREAKS)


def _classify_reply(reply, refusal):
    report = read_report(reply.header(REPORT_HEADER))
    if refusal is not None and reply.status == refusal.status:
        value = reply.header(refusal.header)
        if value is not None:
            return TargetRefused(value.strip().lower() == DRAINING_VALUE, report)
    return Answered(failed=reply.status >= SERVER_ERROR, report=report)


def read_report(text: str | None) -> LoadReport | None:
    """Read the load from a report header; None if it is not there or is wrong."""
    if text is None or not text.startswith(REPORT_TEXT):
        return None
    for part in text[len(REPORT_TEXT) :].split(","):
        name, _, value = part.strip().partition("=")
        if name == IN_USE_METRIC:
            return _report(value)
    return None


def _report(value):
    try:
        in_use = float(value)
    except ValueError:
        return None
    # A wrong report must not make a target look idle or full for good.
    if not 0 <= in_use < 1e6:
        return None
    return LoadReport(in_use)
