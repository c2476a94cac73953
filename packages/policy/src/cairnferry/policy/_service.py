"""Policy of one service at one daemon."""

from cairnferry.policy._attempts import Attempts
from cairnferry.policy._service_state import ServiceState
from cairnferry.policy.admission import (
    CLASSES,
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
    Follow,
    Lost,
    NotRun,
    Pause,
    Refuse,
    Relay,
    Search,
    Send,
    TargetRefused,
    Wait,
    follow,
)
from cairnferry.policy.search import Found, NothingFound, Searcher
from cairnferry.policy.targets import TargetEvent


class ServicePolicy(ServiceState):
    """Decides about the requests of one service; parameters as `ServiceState`."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.retries_denied = 0
        self._searcher = Searcher(self.settings.seek, self._targets, self._work)
        self._refusals = Refusals(self.settings, self._work, self._rng)
        self._attempts = Attempts(self._targets, self.limits, self._work, self._room)
        self._admission = Admission(self.settings, self._targets, self._room)
        self._waiting = self._admission.waiting

    @property
    def given_up(self) -> dict[Cause, int]:
        """Requests that were given up, by cause."""
        return self._refusals.given_up

    @property
    def attempts(self) -> dict[AttemptKind, int]:
        """Attempts that were made, by kind."""
        return self._attempts.made

    # -- requests --------------------------------------------------------------

    def arrive(self, call: Call, now: float) -> Decision:
        """Decide about a request that arrives."""
        if now >= call.deadline:
            return self._refusals.refuse(Cause.DEADLINE)
        if not self._targets or self._targets.are_evacuated:
            return self._refusals.refuse(self._targets.cause_of_none)
        self._budget.earn(now)
        self._work.note_arrival(call.route, call.rank)
        if self.limits:
            self._demand.note(now)
        if self.settings.seek is not None:
            return self._search(call, AttemptKind.FIRST, now)
        if not self._waiting.ahead_of(call.priority):
            attempt = self._attempts.place(call, AttemptKind.FIRST, now)
            if attempt is not None:
                return Send(attempt)
        return self._enqueue(call, now)

    def finished(self, attempt: Attempt, result: AttemptResult, now: float) -> Decision:
        """Decide what follows the result of an attempt."""
        call = attempt.call
        self._attempts.end(attempt)
        self._targets.learn(attempt, result, now)
        if isinstance(result, Answered) and not result.failed:
            self._work.note(call.route, now - attempt.started, attempt.cost)
        if getattr(result, "report", None) is not None:
            self._adapt_room(now)
        if isinstance(result, Lost | Answered):
            call.possibly_run = True
        if call.open_attempts:
            return _while_others_run(result)
        return self._follow(call, result, now)

    def resume(self, call: Call, now: float) -> Decision:
        """Decide about a request once the targets to ask have been asked."""
        if now >= call.deadline:
            return self._refusals.settle(call, Cause.DEADLINE, now)
        found = self._searcher.go_on(call, now)
        if isinstance(found, NothingFound) and call.search.kind is AttemptKind.RETRY:
            self._budget.give_back()
            if call.search.may_relay:
                return Relay()
        return self._act_on(call, found, now)

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
            case NothingFound(cause, room_at):
                return self._refusals.settle(call, cause, now, room_at)
            case CheckStatus() | Pause():
                return found

    def _adapt_room(self, now):
        latency = self._targets.latency.usual
        self._room.adapt(self._targets.reported_load, now, latency)

    def _follow(self, call, result, now):
        match follow(result, call.idempotent):
            case Follow.RELAY:
                return Relay()
            case Follow.AGAIN_OR_RELAY:
                return self._again(call, now, False, may_relay=True) or Relay()
            case Follow.AGAIN:
                # One target that refuses all it is offered would use up the
                # budget, and requests would be lost although the others have
                # room. If most refuse, more attempts would only add to the load.
                sound = self._targets.most_are_sound(now)
                again = self._again(call, now, sound and not call.possibly_run)
                return again or self._settle_without_target(call, _cause(result), now)
            case Follow.TELL_UNKNOWN:
                late = isinstance(result, Lost) and result.timed_out
                return self._refusals.settle(
                    call, Cause.DEADLINE if late else Cause.TARGET_LOST, now
                )

    def cancelled(self, attempt: Attempt, now: float) -> None:
        """Take in that an attempt was cut off, as it was no longer needed."""
        self._attempts.end(attempt)
        self._targets.learn_cut(attempt, now)

    def abandon(self, call: Call) -> None:
        """Forget a waiting request whose caller went away."""
        self._waiting.remove(call)

    def hedge_delay(self) -> float | None:
        """Give the seconds after which an attempt may be doubled; None: never."""
        if self.settings.seek is not None:
            return self.settings.seek.look_s
        latency = self._targets.latency
        if not self.service.hedging or not latency.high:
            return None
        late = self.settings.hedge_factor * latency.usual
        return max(self.settings.hedge_min_s, late, latency.high)

    @property
    def repeats_hedge_check(self) -> bool:
        """Whether `hedge` is to be called again after another such delay."""
        return self.settings.seek is not None

    def hedge(self, call: Call, now: float) -> Send | CheckStatus | None:
        """Send an idempotent request a second time, if the budget has room.

        Where targets can be asked, only if the first one is stuck: an answer to
        `CheckStatus` is followed by another call.
        """
        if not call.idempotent or call.open_attempts != 1 or now >= call.deadline:
            return None
        if call.is_suspect:
            return None
        if self.settings.seek is not None:
            return self._hedge_if_stuck(call, now)
        if not self.allows_attempt(call) or not self._room.has(call.priority):
            return None
        if not self._spend(now):
            return None
        attempt = self._attempts.place(call, AttemptKind.HEDGE, now)
        return Send(attempt) if attempt else None

    def _hedge_if_stuck(self, call, now):
        if not self.allows_attempt(call):
            return None
        found = self._searcher.second_target(call, now)
        if isinstance(found, Found):
            if not self._spend(now):
                return None
            call.search = Search(AttemptKind.HEDGE)
            return self._act_on(call, found, now)
        return found

    def _spend(self, now, on_credit=False):
        """Take a further attempt from the budget, if it has one; count if not."""
        allowed = self._budget.spend(now, on_credit)
        self.retries_denied += not allowed
        return allowed

    # -- waiting ---------------------------------------------------------------

    def _enqueue(self, call, now):
        cause = self._admission.admit(call, self.service.queue_limit, now)
        if cause is self._targets.cause_of_none:
            return self._settle_without_target(call, cause, now)
        if cause is not None:
            return self._refusals.refuse(cause)
        return Wait(self._admission.start_by(call))

    def _settle_without_target(self, call, cause, now):
        """Give a request up; while all rest, the first to end that says when."""
        back_at = self._targets.back_at(now)
        if back_at is None or now >= call.deadline:
            return self._refusals.settle(call, cause, now)
        return self._refusals.settle(call, Cause.BACKING_OFF, now, back_at)

    def release(self, now: float) -> list[tuple[Call, Decision]]:
        """Decide about waiting requests for which it is time.

        To be called after an attempt ended and when a `Wait` has run out.
        """
        decided = [
            (call, self._refusals.settle(call, Cause.OVERLOAD, now))
            for call in self._admission.take_displaced()
        ]
        for priority in CLASSES:
            decided.extend(self._release_class(priority, now))
        return decided

    def _release_class(self, priority, now):
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
        """Decide about the first waiting request; None lets it wait on."""
        if now >= self._admission.start_by(call):
            return self._refusals.settle(call, Cause.DEADLINE, now)
        if self._targets.none_left_for(call, self._admission.start_by(call)):
            cause = self._targets.cause_of_none
            return self._settle_without_target(call, cause, now)
        kind = AttemptKind.RETRY if call.attempts else AttemptKind.FIRST
        attempt = self._attempts.place(call, kind, now)
        return Send(attempt) if attempt else None

    # -- attempts --------------------------------------------------------------

    def refuse_with_delay(self, cause: Cause, retry_after: float) -> Refuse:
        """Refuse a request for a cause that lies outside of this service."""
        return self._refusals.refuse_with_delay(cause, retry_after)

    def allows_attempt(self, call: Call) -> bool:
        """Tell whether a request may have a further attempt."""
        limit = call.max_attempts or self.settings.max_attempts
        return call.may_retry and len(call.attempts) < limit

    def _again(self, call, now, on_credit, may_relay=False):
        """Give a decision that goes on with the request, or None."""
        if not self.allows_attempt(call) or now >= call.deadline:
            return None
        if not self._spend(now, on_credit):
            return None
        if self.settings.seek is not None:
            return self._search_again(call, now, may_relay)
        attempt = self._attempts.place(call, AttemptKind.RETRY, now)
        if attempt is not None:
            return Send(attempt)
        # With no target left it would wait to its deadline for what is known now.
        full = len(self._waiting) >= self.service.queue_limit
        start_by = self._admission.start_by(call)
        if full or self._targets.none_left_for(call, start_by):
            return None
        self._waiting.push(call)
        return Wait(self._admission.start_by(call))

    def _search_again(self, call, now, may_relay):
        found = self._searcher.begin(call, AttemptKind.RETRY, now)
        call.search.may_relay = may_relay
        if isinstance(found, NothingFound):
            self._budget.give_back()
            return None
        return self._act_on(call, found, now)

    def take_events(self) -> list[TargetEvent]:
        """Give the changes in what is believed of targets since the last call."""
        return self._targets.events.take()

    # -- what is shown ---------------------------------------------------------

    def snapshot(self, now: float) -> dict:
        """Give the state for a dump, as plain values."""
        latency = self._targets.latency
        return {
            "in_flight": self.in_flight,
            "waiting": self.waiting,
            "window": round(self._room.limit, 2),
            "reported_load": round(self._targets.reported_load, 3),
            "retry_tokens": round(self._budget.tokens, 2),
            "repeats_denied": self.retries_denied,
            "usual_latency_ms": round(latency.usual * 1000, 3),
            "high_latency_ms": round(latency.high * 1000, 3),
            "attempts": {str(kind): n for kind, n in self.attempts.items()},
            "given_up": {str(cause): n for cause, n in self.given_up.items()},
            "targets": self._targets.snapshot(now),
        }

    @property
    def retries_left(self) -> float:
        """Further attempts that the budget has at this moment."""
        return self._budget.tokens

    @property
    def spare(self) -> float:
        """Share of the window that is free, 0 to 1."""
        return max(0.0, 1 - (self.in_flight + self.waiting) / self._room.limit)

    @property
    def waiting(self) -> int:
        """Requests that wait for a target."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Attempts without result."""
        return self._room.in_flight


def _while_others_run(result):
    """Relay a good answer at once; leave anything else to the other attempts."""
    match result:
        case Answered(failed=False):
            return Relay()
        case _:
            return AwaitOthers()


def _cause(result):
    match result:
        case NotRun(deadline=True) | Lost(timed_out=True):
            return Cause.DEADLINE
        case TargetRefused(draining=True):
            return Cause.NO_TARGET
        case TargetRefused():
            return Cause.OVERLOAD
        case _:
            return Cause.RETRIES_EXHAUSTED
