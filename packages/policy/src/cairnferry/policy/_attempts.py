"""Start and end of the attempts of one service, and the capacity that they use."""

import collections

import attrs

from cairnferry.policy.admission import Capacity
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.requests import Attempt, AttemptKind, Call
from cairnferry.policy.search import TargetSet
from cairnferry.policy.shared import TargetLimits
from cairnferry.policy.targets import TargetState


def _zero_counts():
    return dict.fromkeys(AttemptKind, 0)


@attrs.define
class Attempts:
    """Starts and ends attempts.

    Parameters
    ----------
    targets : TargetSet
        Targets of the service.
    limits : TargetLimits
        Rate limits of targets, and the permits to send to them.
    work : WorkEstimates
        Estimated work of the requests of each route, and their urgency.
    capacity : Capacity
        Concurrency limits of this daemon.

    Attributes
    ----------
    counts : dict of AttemptKind to int
        Number of attempts started so far, by kind.
    zone_counts : Counter
        Number of attempts started so far, by the zone of the target.
    """

    targets: TargetSet
    limits: TargetLimits
    work: WorkEstimates
    capacity: Capacity
    counts: dict[AttemptKind, int] = attrs.field(factory=_zero_counts)
    zone_counts: collections.Counter = attrs.field(factory=collections.Counter)

    def place(self, call: Call, kind: AttemptKind, now: float) -> Attempt | None:
        """Choose a target and start an attempt; return None if there is no capacity."""
        if not self.capacity.has_capacity_for(call.priority):
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
        """Start an attempt at a target.

        Parameters
        ----------
        call : Call
            The request.
        target : TargetState
            The target that the attempt is sent to.
        kind : AttemptKind
            Reason for the attempt.
        now : float
            Time in seconds.
        trial : bool
            Whether the attempt tests an ejected target.

        Returns
        -------
        Attempt
            The attempt, which counts as in flight until `end` is called.
        """
        attempt = Attempt(call, target, kind, now, trial)
        call.attempts.append(attempt)
        target.note_sent(now)
        if self.limits:
            urgent = self.work.is_urgent(call.rank)
            self.limits.spend(target.identity, urgent, now)
        self.capacity.acquire(call.priority)
        self.counts[kind] += 1
        self.zone_counts[target.record.zone] += 1
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Release the capacity that an attempt used."""
        attempt.ended = True
        attempt.target.note_finished(attempt.started)
        self.capacity.release(attempt.call.priority)
