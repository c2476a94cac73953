"""Conventions towards callers and targets: header names and response formats.

A daemon has one convention for each side. The default conventions are defined here;
an adapter for another platform supplies its own.
"""

import math
import typing

import attrs

from cairnferry.entry.http import (
    ATTEMPT_HEADER,
    TIMEOUT_HEADER,
    WORKSPACE_HEADER,
    RequestHead,
    end_to_end_headers,
    read_request_head,
    without_identity,
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
# Requests per second that an overloaded target accepts from all daemons together.
LIMIT_HEADERS = frozenset(["server-limit"])
LEAVING_HEADERS = frozenset(["server-leaving"])
# Statuses for which Retry-After is defined as the delay after a refusal.
BACK_OFF_STATUSES = frozenset([429, 503])
# Seconds for which a leaving advisory is valid if the target's next start would have
# the same name.
LEAVING_WITHOUT_START_S = 30.0


@attrs.frozen
class CheckResult:
    """Result of a status check of a target.

    Attributes
    ----------
    report : LoadReport or None
        Load of the target; None if not reported.
    is_healthy : bool
        Whether the target reports that it is healthy.
    address_reused : bool
        Whether another target has the address now.
    answered : bool
        Whether an answer was received.
    limit : float, LimitFault or None
        Advertised limit in requests per second; None if there is none.
    warmup_s : float or None
        Seconds for which the target is still cold; None if not reported.
    advisory : TargetAdvisory
        Advisory in the answer's headers.
    """

    report: LoadReport | None
    is_healthy: bool
    address_reused: bool = False
    answered: bool = False
    limit: float | LimitFault | None = None
    warmup_s: float | None = None
    advisory: TargetAdvisory = NO_ADVISORY


class CallerConvention(typing.Protocol):
    """Header conventions between the daemon and its callers."""

    def read_head(self, pairs: list[tuple[str, str]]) -> RequestHead:
        """Parse the headers of a request.

        Raises
        ------
        BadDeadline
            If the deadline header is malformed.
        """

    def retry_after(self, seconds: float) -> str:
        """Return the value of Retry-After for a delay in seconds."""

    def local_answer_headers(self, head: RequestHead | None) -> list[tuple[str, str]]:
        """Return extra headers for an answer that the daemon generates itself."""

    def without_identity(self, pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return headers without credentials and without a claim of a workspace."""

    def passed_on(
        self, pairs: list[tuple[str, str]], timeout_ms: int
    ) -> list[tuple[str, str]]:
        """Return the headers of a request for another daemon, with another time limit.

        Parameters
        ----------
        pairs : list of (str, str)
            Headers as the caller sent them.
        timeout_ms : int
            Time left in milliseconds.
        """


class TargetConvention(typing.Protocol):
    """Header conventions between the daemon and its targets."""

    def rules(self, head: RequestHead) -> ResponseRules:
        """Return the rules that decide what is a complete answer to a request."""

    def host(self, head: RequestHead, target: Target) -> str:
        """Return the Host header of an attempt."""

    def attempt_headers(
        self, attempt: Attempt, remaining: float
    ) -> list[tuple[str, str]]:
        """Return the headers that differ between attempts of a request.

        Parameters
        ----------
        attempt : Attempt
            Attempt that is about to be sent.
        remaining : float
            Seconds left until the request's deadline.
        """

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt, given the outcome of its exchange."""

    def limit_of(self, outcome: Outcome) -> float | LimitFault | None:
        """Return the limit that an answer advertises; None if there is none."""

    def denies_limit(self, outcome: Outcome) -> bool:
        """Return whether an answer without a limit header means "no limit".

        Some answers, such as refusals, are sent before the target evaluates its
        limit. The missing header then says nothing about the limit.
        """

    def advisory_of(self, outcome: Outcome, target: Target) -> TargetAdvisory:
        """Return the advisory in an answer's headers."""

    def read_check(self, outcome: Outcome, target: Target) -> CheckResult:
        """Parse the answer to a status check."""


@attrs.frozen
class DefaultCallerConvention:
    """Default convention: published formats, and own headers where none exists."""

    def read_head(self, pairs: list[tuple[str, str]]) -> RequestHead:
        """Parse the headers of a request."""
        return read_request_head(pairs)

    def retry_after(self, seconds: float) -> str:
        """Return the delay in whole seconds, as RFC 9110 specifies."""
        return str(max(1, round(seconds)))

    def local_answer_headers(self, head: RequestHead | None) -> list[tuple[str, str]]:
        """Return no extra headers."""
        return []

    def without_identity(self, pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return headers without credentials and without a claim of a workspace."""
        return without_identity(pairs)

    def passed_on(
        self, pairs: list[tuple[str, str]], timeout_ms: int
    ) -> list[tuple[str, str]]:
        """Return the headers of a request for another daemon."""
        return end_to_end_headers(pairs, timeout_ms)


@attrs.frozen
class DefaultTargetConvention:
    """Default convention: refusals by the target's contract, load by open standard."""

    def rules(self, head: RequestHead) -> ResponseRules:
        """Return the strict rules, as an answer has no proof of its origin."""
        return ResponseRules()

    def host(self, head: RequestHead, target: Target) -> str:
        """Return the target's address."""
        return f"{target.host}:{target.port}"

    def attempt_headers(
        self, attempt: Attempt, remaining: float
    ) -> list[tuple[str, str]]:
        """Return the remaining time and, for further attempts, their number."""
        headers = [(TIMEOUT_HEADER, str(max(1, int(remaining * MS_PER_S))))]
        if attempt.kind is not AttemptKind.FIRST:
            headers.append((ATTEMPT_HEADER, str(len(attempt.call.attempts))))
        if attempt.call.workspace:
            headers.append((WORKSPACE_HEADER, attempt.call.workspace))
        return headers

    def classify(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt, given the outcome of its exchange."""
        return classify(outcome, attempt.refusal)

    def limit_of(self, outcome: Outcome) -> float | LimitFault | None:
        """Return the limit that an answer advertises; None if there is none."""
        if not isinstance(outcome, Reply):
            return None
        return read_limit(outcome.headers, LIMIT_HEADERS)

    def denies_limit(self, outcome: Outcome) -> bool:
        """Return True for successful answers; refusals do not report limits."""
        return isinstance(outcome, Reply) and outcome.status == HTTP_OK

    def advisory_of(self, outcome: Outcome, target: Target) -> TargetAdvisory:
        """Return the advisory in an answer's headers."""
        if not isinstance(outcome, Reply):
            return NO_ADVISORY
        leaving_s = math.inf if target.started_ms else LEAVING_WITHOUT_START_S
        return read_advisory(
            outcome.status,
            outcome.headers,
            BACK_OFF_STATUSES,
            LEAVING_HEADERS,
            leaving_s,
        )

    def read_check(self, outcome: Outcome, target: Target) -> CheckResult:
        """Parse the load report that comes with a health answer."""
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
