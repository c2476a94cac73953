"""Count finished requests, and log some of them."""

import enum
import logging
import time

import attrs

from cairnferry.entry.targets import Services
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import Call, GiveUp, Relay, ServicePolicy

MS_PER_S = 1000
# Log lines per second, and in one burst, for requests that their first target answered.
# These lines show the usual case, and are fewer than the lines on other requests.
ANSWERED_RATE = 1.0
ANSWERED_BURST = 4.0
CALLER_GONE = "caller-gone"

log = logging.getLogger(__name__)


class LogLine(enum.StrEnum):
    """Kinds of log lines, each with its own rate limit."""

    ANSWERED = "request answered"
    REPEATED = "request sent more than once"
    PASSED_ON = "request passed on"
    RECEIVED = "request from a peer"
    GIVEN_UP = "request given up"
    REJECTED = "request rejected"
    GONE = "caller gone"


def _limits():
    limits = {line: RateLimit() for line in LogLine}
    limits[LogLine.ANSWERED] = RateLimit(ANSWERED_RATE, ANSWERED_BURST)
    return limits


@attrs.define
class RequestLog:
    """Metrics and log lines of finished requests.

    Parameters
    ----------
    metrics : Metrics
        Counts all requests.
    services : Services
        Provides the revision in force.
    """

    metrics: Metrics
    services: Services
    _limits: dict[LogLine, RateLimit] = attrs.field(factory=_limits)

    def note_answered(
        self, policy: ServicePolicy, call: Call, forwarded, request_id: str | None
    ) -> None:
        """Record a request that was answered.

        Parameters
        ----------
        policy : ServicePolicy
            Policy of the service.
        call : Call
            Request that was answered.
        forwarded : Forwarded
            Answer, and the final decision.
        request_id : str or None
            ID that the caller assigned to the request.
        """
        service = policy.service.name
        elapsed = time.monotonic() - call.arrived
        if call.attempts:
            waited = call.attempts[0].started - call.arrived
            self.metrics.note_wait(service, waited)
        match forwarded.decision:
            case Relay():
                outcome, cause = "relayed", "-"
                line = _line_of_answer(call)
                status = forwarded.answer.status.partition(" ")[0]
                details = {"status": int(status)}
            case decision:
                outcome = "unknown" if isinstance(decision, GiveUp) else "not-run"
                cause = str(decision.cause)
                self.metrics.note_cause(cause)
                line = LogLine.GIVEN_UP
                retry_after = round(decision.retry_after, 3)
                details = {
                    "outcome": outcome,
                    "cause": cause,
                    "retry_after_s": retry_after,
                    **forwarded.facts,
                }
        self.metrics.note_answer(service, outcome, elapsed)
        self.metrics.note_request(service, call.idempotent, outcome, cause)
        self._write_with_facts(line, policy, call, request_id, details)

    def note_caller_gone(
        self, policy: ServicePolicy, call: Call, request_id: str | None
    ) -> None:
        """Record a request whose caller disconnected before the answer.

        Parameters
        ----------
        policy : ServicePolicy
            Policy of the service.
        call : Call
            Request that was abandoned.
        request_id : str or None
            ID that the caller assigned to the request.
        """
        self.metrics.note_cause(CALLER_GONE)
        service = policy.service.name
        self.metrics.note_request(service, call.idempotent, "gone", CALLER_GONE)
        self._write_with_facts(LogLine.GONE, policy, call, request_id, {})

    def note_rejected(
        self, cause: str, request_id: str | None, workspace: str = ""
    ) -> None:
        """Record a request that was rejected before a service was chosen.

        Parameters
        ----------
        cause : str
            Cause of the rejection.
        request_id : str or None
            ID that the caller assigned to the request.
        workspace : str, optional
            Name of the caller's workspace, if its key was revoked meanwhile.
        """
        self.metrics.note_cause(cause)
        facts = {"revision": self.services.revision, "cause": cause}
        if workspace:
            facts["workspace"] = workspace
        self._write(LogLine.REJECTED, request_id, lambda: facts)

    def _write_with_facts(self, line, policy, call, request_id, details):
        self._write(
            line,
            request_id,
            lambda: describe_call(policy, call, self.services) | details,
        )

    def _write(self, line, request_id, facts):
        """Write a log line at a limited rate; the facts are computed only if needed."""
        limit = self._limits[line]
        if not limit.allows():
            return
        level = logging.WARNING if line is LogLine.GIVEN_UP else logging.INFO
        left_out = {"left_out": limit.take_suppressed()}
        extra = {"request_id": request_id, **facts(), **left_out}
        log.log(level, str(line), extra=extra)


def describe_call(policy: ServicePolicy, call: Call, services: Services) -> dict:
    """Return the facts that led to the decision on a request.

    Parameters
    ----------
    policy : ServicePolicy
        Policy of the service.
    call : Call
        State of the request.
    services : Services
        Provides the revision in force.
    """
    elapsed = time.monotonic() - call.arrived
    return {
        "service": policy.service.name,
        "route": call.route_name,
        "route_prefix": str(call.route),
        "revision": services.revision,
        "attempts": [_describe_attempt(attempt, call) for attempt in call.attempts],
        "asked": sorted(call.search.checked),
        "after_ms": round(elapsed * MS_PER_S, 1),
        "time_given_ms": round((call.deadline - call.arrived) * MS_PER_S),
        "repeats_left": round(policy.retries_left, 1),
        **({"workspace": call.workspace} if call.workspace else {}),
        **({"passed_on": call.detours} if call.detours else {}),
        **({"received_from": call.received_from} if call.received_from else {}),
        **_identity_facts(call),
    }


def _line_of_answer(call):
    if call.detours:
        return LogLine.PASSED_ON
    if call.received_from:
        return LogLine.RECEIVED
    return LogLine.REPEATED if len(call.attempts) > 1 else LogLine.ANSWERED


def _identity_facts(call):
    """Return digest and caller of an unusual request, so that it is recognizable."""
    identity = call.identity
    is_logged = call.is_suspect or call.possibly_run or len(call.attempts) > 1
    if identity is None or not is_logged:
        return {}
    return {"content": identity.content, "caller": identity.caller_tag}


def _describe_attempt(attempt, call):
    """Return an attempt's kind, target, time of sending and failure as text."""
    sent = (attempt.started - call.arrived) * MS_PER_S
    text = f"{attempt.kind} {attempt.target_name} at {sent:.1f} ms"
    return f"{text}: {attempt.failure}" if attempt.failure else text
