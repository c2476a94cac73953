"""Policy of one service at one daemon."""

import random

from cairnferry.policy._budget import RetryBudget, WindowBudget
from cairnferry.policy._events import TargetEvent
from cairnferry.policy._evidence import (
    Answered,
    AttemptResult,
    Follow,
    Lost,
    NotRun,
    TargetRefused,
    follow,
)
from cairnferry.policy._model import (
    Abandoned,
    Ask,
    Attempt,
    AttemptKind,
    Call,
    Cause,
    Decision,
    GiveUp,
    LoadReport,
    Refuse,
    Relay,
    Search,
    Send,
    Wait,
)
from cairnferry.policy._queue import CLASSES, WaitingCalls
from cairnferry.policy._room import Room
from cairnferry.policy._settings import PolicySettings
from cairnferry.policy._target import DrainSource
from cairnferry.policy._targetset import TargetSet
from cairnferry.policy._work import WorkEstimates
from cairnferry.records import Priority, Service, Target


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
        self.given_up = dict.fromkeys(Cause, 0)
        self.attempts = dict.fromkeys(AttemptKind, 0)
        self._rng = rng
        self._work = WorkEstimates()
        self._targets = TargetSet(zone, rng, self.settings)
        self._room = Room(self.settings)
        self._instances = 1
        self._budget = self._new_budget()
        self._waiting = WaitingCalls()
        self._displaced: list[Call] = []

    def _new_budget(self):
        service = self.service
        if service.retry_window_s is None:
            return RetryBudget(
                service.retry_ratio,
                self.settings.retry_burst,
                self.settings.retry_start,
            )
        part = self.settings.budget_share
        slack = part * service.retry_slack / self._instances
        return WindowBudget(part * service.retry_ratio, slack, service.retry_window_s)

    # -- what is known of the service and its targets --------------------------

    def share_with(self, instances: int) -> None:
        """Take in how many instances share the service's retry budget."""
        self._instances = max(1, instances)
        if isinstance(self._budget, WindowBudget):
            part = self.settings.budget_share
            self._budget.slack = part * self.service.retry_slack / self._instances

    def update(self, service: Service, targets: list[Target], now: float) -> None:
        """Take in the records in force; what was learnt of targets is kept."""
        is_new = not self._targets
        self.service = service
        self._budget.ratio = service.retry_ratio
        if isinstance(self._budget, WindowBudget):
            self._budget.ratio *= self.settings.budget_share
        self._targets.update(targets, now)
        self._room.set_slots(sum(target.slots for target in targets), is_new)

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
        self._targets.note_draining(target_name, source, until)

    def note_probe(self, target_name: str, healthy: bool, now: float) -> None:
        """Take in the result of a probe."""
        self._targets.note_probe(target_name, healthy, now)

    def note_unheard(self, target_name: str, now: float) -> None:
        """Take in that a target has not answered a check in time."""
        self._targets.note_unheard(target_name, now)

    def note_check(
        self, target_name: str, report: LoadReport | None, well: bool, now: float
    ) -> None:
        """Take in what a target said when it was asked for its load.

        Parameters
        ----------
        target_name : str
            Name of the target.
        report : LoadReport or None
            Its load; None if it gave no answer.
        well : bool
            Whether it calls itself well.
        now : float
            Time in seconds.
        """
        self._targets.note_check(target_name, report, well, now)

    # -- requests --------------------------------------------------------------

    def arrive(self, call: Call, now: float) -> Decision:
        """Decide about a request that arrives."""
        if now >= call.deadline:
            return self._refuse(Cause.DEADLINE)
        if not self._targets:
            return self._refuse(Cause.NO_TARGET)
        self._budget.earn(now)
        self._work.note_arrival(call.route, call.rank)
        if self.settings.seek is not None:
            return self._seek(call, AttemptKind.FIRST, now)
        if not self._waiting.ahead_of(call.priority):
            attempt = self._place(call, AttemptKind.FIRST, now)
            if attempt is not None:
                return Send(attempt)
        return self._enqueue(call, now)

    def finished(self, attempt: Attempt, result: AttemptResult, now: float) -> Decision:
        """Decide what follows the result of an attempt."""
        call = attempt.call
        self._end(attempt)
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

    def asked(self, call: Call, now: float) -> Decision:
        """Decide about a request once the targets to ask have been asked."""
        if now >= call.deadline:
            return self._settle(call, Cause.DEADLINE, now)
        return self._search_on(call, now)

    def _seek(self, call, kind, now):
        call.search = Search(kind)
        trial = self._targets.choose_for_trial(call, now)
        if trial is not None:
            return Send(self._start(call, trial, kind, now, True))
        return self._search_on(call, now)

    def _search_on(self, call, now):
        match self._targets.seek(call, now):
            case Ask() as ask:
                return ask
            case None:
                return self._settle(call, Cause.NO_TARGET, now)
            case target:
                return self._send_or_refuse(call, target, now)

    def _send_or_refuse(self, call, target, now):
        seeker = self._targets.seeker
        work = self._work.seconds(call.route)
        urgent = self._work.is_urgent(call.rank)
        if not seeker.is_worth_sending(call, target, work, urgent, now):
            return self._settle(call, Cause.OVERLOAD, now)
        attempt = self._start(call, target, call.search.kind, now, False)
        attempt.cost = seeker.cost(target, now)
        return Send(attempt)

    def _return_after(self, call, now):
        """Give the seconds after which a request that found no room may come back.

        Early enough to make its objective if room is found then, and spread, so that
        those that were refused together do not come back together.
        """
        if call.objective is None:
            return self.settings.retry_after_s
        earliest, latest = self.settings.return_shares
        share = earliest + (latest - earliest) * self._rng.random()
        slack = call.objective - now - self._work.seconds(call.route)
        return max(self.settings.min_retry_after_s, slack * share)

    def _adapt_room(self, now):
        latency = self._targets.latency.usual
        self._room.adapt(self._targets.reported_load, now, latency)

    def _follow(self, call, result, now):
        match follow(result, call.idempotent):
            case Follow.RELAY:
                return Relay()
            case Follow.AGAIN_OR_RELAY:
                return self._again(call, now, on_credit=False) or Relay()
            case Follow.AGAIN:
                # One target that refuses all it is offered would use up the
                # budget, and requests would be lost although the others have
                # room. If most refuse, more attempts would only add to the load.
                sound = self._targets.most_are_sound(now)
                again = self._again(call, now, sound and not call.possibly_run)
                return again or self._settle(call, _cause(result), now)
            case Follow.TELL_UNKNOWN:
                late = isinstance(result, Lost) and result.timed_out
                return self._settle(
                    call, Cause.DEADLINE if late else Cause.TARGET_LOST, now
                )

    def cancelled(self, attempt: Attempt, now: float) -> None:
        """Take in that an attempt was cut off, as it was no longer needed."""
        self._end(attempt)
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
    def looks_again(self) -> bool:
        """Whether `hedge` is to be called again after another such delay."""
        return self.settings.seek is not None

    def hedge(self, call: Call, now: float) -> Send | Ask | None:
        """Send an idempotent request a second time, if the budget has room.

        Where targets can be asked, only if the first one is stuck: an answer to
        `Ask` is followed by another call.
        """
        if not call.idempotent or call.open_attempts != 1 or now >= call.deadline:
            return None
        if self.settings.seek is not None:
            return self._hedge_if_stuck(call, now)
        if not self._may_add(call) or not self._room.has(call.priority):
            return None
        if not self._budget.spend(now):
            return None
        attempt = self._place(call, AttemptKind.HEDGE, now)
        return Send(attempt) if attempt else None

    def _hedge_if_stuck(self, call, now):
        if not self._may_add(call):
            return None
        attempt = next(each for each in call.attempts if not each.ended)
        target = attempt.target
        cfg = self.settings.seek
        elapsed = now - attempt.started
        expected = self._work.seconds(call.route) * attempt.cost
        if not expected or elapsed < cfg.doubt_factor * expected:
            return None
        is_silent = target.unheard and target.checked_at > attempt.started
        if not is_silent and elapsed < cfg.stuck_factor * expected:
            wants_check = now - target.checked_at > cfg.look_s
            return Ask((target.record,)) if wants_check else None
        other = self._targets.best_known(call, now)
        if other is None or not self._budget.spend(now):
            return None
        cost = self._targets.seeker.cost(other, now)
        second = self._start(call, other, AttemptKind.HEDGE, now, False)
        second.cost = cost
        return Send(second)

    # -- waiting ---------------------------------------------------------------

    def _enqueue(self, call, now):
        if self._targets.none_left_for(call, now):
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
        ahead = self._waiting.ahead_of(call.priority)
        return ahead * self._targets.latency.usual / max(1.0, self._room.limit)

    def _start_by(self, call):
        """Give the time by which a request has to be sent to make its deadline."""
        latency = self._targets.latency
        return call.deadline - max(latency.usual, latency.high)

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
        displaced = self._displaced
        self._displaced = []
        decided = [
            (call, self._settle(call, Cause.OVERLOAD, now)) for call in displaced
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
        if now >= self._start_by(call):
            return self._settle(call, Cause.DEADLINE, now)
        if self._targets.none_left_for(call, now):
            return self._settle(call, Cause.NO_TARGET, now)
        kind = AttemptKind.RETRY if call.attempts else AttemptKind.FIRST
        attempt = self._place(call, kind, now)
        return Send(attempt) if attempt else None

    # -- attempts --------------------------------------------------------------

    def _may_add(self, call):
        limit = call.max_attempts or self.settings.max_attempts
        return call.may_retry and len(call.attempts) < limit

    def _again(self, call, now, on_credit):
        """Give a decision that goes on with the request, or None."""
        if not self._may_add(call) or now >= call.deadline:
            return None
        if not self._budget.spend(now, on_credit):
            return None
        if self.settings.seek is not None:
            return self._seek_again(call, now)
        attempt = self._place(call, AttemptKind.RETRY, now)
        if attempt is not None:
            return Send(attempt)
        # With no target left it would wait to its deadline for what is known now.
        full = len(self._waiting) >= self.service.queue_limit
        if full or self._targets.none_left_for(call, now):
            return None
        self._waiting.push(call)
        return Wait(self._start_by(call))

    def _seek_again(self, call, now):
        decision = self._seek(call, AttemptKind.RETRY, now)
        if isinstance(decision, Send | Ask):
            return decision
        self._budget.give_back()
        return None

    def _place(self, call, kind, now):
        """Choose a target and count the attempt; None if there is no room."""
        if not self._room.has(call.priority):
            return None
        target = self._targets.choose_for_trial(call, now)
        trial = target is not None
        if target is None:
            target = self._targets.choose(call, now)
        if target is None:
            return None
        return self._start(call, target, kind, now, trial)

    def _start(self, call, target, kind, now, trial):
        attempt = Attempt(call, target, kind, now, trial)
        call.attempts.append(attempt)
        target.note_sent(now)
        self._room.take(call.priority)
        self.attempts[kind] += 1
        return attempt

    def _end(self, attempt):
        attempt.ended = True
        attempt.target.note_ended(attempt.started)
        self._room.give_back(attempt.call.priority)

    def _settle(self, call, cause, now):
        """Give the request up, with what the evidence of all attempts allows."""
        self.given_up[cause] += 1
        retry_after = self._return_after(call, now)
        if call.possibly_run:
            return GiveUp(cause, retry_after)
        return Refuse(cause, retry_after)

    def _refuse(self, cause):
        self.given_up[cause] += 1
        return Refuse(cause, self.settings.retry_after_s)

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
            "usual_latency_ms": round(latency.usual * 1000, 3),
            "high_latency_ms": round(latency.high * 1000, 3),
            "attempts": {str(kind): n for kind, n in self.attempts.items()},
            "given_up": {str(cause): n for cause, n in self.given_up.items()},
            "targets": self._targets.snapshot(now),
        }

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
            return Abandoned()


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
