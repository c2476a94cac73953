"""The search for a target by asking: its rounds, its end, and a second target."""

import math

import attrs

from cairnferry.policy.choice import StatusCheckSettings, WorkEstimates
from cairnferry.policy.requests import (
    AttemptKind,
    Call,
    Cause,
    CheckStatus,
    Pause,
    Search,
)
from cairnferry.policy.search._targetset import TargetSet
from cairnferry.policy.targets import TargetState

# Longest and least seconds for which a request waits for a permit that is held already,
# and how often: others that wait may take it first. A caller that is refused opens
# another connection, and is back later than that.
MAX_PAUSE_S = 0.1
MIN_PAUSE_S = 0.005
MAX_PAUSES = 3


@attrs.frozen
class Found:
    """A target to which the request is to be sent.

    Attributes
    ----------
    target : TargetState
        The target.
    cost : float
        How many times longer than usual the request is expected to take there.
    trial : bool
        Whether the request tests an ejected target.
    """

    target: TargetState
    cost: float
    trial: bool = False


@attrs.frozen
class NothingFound:
    """No target may get the request, and why.

    Attributes
    ----------
    cause : Cause
        Why.
    room_at : float
        Time in seconds at which there will be room again; infinite if unknown.
    """

    cause: Cause
    room_at: float = math.inf


@attrs.define
class Searcher:
    """Searches targets for the requests of one service.

    Parameters
    ----------
    settings : StatusCheckSettings or None
        Constants; None if targets are not asked.
    targets : TargetSet
        What is known of the targets.
    work : WorkEstimates
        What requests of each route take.
    """

    settings: StatusCheckSettings | None
    targets: TargetSet
    work: WorkEstimates

    def begin(
        self, call: Call, kind: AttemptKind, now: float
    ) -> Found | CheckStatus | Pause | NothingFound:
        """Begin the search for an attempt."""
        call.search = Search(kind)
        trial = self.targets.choose_for_trial(call, now)
        if trial is not None:
            return Found(trial, 1.0, trial=True)
        return self.go_on(call, now)

    def go_on(
        self, call: Call, now: float
    ) -> Found | CheckStatus | Pause | NothingFound:
        """Go on once the targets to ask have been asked."""
        work = self.work.seconds(call.route)
        urgent = self.work.is_urgent(call.rank)
        match self.targets.seek(call, work, urgent, now):
            case CheckStatus() as ask:
                return ask
            case None:
                return self._without_target(call, urgent, now)
            case target:
                return self._judge(call, target, work, urgent, now)

    def _without_target(self, call, urgent, now):
        permitted_at = self.targets.next_permit(call, urgent, now)
        if permitted_at is None:
            back_at = self.targets.back_at(now)
            if back_at is not None:
                return NothingFound(Cause.BACKING_OFF, back_at)
            return NothingFound(self.targets.cause_of_none)
        wait = permitted_at - now
        may_pause = call.search.pauses < MAX_PAUSES and wait <= MAX_PAUSE_S
        if may_pause and permitted_at < _latest_start(call, self.work):
            # Refused, it would come back later than the permit does.
            call.search.pauses += 1
            return Pause(max(wait, MIN_PAUSE_S))
        return NothingFound(Cause.TARGET_LIMIT, permitted_at)

    def _judge(self, call, target, work, urgent, now):
        seeker = self.targets.seeker
        if not seeker.is_worth_sending(call, target, work, urgent, now):
            return NothingFound(Cause.OVERLOAD)
        return Found(target, seeker.cost(target, now))

    def second_target(self, call: Call, now: float) -> Found | CheckStatus | None:
        """Find a second target for a request whose first one is stuck.

        Returns
        -------
        Found, Ask or None
            Whom to ask if it is not sure; None if the first one is left alone.
        """
        attempt = next(each for each in call.attempts if not each.ended)
        first = attempt.target
        cfg = self.settings
        elapsed = now - attempt.started
        expected = self.work.seconds(call.route) * attempt.cost
        if not expected or elapsed < cfg.doubt_factor * expected:
            return None
        is_silent = first.missed_checks and first.checked_at > attempt.started
        if not is_silent and elapsed < cfg.stuck_factor * expected:
            wants_check = now - first.checked_at > cfg.look_s
            return CheckStatus((first.record,)) if wants_check else None
        other = self.targets.best_known(call, now)
        return other and Found(other, self.targets.seeker.cost(other, now))


def _latest_start(call, work):
    """Give the time by which a request has to be sent to make its objective."""
    due = call.deadline if call.objective is None else call.objective
    return due - work.seconds(call.route)
