"""Attempts of one service: where they go, and what they hold meanwhile."""

import attrs

from cairnferry.policy.admission import Room
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.requests import Attempt, AttemptKind, Call
from cairnferry.policy.search import TargetSet
from cairnferry.policy.shared import TargetLimits
from cairnferry.policy.targets import TargetState


def _none_made():
    return dict.fromkeys(AttemptKind, 0)


@attrs.define
class Attempts:
    """Begins and ends attempts.

    Parameters
    ----------
    targets : TargetSet
        Targets of the service.
    limits : TargetLimits
        Limits of targets, and the permits that are spent.
    work : WorkEstimates
        Which requests are urgent.
    room : Room
        Attempts that may run at this daemon.

    Attributes
    ----------
    made : dict of AttemptKind to int
        Attempts made so far.
    """

    targets: TargetSet
    limits: TargetLimits
    work: WorkEstimates
    room: Room
    made: dict[AttemptKind, int] = attrs.field(factory=_none_made)

    def place(self, call: Call, kind: AttemptKind, now: float) -> Attempt | None:
        """Choose a target and begin the attempt; None if there is no room."""
        if not self.room.has(call.priority):
            return None
        target = self.targets.choose_for_trial(call, now)
        trial = target is not None
        if target is None:
            target = self.targets.choose(call, now)
        if target is None:
            return None
        return self.start(call, target, kind, now, trial)

    def start(
        self,
        call: Call,
        target: TargetState,
        kind: AttemptKind,
        now: float,
        trial: bool,
    ) -> Attempt:
        """Begin an attempt at a target.

        Parameters
        ----------
        call : Call
            The request.
        target : TargetState
            The target.
        kind : AttemptKind
            Why it is made.
        now : float
            Time in seconds.
        trial : bool
            Whether it tests an ejected target.
        """
        attempt = Attempt(call, target, kind, now, trial)
        call.attempts.append(attempt)
        target.note_sent(now)
        if self.limits:
            urgent = self.work.is_urgent(call.rank)
            self.limits.spend(target.identity, urgent, now)
        self.room.take(call.priority)
        self.made[kind] += 1
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Give back what an attempt held."""
        attempt.ended = True
        attempt.target.note_finished(attempt.started)
        self.room.give_back(attempt.call.priority)
