"""What callers and targets are spoken to with: names of headers, forms of answers.

The daemon is given one convention for each side. Those of the own interface are
here; an adapter to another platform brings its own.
"""

import math
import typing

import attrs

from cairnferry.entry.http import (
    ATTEMPT_HEADER,
    TIMEOUT_HEADER,
    RequestHead,
    read_request_head,
)
from cairnferry.entry.targets._advisory import read_advisory
from cairnferry.entry.targets._exchange_result import (
    REPORT_HEADER,
    classify,
    read_report,
)
from cairnferry.entry.targets._limit_header import LimitFault, read_limit
from cairnferry.policy import (
    NO_ADVISORY,
    Attempt,
    AttemptKind,
    AttemptResult,
    LoadReport,
    TargetAdvisory,
)
from cairnferry.records import Target
from cairnferry.wire import Outcome, Reply, ResponseRules

MS_PER_S = 1000
HTTP_OK = 200
# Requests a second that a target in need takes from all daemons together.
LIMIT_HEADERS = frozenset(["server-limit"])
LEAVING_HEADERS = frozenset(["server-leaving"])
# Statuses with which Retry-After is defined for what a server turns away.
REST_STATUSES = frozenset([429, 503])
# Seconds for which a target's word that it is leaving holds where its next start would
# have the same name.
LEAVING_BY_NAME_S = 30.0


@attrs.frozen
class CheckResult:
    """What a target said when it was asked for its load.

    Attributes
    ----------
    report : LoadReport or None
        Its load; None if it did not tell.
    well : bool
        Whether it calls itself well.
    misplaced : bool
        Whether another target has its address now.
    heard : bool
        Whether there was an answer at all.
    limit : float, LimitFault or None
        Limit that it names.
    warmup_s : float or None
        Seconds for which it is still cold; None if it does not tell.
    words : TargetAdvisory
        What it says of itself.
    """

    report: LoadReport | None
    is_healthy: bool
    address_reused: bool = False
    heard: bool = False
    limit: float | LimitFault | None = None
    warmup_s: float | None = None
    advisory: TargetAdvisory = NO_ADVISORY


class CallerConvention(typing.Protocol):
    """How callers speak."""

    def read_head(self, pairs: list[tuple[str, str]]) -> RequestHead:
        """Sort the headers of a request.

        Raises
        ------
        BadDeadline
            If the deadline cannot be read.
        """

    def retry_after(self, seconds: float) -> str:
        """Write the value of Retry-After."""

    def local_answer_headers(self, head: RequestHead | None) -> list[tuple[str, str]]:
        """Give further headers of an answer that the system makes itself."""


class TargetConvention(typing.Protocol):
    """How targets speak."""

    def rules(self, head: RequestHead) -> ResponseRules:
        """Give what counts as the whole answer to a request."""

    def host(self, head: RequestHead, target: Target) -> str:
        """Give the Host header of an attempt."""

    def attempt_headers(
        self, attempt: Attempt, remaining: float
    ) -> list[tuple[str, str]]:
        """Give the headers that differ from attempt to attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        remaining : float
            Seconds left of the request's time.
        """

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Give what an exchange proves."""

    def limit_of(self, outcome: Outcome) -> float | LimitFault | None:
        """Read the limit that an answer names; None if it names none."""

    def denies_limit(self, outcome: Outcome) -> bool:
        """Tell whether an answer that names no limit says that there is none.

        Not each does: one that was made before the target looked at its need, such as
        a refusal, tells nothing of it.
        """

    def advisory_of(self, outcome: Outcome, target: Target) -> TargetAdvisory:
        """Read what an answer says of its target."""

    def read_check(self, outcome: Outcome, target: Target) -> CheckResult:
        """Read the answer to a status check."""


@attrs.frozen
class DefaultCallerConvention:
    """Published formats, and own headers where these lack something."""

    def read_head(self, pairs: list[tuple[str, str]]) -> RequestHead:
        """Sort the headers of a request."""
        return read_request_head(pairs)

    def retry_after(self, seconds: float) -> str:
        """Write whole seconds, as RFC 9110 has it."""
        return str(max(1, round(seconds)))

    def local_answer_headers(self, head: RequestHead | None) -> list[tuple[str, str]]:
        """Give none."""
        return []


@attrs.frozen
class DefaultTargetConvention:
    """Refusals by the contract in a target's record, load by the open standard."""

    def rules(self, head: RequestHead) -> ResponseRules:
        """Give the strict ones: nothing in an answer proves whose it is."""
        return ResponseRules()

    def host(self, head: RequestHead, target: Target) -> str:
        """Give the target's address."""
        return f"{target.host}:{target.port}"

    def attempt_headers(
        self, attempt: Attempt, remaining: float
    ) -> list[tuple[str, str]]:
        """Give the time left, and the number of a further attempt."""
        headers = [(TIMEOUT_HEADER, str(max(1, int(remaining * MS_PER_S))))]
        if attempt.kind is not AttemptKind.FIRST:
            headers.append((ATTEMPT_HEADER, str(len(attempt.call.attempts))))
        return headers

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Give what an exchange proves."""
        return classify(outcome, attempt.refusal)

    def limit_of(self, outcome: Outcome) -> float | LimitFault | None:
        """Read the limit that an answer names."""
        if not isinstance(outcome, Reply):
            return None
        return read_limit(outcome.headers, LIMIT_HEADERS)

    def denies_limit(self, outcome: Outcome) -> bool:
        """Believe answers that are no refusals."""
        return isinstance(outcome, Reply) and outcome.status == HTTP_OK

    def advisory_of(self, outcome: Outcome, target: Target) -> TargetAdvisory:
        """Read what an answer says of its target."""
        if not isinstance(outcome, Reply):
            return NO_ADVISORY
        leaving_s = math.inf if target.started_ms else LEAVING_BY_NAME_S
        return read_advisory(
            outcome.status, outcome.headers, REST_STATUSES, LEAVING_HEADERS, leaving_s
        )

    def read_check(self, outcome: Outcome, target: Target) -> CheckResult:
        """Read the load that comes with a health answer."""
        match outcome:
            case Reply() as reply:
                report = read_report(reply.header(REPORT_HEADER))
                limit = read_limit(reply.headers, LIMIT_HEADERS)
                return CheckResult(
                    report,
                    reply.status == HTTP_OK,
                    limit=limit,
                    advisory=self.advisory_of(reply, target),
                )
            case _:
                return CheckResult(None, False)
