"""One request from a caller, through the policy, to targets and back."""

import time
from http.client import responses

import attrs
import gevent
from gevent.queue import Empty, SimpleQueue

from cairnferry.entry.callers._guard import CrashGuard
from cairnferry.entry.http import Answer, answer_headers, not_run, unknown
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
    AwaitOthers,
    Call,
    CheckStatus,
    Decision,
    GiveUp,
    Lost,
    Pause,
    Refuse,
    Relay,
    Send,
    Wait,
)
from cairnferry.wire import BODILESS_STATUSES, Outcome, Reply


@attrs.frozen
class Forwarded:
    """What became of a request.

    Attributes
    ----------
    answer : Answer
        For the caller.
    decision : Relay, Refuse or GiveUp
        How it ended.
    """

    answer: Answer
    decision: Relay | Refuse | GiveUp


@attrs.define
class Forwarder:
    """Does what the policy decides.

    Parameters
    ----------
    upstreams : Upstreams
        Connections to targets.
    checks : StatusChecks, optional
        Asks targets for their load, where the policy wants that.
    endings : CrashDetector, optional
        Finds out whether a target ended under a request.
    guard : CrashGuard, optional
        Keeps requests that end targets from further ones.
    limiter : Limiter, optional
        Takes in limits that targets name.
    listener : AdvisoryRecorder, optional
        Takes in what targets say of themselves.
    """

    upstreams: Upstreams
    checks: StatusChecks | None = None
    crash_detector: CrashDetector | None = None
    guard: CrashGuard | None = None
    limiter: Limiter | None = None
    advisory_recorder: AdvisoryRecorder | None = None

    def forward(
        self, req: OutboundRequest, call: Call, runtime: ServiceRuntime
    ) -> Forwarded:
        """Bring a request to its end.

        Any exception, such as the caller's departure, gives up what is left of
        the request: attempts in flight are cut and their connections closed.
        """
        if self.guard is None:
            return self._forward(req, call, runtime)
        self.crash_detector.wait_for_look(call.identity)
        refused = self.guard.admit(call)
        if refused is not None:
            decision = runtime.policy.refuse_with_delay(
                refused.cause, refused.retry_after
            )
            return Forwarded(not_run(refused.cause, refused.retry_after), decision)
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
                    case Send(attempt) if self._is_stopped(call):
                        decision = self._stop(attempt, runtime)
                    case Send(attempt):
                        decision, reply = self._attempt(req, attempt, runtime)
                    case CheckStatus(targets):
                        self.checks.ask(targets, runtime)
                        decision = runtime.resume(call)
                    case Pause(seconds):
                        gevent.sleep(seconds)
                        decision = runtime.resume(call)
                    case Wait():
                        decision = runtime.wait(call)
                    case Relay():
                        return Forwarded(_relayed(reply), decision)
                    case Refuse(cause, retry_after):
                        return Forwarded(not_run(cause, retry_after), decision)
                    case GiveUp(cause, retry_after):
                        return Forwarded(unknown(cause, retry_after), decision)
        except BaseException:
            runtime.abandon(call)
            raise

    def _is_stopped(self, call):
        """Tell whether a request was blocked since it arrived.

        It may have waited for room, or for what targets say of themselves.
        """
        return self.guard is not None and self.guard.stops(call)

    def _stop(self, attempt, runtime):
        """Give up a request that is not to be sent any more."""
        call = attempt.call
        runtime.cancelled(attempt)
        call.attempts.remove(attempt)
        refused = self.guard.refuse(call)
        decision = runtime.policy.refuse_with_delay(refused.cause, refused.retry_after)
        if call.possibly_run:
            return GiveUp(decision.cause, decision.retry_after)
        return decision

    def _attempt(self, req, attempt, runtime):
        call = attempt.call
        delay = runtime.policy.hedge_delay() if call.idempotent else None
        if delay is None or not call.may_retry:
            return self._single(req, attempt, runtime)
        return _Race(self, req, runtime).run(attempt, delay)

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
        """Tell the policy of an attempt's end; give its decision and the reply."""
        result = self.upstreams.classify(outcome, attempt)
        reply = outcome if isinstance(outcome, Reply) else None
        if self.limiter is not None:
            self.limiter.note_outcome(attempt, outcome, self.upstreams.convention)
        if self.advisory_recorder is not None:
            convention, request_id = self.upstreams.convention, req.head.request_id
            self.advisory_recorder.note_outcome(
                attempt, outcome, runtime, convention, request_id
            )
        if self.guard is None:
            return runtime.finished(attempt, result), reply
        try:
            self._learn(req, attempt, result, runtime)
        except BaseException:
            # The caller left meanwhile. Not counted out, the attempt would hold its
            # place at the target for good.
            runtime.cancelled(attempt)
            raise
        decision = runtime.finished(attempt, result)
        return self.guard.settle(attempt.call, decision), reply

    def _learn(self, req, attempt, result, runtime):
        """Bring what an attempt shows of its request to the guard, before it goes on.

        A request that has ended targets would be sent on to the next one within the
        millisecond that it takes to look at the last.
        """
        call = attempt.call
        match result:
            case Answered():
                self.guard.note_answer(call)
            case Lost(broken=True):
                service = runtime.policy.service.name
                looked = self.crash_detector.note_break(
                    attempt, call.identity, req.head.request_id, service
                )
                was_held = call.is_suspect or len(call.attempts) > 1
                if was_held and runtime.policy.allows_attempt(call):
                    if looked is not None:
                        looked.wait()
                    self.guard.recheck(call)


@attrs.define
class _Race:
    """Attempts of one idempotent request, the later ones sent early.

    Parameters
    ----------
    forwarder : Forwarder
        Concludes the attempts.
    req : OutboundRequest
        The request.
    runtime : ServiceRuntime
        The service.
    """

    forwarder: Forwarder
    req: OutboundRequest
    runtime: ServiceRuntime
    _results: SimpleQueue = attrs.field(factory=SimpleQueue)
    _running: dict[Attempt, gevent.Greenlet] = attrs.field(factory=dict)

    def run(self, first, delay):
        """Run until something is decided; give the decision and the reply."""
        try:
            self._start(first)
            timeout = delay
            while True:
                try:
                    attempt, outcome = self._results.get(timeout=timeout)
                except Empty:
                    timeout = self._hedge(first.call, delay)
                    continue
                del self._running[attempt]
                if isinstance(outcome, BaseException):
                    self.runtime.cancelled(attempt)
                    raise outcome
                decision, reply = self.forwarder.conclude(
                    self.req, attempt, outcome, self.runtime
                )
                if not isinstance(decision, AwaitOthers):
                    return decision, reply
        finally:
            self._cut_losers()

    def _start(self, attempt):
        self._running[attempt] = gevent.spawn(self._send, attempt)

    def _send(self, attempt):
        try:
            outcome = self.forwarder.upstreams.send(self.req, attempt)
        except Exception as exc:
            outcome = exc
        self._results.put((attempt, outcome))

    def _hedge(self, call, delay):
        """Send the request once more if it is time; give the time to the next look."""
        decision = self.runtime.policy.hedge(call, time.monotonic())
        match decision:
            case Send(attempt):
                self._start(attempt)
                return None
            case CheckStatus(targets):
                gevent.spawn(self.forwarder.checks.ask, targets, self.runtime)
        return delay if self.runtime.policy.repeats_hedge_check else None

    def _cut_losers(self):
        """Cut what still runs.

        An answer that comes after its request was given up must find its
        connection closed, or it would be taken for the next request's.
        """
        for attempt, greenlet in self._running.items():
            greenlet.kill(block=False)
            self.runtime.cancelled(attempt)


def _relayed(reply):
    phrase = responses.get(reply.status, "Status")
    headers = answer_headers(reply.headers)
    status = f"{reply.status} {phrase}"
    return Answer(status, headers, reply.body, _length_of(reply))


def _length_of(reply):
    """Give the length to tell: for an answer without body, the target's own."""
    if reply.body:
        return len(reply.body)
    if reply.status in BODILESS_STATUSES:
        return None
    told = reply.header("content-length")
    return int(told) if told else None
