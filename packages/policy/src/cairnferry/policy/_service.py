"""Policy of one service at one daemon."""

import math
import random

from cairnferry.policy._budget import RetryBudget
from cairnferry.policy._choice import Chooser
from cairnferry.policy._ejection import Ejector
from cairnferry.policy._evidence import (
    Answered,
    AttemptResult,
    Follow,
    Lost,
    NotRun,
    TargetRefused,
    follow,
)
from cairnferry.policy._latency import LatencyEstimate
from cairnferry.policy._model import (
    Abandoned,
    Attempt,
    AttemptKind,
    Call,
    Cause,
    Decision,
    GiveUp,
    Refuse,
    Relay,
    Send,
    Wait,
)
from cairnferry.policy._queue import WaitingCalls
from cairnferry.policy._settings import PolicySettings
from cairnferry.policy._target import (
    CLEARLY_SLOWER,
    DrainSource,
    ReportTrust,
    TargetState,
)
from cairnferry.policy._usable import UsableTargets
from cairnferry.policy._window import Window
from cairnferry.records import Priority, Service, Target

START_SHARE = 0.5
REPORTED_LOAD_GAIN = 0.05
PROBE_RETURN_S = 5.0
MAX_REFUSAL_DOUBLINGS = 6
_PRIORITIES = (Priority.INTERACTIVE, Priority.BACKGROUND)


class ServicePolicy:
    """Decides about the requests of one service.

    Parameters
    ----------
    service : Service
        The service's record.
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    settings : PolicySettings, optional
        Constants.
    """

    def __init__(
        self,
        service: Service,
        zone: str,
        rng: random.Random,
        settings: PolicySettings | None = None,
    ):
        self.settings = settings or PolicySettings()
        self.service = service
        self._targets: dict[str, TargetState] = {}
        self._usable = UsableTargets(zone)
        self._chooser = _chooser(self.settings, rng)
        self._ejector = _ejector(self.settings)
        self._budget = _budget(self.settings, service)
        self._latency = LatencyEstimate(self.settings.high_quantile)
        self._window = _window(self.settings, 1.0)
        self._background_window = _window(
            self.settings, self.settings.background_growth
        )
        self._waiting = WaitingCalls()
        self._displaced: list[Call] = []
        self._reported_load = 0.0
        self._in_flight = 0
        self._background_in_flight = 0
        self.refused = dict.fromkeys(Cause, 0)
        self.attempts = dict.fromkeys(AttemptKind, 0)

    # -- what is known of the service and its targets --------------------------

    def update(self, service: Service, targets: list[Target], now: float) -> None:
        """Take in the records in force; what was learnt of targets is kept."""
        self.service = service
        self._budget.ratio = service.retry_ratio
        known = self._targets
        self._targets = {}
        for target in targets:
            state = known.get(target.name)
            if state is None or state.record.address != target.address:
                state = TargetState(target, ready_since=self._start_of(known, now))
            state.record = target
            self._targets[target.name] = state
        total = sum(target.slots for target in targets)
        self._window.set_maximum(total)
        self._background_window.set_maximum(total * self.settings.background_share)
        if not known:
            self._window.limit = max(self._window.minimum, total * START_SHARE)
        self._usable.forget()

    def _start_of(self, known, now):
        """Ramp a target that joins others; a whole new service starts at once."""
        return now if known else -math.inf

    def note_draining(
        self, target_name: str, source: DrainSource, until: float
    ) -> None:
        """Take in that a source calls a target leaving.

        Parameters
        ----------
        target_name : str
            Name of the target.
        source : DrainSource
            Who says so.
        until : float
            Time in seconds to which it holds; 0 takes it back.
        """
        target = self._targets.get(target_name)
        if target is not None and target.draining_until.get(source, 0) != until:
            target.draining_until[source] = until
            self._usable.forget()

    def note_probe(self, target_name: str, healthy: bool, now: float) -> None:
        """Take in the result of a probe.

        A target that is out of use comes back by a trial request. Where none of
        the requests may be sent twice, no trial is made, and a probe has to do.
        """
        target = self._targets.get(target_name)
        if target is None or not target.ejected_until or not healthy:
            return
        if now >= target.ejected_until + PROBE_RETURN_S:
            self._ejector.note_success(target, now)
            self._usable.forget()

    # -- requests --------------------------------------------------------------

    def arrive(self, call: Call, now: float) -> Decision:
        """Decide about a request that arrives."""
        if now >= call.deadline:
            return self._refuse(Cause.DEADLINE)
        if not self._targets:
            return self._refuse(Cause.NO_TARGET)
        self._budget.earn()
        if not self._waiting:
            attempt = self._place(call, AttemptKind.FIRST, now)
            if attempt is not None:
                return Send(attempt)
        return self._enqueue(call, now)

    def _enqueue(self, call, now):
        if self._is_hopeless(call, now):
            return self._refuse(Cause.NO_TARGET)
        start_by = self._start_by(call)
        if self._expected_wait(call) > self.settings.wait_share * (start_by - now):
            return self._refuse(Cause.DEADLINE)
        if len(self._waiting) >= self.service.queue_limit:
            if not self._make_room(call):
                return self._refuse(Cause.OVERLOAD)
        self._waiting.push(call)
        return Wait(start_by)

    def _expected_wait(self, call):
        ahead = self._waiting.count(call.priority)
        return ahead * self._latency.usual / max(1.0, self._window.limit)

    def _start_by(self, call):
        """Give the time by which a request has to be sent to make its deadline."""
        return call.deadline - max(self._latency.usual, self._latency.high)

    def _make_room(self, call):
        """Refuse a waiting background request in favour of an interactive one."""
        if call.priority is Priority.BACKGROUND:
            return False
        victim = self._waiting.last_background()
        if victim is None:
            return False
        self._waiting.remove(victim)
        self._displaced.append(victim)
        return True

    def release(self, now: float) -> list[tuple[Call, Decision]]:
        """Decide about waiting requests for which it is time.

        To be called after an attempt ended and when a `Wait` has run out.
        """
        decided = [
            (call, self._settle(call, Cause.OVERLOAD)) for call in self._displaced
        ]
        self._displaced.clear()
        for priority in _PRIORITIES:
            decided.extend(self._release_class(priority, now))
        return decided

    def _release_class(self, priority, now):
        decided = []
        while True:
            call = self._waiting.peek(priority)
            if call is None:
                return decided
            cause = self._reason_to_settle(call, now)
            if cause is not None:
                self._waiting.remove(call)
                decided.append((call, self._settle(call, cause)))
                continue
            kind = AttemptKind.RETRY if call.attempts else AttemptKind.FIRST
            attempt = self._place(call, kind, now)
            if attempt is None:
                return decided
            self._waiting.remove(call)
            decided.append((call, Send(attempt)))

    def _reason_to_settle(self, call, now):
        if now >= self._start_by(call):
            return Cause.DEADLINE
        if self._is_hopeless(call, now):
            return Cause.NO_TARGET
        return None

    def abandon(self, call: Call) -> None:
        """Forget a waiting request whose caller went away."""
        self._waiting.remove(call)

    def finished(self, attempt: Attempt, result: AttemptResult, now: float) -> Decision:
        """Decide what follows the result of an attempt."""
        call = attempt.call
        self._end(attempt)
        self._learn(attempt, result, now)
        if isinstance(result, Lost | Answered):
            call.possibly_run = True
        if call.open_attempts:
            return self._while_others_run(result)
        match follow(result, call.idempotent):
            case Follow.RELAY:
                return Relay()
            case Follow.AGAIN_OR_RELAY:
                return self._again(call, now, False) or Relay()
            case Follow.AGAIN:
                on_credit = not call.possibly_run and self._most_are_sound(now)
                again = self._again(call, now, on_credit)
                return again or self._settle(call, _cause(result))
            case Follow.TELL_UNKNOWN:
                late = isinstance(result, Lost) and result.timed_out
                return self._settle(call, Cause.DEADLINE if late else Cause.TARGET_LOST)

    def _while_others_run(self, result):
        """Relay a good answer at once; leave anything else to the others."""
        match result:
            case Answered(failed=False):
                return Relay()
            case _:
                return Abandoned()

    def cancelled(self, attempt: Attempt, now: float) -> None:
        """Take in that an attempt was cut off, as it was no longer needed."""
        self._end(attempt)
        target = attempt.target
        elapsed = now - attempt.started
        if elapsed > CLEARLY_SLOWER * self._latency.usual > 0:
            # A hedge won, or the caller left. A target that hangs gives no other
            # sign: its attempts would always be cut before they fail.
            self._learn_failure(target, elapsed, now)
        elif elapsed > target.latency:
            target.note_latency(elapsed, self.settings.latency_gain, now)

    def _most_are_sound(self, now):
        """Tell whether more than half of the targets did well last time.

        One target that refuses all it is offered would use up the budget, and
        requests would be lost although the others have room. If most refuse,
        further attempts would only add to the load.
        """
        sound = sum(target.is_sound(now) for target in self._targets.values())
        return 2 * sound > len(self._targets)

    def _again(self, call, now, on_credit):
        """Give a decision that goes on with the request, or None."""
        if not call.may_retry or len(call.attempts) >= self.settings.max_attempts:
            return None
        if now >= call.deadline or not self._budget.spend(on_credit):
            return None
        attempt = self._place(call, AttemptKind.RETRY, now)
        if attempt is not None:
            return Send(attempt)
        if len(self._waiting) >= self.service.queue_limit or self._is_hopeless(
            call, now
        ):
            return None
        self._waiting.push(call)
        return Wait(self._start_by(call))

    def _is_hopeless(self, call, now):
        """Tell whether no target is left that could still take the request.

        It would wait to its deadline for an answer that is known by now.
        """
        return all(
            target.is_draining(now) or call.tried(target.name)
            for target in self._targets.values()
        )

    def hedge_delay(self) -> float | None:
        """Give the seconds after which an attempt may be doubled; None: never."""
        if not self.service.hedging or not self._latency.high:
            return None
        late = self.settings.hedge_factor * self._latency.usual
        return max(self.settings.hedge_min_s, late, self._latency.high)

    def hedge(self, call: Call, now: float) -> Send | None:
        """Send an idempotent request a second time, if the budget has room."""
        if not call.idempotent or not call.may_retry or call.open_attempts != 1:
            return None
        if len(call.attempts) >= self.settings.max_attempts or now >= call.deadline:
            return None
        if not self._window.has_room(self._in_flight) or not self._budget.spend():
            return None
        attempt = self._place(call, AttemptKind.HEDGE, now)
        return Send(attempt) if attempt else None

    # -- parts -----------------------------------------------------------------

    def _place(self, call, kind, now):
        """Choose a target and count the attempt; None if there is no room."""
        if not self._has_room(call):
            return None
        target = self._trial_target(call, now)
        trial = target is not None
        if target is None:
            target = self._choose(call, now)
        if target is None:
            return None
        attempt = Attempt(call, target, kind, now, trial)
        call.attempts.append(attempt)
        target.note_sent(now)
        if trial:
            target.trial_started = now
        self._in_flight += 1
        self._background_in_flight += call.priority is Priority.BACKGROUND
        self.attempts[kind] += 1
        return attempt

    def _has_room(self, call):
        if not self._window.has_room(self._in_flight):
            return False
        if call.priority is Priority.INTERACTIVE:
            return True
        return self._background_window.has_room(self._background_in_flight)

    def _choose(self, call, now):
        near, far = self._usable.lists(self._targets, now)
        if call.attempts:
            near = [target for target in near if not call.tried(target.name)]
            far = [target for target in far if not call.tried(target.name)]
        interactive = call.priority is Priority.INTERACTIVE
        max_load = (
            self.settings.full_load if interactive else self.settings.background_load
        )
        return self._chooser.choose(near, far, now, self._latency.usual, max_load)

    def _trial_target(self, call, now):
        if not self._usable.ejected or not call.idempotent or call.attempts:
            return None
        for target in self._usable.ejected:
            if self._ejector.wants_trial(target, now):
                return target
        return None

    def _end(self, attempt):
        attempt.ended = True
        self._in_flight -= 1
        if attempt.call.priority is Priority.BACKGROUND:
            self._background_in_flight -= 1
        attempt.target.note_ended(attempt.started)

    def _learn(self, attempt, result, now):
        target = attempt.target
        match result:
            case Answered(failed=False, report=report):
                self._learn_success(target, now - attempt.started, report, now)
            case Answered(failed=True) | Lost() | NotRun(deadline=False):
                self._learn_failure(target, now - attempt.started, now)
            case TargetRefused(draining=draining, report=report):
                self._learn_refusal(target, draining, report, now)

    def _learn_success(self, target, elapsed, report, now):
        was_out = bool(target.ejected_until)
        target.paused_until = 0.0
        target.refusals = 0
        target.note_latency(elapsed, self.settings.latency_gain, now)
        self._latency.note(elapsed)
        self._ejector.note_success(target, now)
        if was_out:
            self._usable.forget()
        if report is not None:
            self._learn_report(target, report, now)

    def _learn_report(self, target, report, now):
        target.note_report(report, now)
        chooser = self._chooser
        step = target.others_load - chooser.usual_others
        chooser.usual_others += REPORTED_LOAD_GAIN * step
        load = report.in_use / target.record.slots
        self._reported_load += REPORTED_LOAD_GAIN * (load - self._reported_load)
        self._adapt(self._window, self._in_flight, self.settings.full_report_load, now)
        self._adapt(
            self._background_window,
            self._background_in_flight,
            self.settings.background_load,
            now,
        )

    def _adapt(self, window, in_flight, wanted_load, now):
        """Move a window by what the targets report on the whole."""
        excess = self._reported_load / wanted_load
        if excess > 1:
            window.note_full(excess, now, self._latency.usual)
        else:
            window.note_free(in_flight)

    def _learn_failure(self, target, elapsed, now):
        slow = self._latency.usual * self.settings.failure_latency_factor
        target.note_latency(max(elapsed, slow), self.settings.latency_gain, now)
        self._ejector.note_failure(target, self._targets.values(), now)
        self._usable.forget()

    def _learn_refusal(self, target, draining, report, now):
        if draining:
            until = now + self.settings.refusal_drain_s
            target.draining_until[DrainSource.REFUSAL] = until
        doublings = min(target.refusals, MAX_REFUSAL_DOUBLINGS)
        target.refusals += 1
        target.paused_until = now + self.settings.refusal_pause_s * 2**doublings
        if report is not None:
            self._learn_report(target, report, now)
        self._usable.forget()

    def _settle(self, call, cause):
        """Give the request up, with what the evidence of all attempts allows."""
        if call.possibly_run:
            self.refused[cause] += 1
            return GiveUp(cause, self.settings.retry_after_s)
        return self._refuse(cause)

    def _refuse(self, cause):
        self.refused[cause] += 1
        return Refuse(cause, self.settings.retry_after_s)

    def snapshot(self, now: float) -> dict:
        """Give the state for a dump, as plain values."""
        return {
            "in_flight": self._in_flight,
            "waiting": len(self._waiting),
            "window": round(self._window.limit, 2),
            "retry_tokens": round(self._budget.tokens, 2),
            "usual_latency_ms": round(self._latency.usual * 1000, 3),
            "high_latency_ms": round(self._latency.high * 1000, 3),
            "attempts": {str(kind): n for kind, n in self.attempts.items()},
            "given_up": {str(cause): n for cause, n in self.refused.items()},
            "targets": [self._target_snapshot(t, now) for t in self._targets.values()],
        }

    def _target_snapshot(self, target, now):
        return {
            "name": target.name,
            "zone": target.record.zone,
            "in_flight": target.in_flight,
            "load": round(self._load_of(target, now), 3),
            "latency_ms": round(target.latency * 1000, 3),
            "draining": target.is_draining(now),
            "ejected": bool(target.ejected_until),
            "failures": target.failures,
            "sent": target.sent,
        }

    def _load_of(self, target, now):
        return target.load(now, self._chooser.trust, self._chooser.usual_others)

    @property
    def spare(self) -> float:
        """Share of the window that is free, 0 to 1."""
        return max(0.0, 1 - (self._in_flight + len(self._waiting)) / self._window.limit)

    @property
    def waiting(self) -> int:
        """Requests that wait for a target."""
        return len(self._waiting)


def _cause(result):
    match result:
        case NotRun(deadline=True):
            return Cause.DEADLINE
        case Lost(timed_out=True):
            return Cause.DEADLINE
        case TargetRefused(draining=True):
            return Cause.NO_TARGET
        case TargetRefused():
            return Cause.OVERLOAD
        case _:
            return Cause.RETRIES_EXHAUSTED


def _chooser(settings, rng):
    return Chooser(
        settings.strategy,
        rng,
        ReportTrust(settings.report_weight, settings.report_decay_s),
        settings.latency_memory_s,
        settings.ramp_s,
    )


def _ejector(settings):
    return Ejector(
        settings.eject_failures,
        settings.eject_base_s,
        settings.eject_max_s,
        settings.eject_share,
        settings.trial_timeout_s,
    )


def _budget(settings, service):
    return RetryBudget(
        service.retry_ratio,
        settings.retry_burst,
        settings.retry_start,
    )


def _window(settings, growth):
    return Window(
        settings.min_window,
        settings.min_window,
        settings.min_window,
        settings.deepest_cut,
        growth,
    )
