"""The search for a target by asking: its rounds, its end, and a second target."""

import attrs

from cairnferry.policy._model import Ask, AttemptKind, Call, Cause, Search
from cairnferry.policy._seeking import SeekSettings
from cairnferry.policy._target import TargetState
from cairnferry.policy._targetset import TargetSet
from cairnferry.policy._work import WorkEstimates


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
    """No target may get the request, and why."""

    cause: Cause


@attrs.define
class Searcher:
    """Searches targets for the requests of one service.

    Parameters
    ----------
    settings : SeekSettings or None
        Constants; None if targets are not asked.
    targets : TargetSet
        What is known of the targets.
    work : WorkEstimates
        What requests of each route take.
    """

    settings: SeekSettings | None
    targets: TargetSet
    work: WorkEstimates

    def begin(
        self, call: Call, kind: AttemptKind, now: float
    ) -> Found | Ask | NothingFound:
        """Begin the search for an attempt."""
        call.search = Search(kind)
        trial = self.targets.choose_for_trial(call, now)
        if trial is not None:
            return Found(trial, 1.0, trial=True)
        return self.go_on(call, now)

    def go_on(self, call: Call, now: float) -> Found | Ask | NothingFound:
        """Go on once the targets to ask have been asked."""
        work = self.work.seconds(call.route)
        urgent = self.work.is_urgent(call.rank)
        match self.targets.seek(call, work, urgent, now):
            case Ask() as ask:
                return ask
            case None:
                limited = self.targets.is_kept_by_limits(call, now)
                return NothingFound(Cause.TARGET_LIMIT if limited else Cause.NO_TARGET)
            case target:
                return self._judge(call, target, work, urgent, now)

    def _judge(self, call, target, work, urgent, now):
        seeker = self.targets.seeker
        if not seeker.is_worth_sending(call, target, work, urgent, now):
            return NothingFound(Cause.OVERLOAD)
        return Found(target, seeker.cost(target, now))

    def second_target(self, call: Call, now: float) -> Found | Ask | None:
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
        is_silent = first.unheard and first.checked_at > attempt.started
        if not is_silent and elapsed < cfg.stuck_factor * expected:
            wants_check = now - first.checked_at > cfg.look_s
            return Ask((first.record,)) if wants_check else None
        other = self.targets.best_known(call, now)
        return other and Found(other, self.targets.seeker.cost(other, now))
