"""Forward a caller's request to targets as the policy decides."""

import time
from collections.abc import Callable
from http.client import responses

import attrs
import gevent

from cairnferry.entry.callers._guard import CrashGuard
from cairnferry.entry.callers._hedging import REVOKED_RETRY_AFTER_S, HedgedAttempts
from cairnferry.entry.http import (
    Answer,
    BadRequest,
    answer_headers,
    not_run_answer,
    unknown_answer,
)
from cairnferry.entry.targets import (
    AdvisoryRecorder,
    CrashDetector,
    Limiter,
    OutboundRequest,
    ServiceRuntime,
    StatusChecks,
    Upstreams,
)
from cairnferry.policy import (
    Answered,
    Attempt,
    Call,
    Cause,
    CheckStatus,
    Decision,
    Departure,
    GiveUp,
    Lost,
    Pause,
    Refuse,
    Relay,
    Send,
    Wait,
)
from cairnferry.wire import (
    BODILESS_STATUSES,
    Failure,
    Incomplete,
    Outcome,
    Reply,
    describe_outcome,
)

# Retry-After in seconds if neither this daemon nor a peer reaches a target.
UNREACHABLE_RETRY_S = 0.5
# Retry-After in seconds if there is no memory for the answer of a target.
MEMORY_RETRY_S = 0.5
# The target has answered, but the answer cannot be held.
_NO_MEMORY = Incomplete(Failure.NO_MEMORY)


@attrs.frozen
class Forwarded:
    """Result of a forwarded request.

    Attributes
    ----------
    answer : Answer
        Answer for the caller.
    decision : Relay, Refuse or GiveUp
        Final decision of the policy.
    facts : dict
        Further facts on which the decision is based, for the log.
    """

    answer: Answer
    decision: Relay | Refuse | GiveUp
    facts: dict = attrs.field(factory=dict)


@attrs.define
class Forwarder:
    """Carries out the decisions of the policy.

    Parameters
    ----------
    upstreams : Upstreams
        Connections to targets.
    checks : StatusChecks, optional
        Checks the status of targets if the policy requests it.
    crash_detector : CrashDetector, optional
        Detects whether a target crashed while it ran a request.
    guard : CrashGuard, optional
        Blocks requests that crash targets.
    limiter : Limiter, optional
        Records the limits that targets advertise.
    advisory_recorder : AdvisoryRecorder, optional
        Records the advisories of targets.
    can_detour : callable, optional
        Returns whether a request may be served by another daemon. If so, it is refused
        as unreachable as soon as no path to its service works.
    departure : Departure, optional
        Decides which requests are sent while the daemon stops.
    """

    upstreams: Upstreams
    checks: StatusChecks | None = None
    crash_detector: CrashDetector | None = None
    guard: CrashGuard | None = None
    limiter: Limiter | None = None
    advisory_recorder: AdvisoryRecorder | None = None
    can_detour: Callable[[], bool] = lambda: False
    departure: Departure | None = None

    def forward(
        self, req: OutboundRequest, call: Call, runtime: ServiceRuntime
    ) -> Forwarded:
        """Forward a request until a final decision is made.

        Any exception, such as the disconnection of the caller, abandons the request:
        attempts in flight are cancelled and their connections are closed.

        Parameters
        ----------
        req : OutboundRequest
            Request to send.
        call : Call
            State of the request for the policy.
        runtime : ServiceRuntime
            Runtime of the service.
        """
        if self.guard is None:
            return self._forward(req, call, runtime)
        self.crash_detector.wait_for_presence_check(call.identity)
        refused = self.guard.admit(call)
        if refused is not None:
            decision = runtime.policy.refuse_with_delay(
                refused.cause, refused.retry_after
            )
            return Forwarded(
                not_run_answer(refused.cause, refused.retry_after), decision
            )
        try:
            return self._forward(req, call, runtime)
        finally:
            self.guard.finish(call)

    def _forward(self, req, call, runtime):
        decision = runtime.arrive(call)
        reply = None
        try:
            while True:
                match decision:
                    case Send(attempt) if (problem := req.find_problem()) is not None:
                        decision = self._refuse_key(attempt, runtime, problem)
                    case Send(attempt) if self._is_blocked(call):
                        decision = self._refuse_blocked(attempt, runtime)
                    case Send(attempt) if self._is_too_late(call):
                        decision = self._refuse_late(attempt, runtime)
                    case Send(attempt):
                        decision, reply = self._attempt(req, attempt, runtime)
                    case CheckStatus(targets):
                        latest = runtime.policy.latest_start(call)
                        self.checks.check_all(targets, runtime, latest)
                        decision = self._unreachable(runtime, call)
                        decision = decision or runtime.resume(call)
                    case Pause(seconds):
                        gevent.sleep(seconds)
                        decision = runtime.resume(call)
                    case Wait():
                        decision = runtime.wait(call)
                    case Relay():
                        return Forwarded(relayed_answer(reply), decision)
                    case Refuse() if (problem := req.find_problem()) is not None:
                        raise BadRequest(problem, call.workspace)
                    case Refuse(cause, retry_after):
                        return Forwarded(not_run_answer(cause, retry_after), decision)
                    case GiveUp(cause, retry_after):
                        return Forwarded(unknown_answer(cause, retry_after), decision)
        except BaseException:
            runtime.abandon(call)
            raise

    def _unreachable(self, runtime, call):
        """Return the refusal of a request whose service is not reachable, or None."""
        if not self._needs_detour(runtime):
            return None
        kind = GiveUp if call.possibly_run else Refuse
        return kind(Cause.UNREACHABLE, UNREACHABLE_RETRY_S)

    def _needs_detour(self, runtime):
        now = time.monotonic()
        return runtime.policy.paths.are_broken(now) and self.can_detour()

    def _refuse_key(self, attempt, runtime, problem):
        """Give up a request whose key was revoked while it waited.

        Raises
        ------
        BadRequest
            If no attempt may have run.
        """
        call = attempt.call
        runtime.cancelled(attempt)
        call.attempts.remove(attempt)
        if call.possibly_run:
            return GiveUp(Cause.KEY_UNKNOWN, REVOKED_RETRY_AFTER_S)
        raise BadRequest(problem, call.workspace)

    def _is_blocked(self, call):
        """Return whether a request was blocked after its arrival.

        This can happen while the request waits for capacity or for status checks.
        """
        return self.guard is not None and self.guard.is_blocked(call)

    def _refuse_blocked(self, attempt, runtime):
        """Return the decision on a request that was blocked before this attempt."""
        call = attempt.call
        runtime.cancelled(attempt)
        call.attempts.remove(attempt)
        refused = self.guard.refuse(call)
        decision = runtime.policy.refuse_with_delay(refused.cause, refused.retry_after)
        if call.possibly_run:
            return GiveUp(decision.cause, decision.retry_after)
        return decision

    def _is_too_late(self, call):
        """Return whether a request that waited does not fit into the departure."""
        if self.departure is None or call.possibly_run:
            return False
        return not self.departure.takes(call, time.monotonic())

    def _refuse_late(self, attempt, runtime):
        runtime.cancelled(attempt)
        attempt.call.attempts.remove(attempt)
        return runtime.policy.refuse(Cause.LEAVING)

    def _attempt(self, req, attempt, runtime):
        call = attempt.call
        delay = runtime.policy.hedge_delay() if call.idempotent else None
        if delay is None or not call.may_retry:
            return self._single(req, attempt, runtime)
        attempts = HedgedAttempts(
            self.upstreams,
            self.checks,
            self.conclude,
            req,
            runtime,
            lambda: self._needs_detour(runtime),
        )
        return attempts.run(attempt, delay)

    def _single(self, req, attempt, runtime):
        try:
            outcome = self.upstreams.send(req, attempt)
        except BaseException:
            runtime.cancelled(attempt)
            raise
        return self.conclude(req, attempt, outcome, runtime)

    def conclude(
        self,
        req: OutboundRequest,
        attempt: Attempt,
        outcome: Outcome,
        runtime: ServiceRuntime,
    ) -> tuple[Decision, Reply | None]:
        """Report an attempt's end to the policy; return the decision and the reply.

        Parameters
        ----------
        req : OutboundRequest
            Request that was sent.
        attempt : Attempt
            Attempt that finished.
        outcome : Outcome
            Outcome of its exchange.
        runtime : ServiceRuntime
            Runtime of the service.
        """
        result = Answered()
        if outcome != _NO_MEMORY:
            result = self.upstreams.classify(outcome, attempt)
        reply = outcome if isinstance(outcome, Reply) else None
        if reply is None:
            attempt.failure = describe_outcome(outcome)
        if self.limiter is not None:
            self.limiter.note_outcome(attempt, outcome, self.upstreams.convention)
        if self.advisory_recorder is not None:
            convention, request_id = self.upstreams.convention, req.head.request_id
            self.advisory_recorder.note_outcome(
                attempt, outcome, runtime, convention, request_id
            )
        if self.guard is None:
            return self._finish(attempt, result, reply, runtime), reply
        try:
            self._report_to_guard(req, attempt, result, runtime)
        except BaseException:
            # The caller disconnected meanwhile. Without this call, the attempt would
            # occupy its slot at the target permanently.
            runtime.cancelled(attempt)
            raise
        decision = self._finish(attempt, result, reply, runtime)
        return self.guard.final_decision(attempt.call, decision), reply

    def _finish(self, attempt, result, reply, runtime):
        """Report a result to the policy, and return its decision.

        Another attempt would find no memory for its answer either.
        """
        decision = runtime.finished(attempt, result)
        if isinstance(decision, Relay) and reply is None:
            refused = runtime.policy.refuse_with_delay(
                Cause.MEMORY_FULL, MEMORY_RETRY_S
            )
            return GiveUp(refused.cause, refused.retry_after)
        return decision

    def _report_to_guard(self, req, attempt, result, runtime):
        """Report the result of an attempt to the guard before the policy decides.

        Otherwise a request that crashes targets would be sent to the next target within
        the millisecond that the presence check of the last one takes.
        """
        call = attempt.call
        match result:
            case Answered():
                self.guard.note_answer(call)
            case Lost(broken=True):
                service = runtime.policy.service.name
                checked = self.crash_detector.note_broken_connection(
                    attempt,
                    call.identity,
                    req.head.request_id,
                    service,
                    runtime.policy.target_records(),
                )
                is_suspicious = call.is_suspect or len(call.attempts) > 1
                if is_suspicious and runtime.policy.allows_attempt(call):
                    if checked is not None:
                        checked.wait()
                    self.guard.recheck(call)


def relayed_answer(reply: Reply) -> Answer:
    """Return the answer of a target, or of a peer, for the caller."""
    phrase = responses.get(reply.status, "Status")
    headers = answer_headers(reply.headers)
    status = f"{reply.status} {phrase}"
    return Answer(status, headers, reply.body, _length_of(reply))


def _length_of(reply):
    """Return Content-Length: for an answer without a body, as the target sent it."""
    if reply.body:
        return len(reply.body)
    if reply.status in BODILESS_STATUSES:
        return None
    length = reply.header("content-length")
    return int(length) if length else None
