"""Search for a target by status checks, and for the second target of a hedge."""

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

# Longest and shortest pause in seconds of a request that waits for a permit which this
# daemon already holds, and the largest number of pauses: other waiting requests may
# use the permit first. A refused caller opens another connection and retries later
# than MAX_PAUSE_S.
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
        Expected time of the request at this target, as a multiple of the usual time.
    trial : bool
        Whether the request tests an ejected target.
    """

    target: TargetState
    cost: float
    trial: bool = False


@attrs.frozen
class NothingFound:
    """No target can be sent the request.

    Attributes
    ----------
    cause : Cause
        Reason for giving up the request.
    capacity_at : float
        Time in seconds at which capacity becomes free; infinite if unknown.
    """

    cause: Cause
    capacity_at: float = math.inf


@attrs.define
class Searcher:
    """Searches for targets for the requests of one service.

    Parameters
    ----------
    settings : StatusCheckSettings or None
        Settings of status checks; None if they are disabled.
    targets : TargetSet
        Targets of the service.
    work : WorkEstimates
        Estimated work of the requests of each route.
    """

    settings: StatusCheckSettings | None
    targets: TargetSet
    work: WorkEstimates

    def begin(
        self, call: Call, kind: AttemptKind, now: float
    ) -> Found | CheckStatus | Pause | NothingFound:
        """Begin the search for the target of an attempt.

        Parameters
        ----------
        call : Call
            The request; its search state is reset.
        kind : AttemptKind
            Reason for the attempt.
        now : float
            Time in seconds.

        Returns
        -------
        Found, CheckStatus, Pause or NothingFound
            Result of the search, or the step to carry out before `resume`.
        """
        call.search = Search(kind)
        trial = self.targets.choose_for_trial(call, now)
        if trial is not None:
            return Found(trial, 1.0, trial=True)
        return self.resume(call, now)

    def resume(
        self, call: Call, now: float
    ) -> Found | CheckStatus | Pause | NothingFound:
        """Continue the search after status checks or a pause; returns as `begin`."""
        work = self.work.seconds(call.route)
        urgent = self.work.is_urgent(call.rank)
        match self.targets.choose_by_checks(call, work, urgent, now):
            case CheckStatus() as check:
                return check
            case None:
                return self._pause_or_give_up(call, urgent, now)
            case target:
                return self._accept_or_refuse(call, target, work, urgent, now)

    def _pause_or_give_up(self, call, urgent, now):
        if self.targets.has_candidates(call, urgent, now):
            return NothingFound(Cause.OVERLOAD)
        permitted_at = self.targets.next_permit(call, urgent, now)
        if permitted_at is None:
            back_off_end = self.targets.back_off_end(now)
            if back_off_end is not None:
                return NothingFound(Cause.BACKING_OFF, back_off_end)
            return NothingFound(self.targets.no_target_cause)
        wait = permitted_at - now
        may_pause = call.search.pauses < MAX_PAUSES and wait <= MAX_PAUSE_S
        if may_pause and permitted_at < self.latest_start(call):
            # A refused caller would retry later than the permit becomes valid.
            call.search.pauses += 1
            return Pause(max(wait, MIN_PAUSE_S))
        return NothingFound(Cause.TARGET_LIMIT, permitted_at)

    def _accept_or_refuse(self, call, target, work, urgent, now):
        check_chooser = self.targets.check_chooser
        if not check_chooser.is_worth_sending(call, target, work, urgent, now):
            return NothingFound(Cause.OVERLOAD)
        return Found(target, check_chooser.cost(target, now))

    def find_second_target(self, call: Call, now: float) -> Found | CheckStatus | None:
        """Find a second target for a request whose first target is stuck.

        Parameters
        ----------
        call : Call
            The request, with one open attempt.
        now : float
            Time in seconds.

        Returns
        -------
        Found, CheckStatus or None
            `CheckStatus` if the first target has to be checked; None if the request is
            not hedged.
        """
        attempt = next(each for each in call.attempts if not each.ended)
        first = attempt.target
        cfg = self.settings
        elapsed = now - attempt.started
        expected = self.work.seconds(call.route) * attempt.cost
        if not expected or elapsed < cfg.overdue_factor * expected:
            return None
        is_silent = first.missed_checks and first.checked_at > attempt.started
        if not is_silent and elapsed < cfg.stuck_factor * expected:
            check_due = now - first.checked_at > cfg.hedge_check_interval_s
            return CheckStatus((first.record,)) if check_due else None
        other = self.targets.choose_without_checks(call, now)
        return other and Found(other, self.targets.check_chooser.cost(other, now))

    def latest_start(self, call: Call) -> float:
        """Return the latest time to send a request so that it meets its objective."""
        due = call.deadline if call.objective is None else call.objective
        return due - self.work.seconds(call.route)
