"""Request policy of one service at one daemon."""

from cairnferry.policy._attempts import Attempts
from cairnferry.policy._hangs import Hangs
from cairnferry.policy._service_state import ServiceState
from cairnferry.policy.admission import (
    PRIORITIES,
    Admission,
    Refusals,
)
from cairnferry.policy.requests import (
    Answered,
    Attempt,
    AttemptKind,
    AttemptResult,
    AwaitOthers,
    Call,
    Cause,
    CheckStatus,
    Decision,
    Lost,
    NextStep,
    NotRun,
    Pause,
    Refuse,
    Relay,
    Search,
    Send,
    TargetRefused,
    Wait,
    next_step,
)
from cairnferry.policy.search import Found, NothingFound, Searcher
from cairnferry.policy.targets import TargetEvent


class ServicePolicy(ServiceState):
    """Decides about the requests of one service.

    The parameters are those of `ServiceState`.

    Attributes
    ----------
    retries_denied : int
        Number of retries and hedges that the retry budget denied.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.retries_denied = 0
        self._searcher = Searcher(
            self.settings.status_checks, self._targets, self._work
        )
        self._refusals = Refusals(self.settings, self._work, self._rng)
        self._attempts = Attempts(
            self._targets, self.limits, self._work, self._capacity
        )
        self._hangs = Hangs(self.settings.status_checks, self._targets, self._work)
        self._admission = Admission(self.settings, self._targets, self._capacity)
        self._waiting = self._admission.waiting

    @property
    def given_up(self) -> dict[Cause, int]:
        """Number of requests that were given up, by cause."""
        return self._refusals.given_up

    @property
    def attempts(self) -> dict[AttemptKind, int]:
        """Number of attempts that were started, by kind."""
        return self._attempts.counts

    # -- requests --------------------------------------------------------------

    def arrive(self, call: Call, now: float) -> Decision:
        """Return the decision about a request that arrives.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Time in seconds.
        """
        cause = self.refusal_cause(call, now)
        if cause is not None:
            return self._refusals.refuse(cause)
        self._budget.earn(now)
        self._work.note_arrival(call.route, call.rank, call.workspace)
        if self.limits:
            self._demand.record_arrival(now)
        if self.settings.status_checks is not None:
            return self._search(call, AttemptKind.FIRST, now)
        if not self._waiting.count_ahead_of(call.priority):
            attempt = self._attempts.place(call, AttemptKind.FIRST, now)
            if attempt is not None:
                return Send(attempt)
        return self._enqueue(call, now)

    def refusal_cause(self, call: Call, now: float) -> Cause | None:
        """Return why a request is refused before its body is read; None if it is not.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Time in seconds.
        """
        if now >= call.deadline:
            return Cause.DEADLINE
        if not self._targets or self._targets.are_evacuated:
            return self._targets.no_target_cause
        return None

    def refuse(self, cause: Cause) -> Refuse:
        """Refuse a request that was not sent to any target."""
        return self._refusals.refuse(cause)

    def finished(self, attempt: Attempt, result: AttemptResult, now: float) -> Decision:
        """Return the decision that follows the result of an attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        result : AttemptResult
            Its result.
        now : float
            Time in seconds.
        """
        call = attempt.call
        if isinstance(result, Lost):
            self._hangs.note_unanswered(attempt, now)
        self._attempts.end(attempt)
        self._targets.record_result(attempt, result, now)
        self._record_path(attempt, result, now)
        if isinstance(result, Answered) and not result.failed:
            self._work.record(call.route, now - attempt.started, attempt.cost)
        if getattr(result, "report", None) is not None:
            self._adapt_capacity(now)
        if isinstance(result, Lost | Answered):
            call.possibly_run = True
        if call.open_attempts:
            return _decide_with_open_attempts(result)
        return self._continue_after(call, result, now)

    def _record_path(self, attempt, result, now):
        identity = attempt.target.identity
        match result:
            case Answered() | TargetRefused():
                self.note_answer(identity, now)
            case NotRun(deadline=False, withdrawn=False):
                attempt.call.is_unreached = True
                self.paths.note_no_answer(identity, attempt.started)
            case Lost(timed_out=timed_out, broken=broken) if timed_out or broken:
                self.paths.note_no_answer(identity, attempt.started)

    def resume(self, call: Call, now: float) -> Decision:
        """Return the next decision about a request after status checks or a pause.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Time in seconds.
        """
        if now >= call.deadline:
            return self._refusals.give_up(call, Cause.DEADLINE, now)
        found = self._searcher.resume(call, now)
        if isinstance(found, NothingFound) and call.search.kind is AttemptKind.RETRY:
            self._budget.refund()
            if call.search.may_relay:
                return Relay()
        return self._act_on(call, found, now)

    def latest_start(self, call: Call) -> float:
        """Return the latest time to send a request so that it meets its objective."""
        return self._searcher.latest_start(call)

    def _search(self, call, kind, now):
        return self._act_on(call, self._searcher.begin(call, kind, now), now)

    def _act_on(self, call, found, now):
        match found:
            case Found(target, cost, trial):
                attempt = self._attempts.start(
                    call, target, call.search.kind, now, trial
                )
                attempt.cost = cost
                return Send(attempt)
            case NothingFound(cause, capacity_at):
                return self._refusals.give_up(call, cause, now, capacity_at)
            case CheckStatus() | Pause():
                return found

    def _adapt_capacity(self, now):
        latency = self._targets.latency.usual
        self._capacity.adapt(self._targets.reported_load, now, latency)

    def _continue_after(self, call, result, now):
        match next_step(result, call.idempotent):
            case NextStep.RELAY:
                return Relay()
            case NextStep.RETRY_OR_RELAY:
                return self._retry(call, now, False, may_relay=True) or Relay()
            case NextStep.RETRY:
                # A single target that refuses every request would use up the
                # budget, and requests would fail although other targets have
                # capacity. Retries on credit prevent that. If most targets refuse,
                # further attempts would only add to the load.
                on_credit = self._targets.most_are_healthy(now)
                retry = self._retry(call, now, on_credit and not call.possibly_run)
                return retry or self._give_up_without_target(
                    call, _cause_of(result), now
                )
            case NextStep.REPORT_UNKNOWN:
                timed_out = isinstance(result, Lost) and result.timed_out
                return self._refusals.give_up(
                    call, Cause.DEADLINE if timed_out else Cause.TARGET_LOST, now
                )

    def cancelled(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt was cancelled because it was no longer needed."""
        self._hangs.note_unanswered(attempt, now)
        self._attempts.end(attempt)
        self._targets.record_cancellation(attempt, now)

    def abandon(self, call: Call) -> None:
        """Remove a waiting request whose caller disconnected."""
        self._waiting.remove(call)

    def hanging_attempts(self, call: Call, now: float) -> list[Attempt]:
        """Return the attempts of a request that are to be cancelled, as they hang.

        The last open attempt is kept, because its response may still arrive.
        """
        hanging = [
            attempt
            for attempt in call.attempts
            if not attempt.ended and self._hangs.is_hanging(attempt, now)
        ]
        return hanging[: call.open_attempts - 1]

    def retire(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt that hangs was cancelled; the request may have run."""
        attempt.call.possibly_run = True
        self.cancelled(attempt, now)

    def hedge_delay(self) -> float | None:
        """Return the delay in seconds before `hedge` is called; None if it never is."""
        if self.settings.status_checks is not None:
            return self.settings.status_checks.hedge_check_interval_s
        latency = self._targets.latency
        if not self.service.hedging or not latency.high:
            return None
        delay = self.settings.hedge_factor * latency.usual
        return max(self.settings.hedge_min_s, delay, latency.high)

    @property
    def repeats_hedge_check(self) -> bool:
        """Whether `hedge` is to be called again after another `hedge_delay`."""
        return self.settings.status_checks is not None

    def hedge(self, call: Call, now: float) -> Send | CheckStatus | None:
        """Send an idempotent request to a second target, if the budget allows it.

        With status checks enabled, the request is hedged only if its first target is
        stuck. The driver carries out a `CheckStatus` decision and then calls `hedge`
        again.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Time in seconds.

        Returns
        -------
        Send, CheckStatus or None
            None if the request is not hedged now.
        """
        if not call.idempotent or now >= call.deadline:
            return None
        if call.open_attempts != 1:
            checks_status = self.settings.status_checks is not None
            return self._hangs.check_due(call, now) if checks_status else None
        if call.is_suspect:
            return None
        if self.settings.status_checks is not None:
            return self._hedge_if_stuck(call, now)
        if not self.allows_attempt(call) or not self._capacity.has_capacity_for(
            call.priority
        ):
            return None
        if not self._spend(now):
            return None
        attempt = self._attempts.place(call, AttemptKind.HEDGE, now)
        return Send(attempt) if attempt else None

    def _hedge_if_stuck(self, call, now):
        if not self.allows_attempt(call):
            return None
        found = self._searcher.find_second_target(call, now)
        if isinstance(found, Found):
            if not self._spend(now):
                return None
            call.search = Search(AttemptKind.HEDGE)
            return self._act_on(call, found, now)
        return found

    def _spend(self, now, on_credit=False):
        """Spend a token of the retry budget, or count the denial if there is none."""
        allowed = self._budget.spend(now, on_credit)
        self.retries_denied += not allowed
        return allowed

    # -- waiting ---------------------------------------------------------------

    def _enqueue(self, call, now):
        cause = self._admission.admit(call, self.service.queue_limit, now)
        if cause is self._targets.no_target_cause:
            return self._give_up_without_target(call, cause, now)
        if cause is not None:
            return self._refusals.refuse(cause)
        return Wait(self._admission.start_by(call))

    def _give_up_without_target(self, call, cause, now):
        """Give up a request for which no target is left.

        While all targets are backing off, Retry-After follows from the first back-off
        that ends.
        """
        back_off_end = self._targets.back_off_end(now)
        if back_off_end is None or now >= call.deadline:
            return self._refusals.give_up(call, cause, now)
        return self._refusals.give_up(call, Cause.BACKING_OFF, now, back_off_end)

    def release(self, now: float) -> list[tuple[Call, Decision]]:
        """Return decisions about waiting requests that can be sent or have timed out.

        The driver calls this method after an attempt ended and when a `Wait` expires.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of tuple of (Call, Decision)
            Requests that left the queue, each with its decision.
        """
        decided = [
            (call, self._refusals.give_up(call, Cause.OVERLOAD, now))
            for call in self._admission.take_displaced()
        ]
        for priority in PRIORITIES:
            decided.extend(self._release_priority(priority, now))
        return decided

    def give_up_waiting(self, cause: Cause, now: float) -> list[tuple[Call, Decision]]:
        """Give up all waiting requests.

        Parameters
        ----------
        cause : Cause
            Reason for giving them up.
        now : float
            Time in seconds.

        Returns
        -------
        list of tuple of (Call, Decision)
            The requests, each with its decision.
        """
        decided = []
        for priority in PRIORITIES:
            while (call := self._waiting.peek(priority)) is not None:
                self._waiting.remove(call)
                decided.append((call, self._refusals.give_up(call, cause, now)))
        return decided

    def _release_priority(self, priority, now):
        decided = []
        while True:
            call = self._waiting.peek(priority)
            if call is None:
                return decided
            decision = self._decide_waiting(call, now)
            if decision is None:
                return decided
            self._waiting.remove(call)
            decided.append((call, decision))

    def _decide_waiting(self, call, now):
        """Decide about the first waiting request; None leaves it in the queue."""
        if now >= self._admission.start_by(call):
            return self._refusals.give_up(call, Cause.DEADLINE, now)
        if self._targets.none_left_for(call, self._admission.start_by(call)):
            cause = self._targets.no_target_cause
            return self._give_up_without_target(call, cause, now)
        kind = AttemptKind.RETRY if call.attempts else AttemptKind.FIRST
        attempt = self._attempts.place(call, kind, now)
        return Send(attempt) if attempt else None

    # -- attempts --------------------------------------------------------------

    def spend_retry(self, now: float) -> bool:
        """Spend a token of the retry budget; return whether there was one.

        A request that may have run at a target and is passed on to a peer arrives at
        a second target.
        """
        return self._spend(now)

    def refuse_with_delay(self, cause: Cause, retry_after: float) -> Refuse:
        """Refuse a request for a cause outside of this service."""
        return self._refusals.refuse_with_delay(cause, retry_after)

    def allows_attempt(self, call: Call) -> bool:
        """Return whether a request may have a further attempt."""
        limit = call.max_attempts or self.settings.max_attempts
        return call.may_retry and len(call.attempts) < limit

    def _retry(self, call, now, on_credit, may_relay=False):
        """Return a decision that retries the request, or None."""
        if not self.allows_attempt(call) or now >= call.deadline:
            return None
        if not self._spend(now, on_credit):
            return None
        if self.settings.status_checks is not None:
            return self._search_for_retry(call, now, may_relay)
        attempt = self._attempts.place(call, AttemptKind.RETRY, now)
        if attempt is not None:
            return Send(attempt)
        # If no target is left, waiting up to the deadline changes nothing.
        full = len(self._waiting) >= self.service.queue_limit
        start_by = self._admission.start_by(call)
        if full or self._targets.none_left_for(call, start_by):
            return None
        self._waiting.push(call)
        return Wait(self._admission.start_by(call))

    def _search_for_retry(self, call, now, may_relay):
        found = self._searcher.begin(call, AttemptKind.RETRY, now)
        call.search.may_relay = may_relay
        if isinstance(found, NothingFound):
            self._budget.refund()
            return None
        return self._act_on(call, found, now)

    def take_events(self) -> list[TargetEvent]:
        """Return the state changes of targets since the last call."""
        return self._targets.events.take()

    # -- reporting -------------------------------------------------------------

    def snapshot(self, now: float) -> dict:
        """Return the state as plain values for a dump."""
        latency = self._targets.latency
        return {
            "in_flight": self.in_flight,
            "waiting": self.waiting,
            "window": round(self._capacity.limit, 2),
            "reported_load": round(self._targets.reported_load, 3),
            "retry_tokens": round(self._budget.tokens, 2),
            "repeats_denied": self.retries_denied,
            "hung": self._hangs.count,
            "known_queue": self._targets.check_chooser.queues.length,
            "usual_latency_ms": round(latency.usual * 1000, 3),
            "high_latency_ms": round(latency.high * 1000, 3),
            "attempts": {str(kind): n for kind, n in self.attempts.items()},
            "zones": dict(self._attempts.zone_counts),
            "overload_by_rank": {
                str(rank): n for rank, n in self._refusals.overload_by_rank.items()
            },
            "given_up": {str(cause): n for cause, n in self.given_up.items()},
            "paths": self.paths.snapshot(now),
            "targets": self._targets.snapshot(now),
        }

    @property
    def retries_left(self) -> float:
        """Number of further attempts that the budget allows now."""
        return self._budget.tokens

    @property
    def spare(self) -> float:
        """Unused share of the concurrency window, 0 to 1."""
        return max(0.0, 1 - (self.in_flight + self.waiting) / self._capacity.limit)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a target."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of attempts without a result."""
        return self._capacity.in_flight


def _decide_with_open_attempts(result):
    """Relay a successful response; leave other results to the open attempts."""
    match result:
        case Answered(failed=False):
            return Relay()
        case _:
            return AwaitOthers()


def _cause_of(result):
    match result:
        case NotRun(deadline=True) | Lost(timed_out=True):
            return Cause.DEADLINE
        case TargetRefused(draining=True):
            return Cause.NO_TARGET
        case TargetRefused():
            return Cause.OVERLOAD
        case _:
            return Cause.RETRIES_EXHAUSTED
