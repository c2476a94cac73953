"""Counts requests as they end, and writes lines on some of them."""

import enum
import logging
import time

import attrs

from cairnferry.entry.targets import Services
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import Call, GiveUp, Relay, ServicePolicy

MS_PER_S = 1000
# Lines a second, and at once, on requests that were answered at their first target:
# enough to see what is usual, and a small part of those on requests that were not.
ANSWERED_RATE = 1.0
ANSWERED_BURST = 4.0
CALLER_GONE = "caller-gone"

log = logging.getLogger(__name__)


class Line(enum.StrEnum):
    """Sorts of lines, each with a limit of its own."""

    ANSWERED = "request answered"
    REPEATED = "request sent more than once"
    GIVEN_UP = "request given up"
    REJECTED = "request rejected"
    GONE = "caller gone"


def _limits():
    limits = {line: RateLimit() for line in Line}
    limits[Line.ANSWERED] = RateLimit(ANSWERED_RATE, ANSWERED_BURST)
    return limits


@attrs.define
class RequestLog:
    """What is told of requests that ended.

    Parameters
    ----------
    metrics : Metrics
        Counts all of them.
    services : Services
        Tells the revision in force.
    """

    metrics: Metrics
    services: Services
    _limits: dict[Line, RateLimit] = attrs.field(factory=_limits)

    def note_end(
        self, policy: ServicePolicy, call: Call, forwarded, request_id: str | None
    ) -> None:
        """Take in a request that was answered.

        Parameters
        ----------
        policy : ServicePolicy
            Of its service.
        call : Call
            The request.
        forwarded : Forwarded
            Its answer, and how it was decided.
        request_id : str or None
            The ID that its caller gave it.
        """
        service = policy.service.name
        elapsed = time.monotonic() - call.arrived
        if call.attempts:
            waited = call.attempts[0].started - call.arrived
            self.metrics.note_wait(service, waited)
        match forwarded.decision:
            case Relay():
                outcome, cause = "relayed", "-"
                line = Line.REPEATED if len(call.attempts) > 1 else Line.ANSWERED
                status = forwarded.answer.status.partition(" ")[0]
                more = {"status": int(status)}
            case decision:
                outcome = "unknown" if isinstance(decision, GiveUp) else "not-run"
                cause = str(decision.cause)
                self.metrics.note_cause(cause)
                line = Line.GIVEN_UP
                retry_after = round(decision.retry_after, 3)
                more = {
                    "outcome": outcome,
                    "cause": cause,
                    "retry_after_s": retry_after,
                }
        self.metrics.note_answer(service, outcome, elapsed)
        self.metrics.note_request(service, call.idempotent, outcome, cause)
        self._write_on(line, policy, call, request_id, more)

    def note_gone(
        self, policy: ServicePolicy, call: Call, request_id: str | None
    ) -> None:
        """Take in a request whose caller left before its answer."""
        self.metrics.note_cause(CALLER_GONE)
        service = policy.service.name
        self.metrics.note_request(service, call.idempotent, "gone", CALLER_GONE)
        self._write_on(Line.GONE, policy, call, request_id, {})

    def note_rejected(self, cause: str, request_id: str | None) -> None:
        """Take in a request that was answered before a service was chosen."""
        self.metrics.note_cause(cause)
        facts = {"revision": self.services.revision, "cause": cause}
        self._write(Line.REJECTED, request_id, lambda: facts)

    def _write_on(self, line, policy, call, request_id, more):
        self._write(line, request_id, lambda: self._facts(policy, call) | more)

    def _write(self, line, request_id, facts):
        """Write a line, up to a rate; its facts are made only then."""
        limit = self._limits[line]
        if not limit.allows():
            return
        level = logging.WARNING if line is Line.GIVEN_UP else logging.INFO
        left_out = {"left_out": limit.take_left_out()}
        extra = {"request_id": request_id, **facts(), **left_out}
        log.log(level, str(line), extra=extra)

    def _facts(self, policy, call):
        """Give what decided about a request."""
        after = time.monotonic() - call.arrived
        return {
            "service": policy.service.name,
            "route": call.route,
            "revision": self.services.revision,
            "attempts": [_told(attempt, call) for attempt in call.attempts],
            "asked": sorted(call.search.checked),
            "after_ms": round(after * MS_PER_S, 1),
            "time_given_ms": round((call.deadline - call.arrived) * MS_PER_S),
            "repeats_left": round(policy.retries_left, 1),
            **_identified(call),
        }


def _identified(call):
    """Tell what a request is that was sent on, so that it is known again."""
    identity = call.identity
    is_told = call.is_suspect or call.possibly_run or len(call.attempts) > 1
    if identity is None or not is_told:
        return {}
    return {"content": identity.content, "caller": identity.caller_tag}


def _told(attempt, call):
    """Tell an attempt: kind, target, and when it was sent."""
    sent = (attempt.started - call.arrived) * MS_PER_S
    return f"{attempt.kind} {attempt.target_name} at {sent:.1f} ms"
