"""Taking failing targets out of use, and bringing them back.

A target that fails at once looks idle: it answers fast and holds no slots. By
load alone it would draw most of the traffic.
"""

from collections.abc import Iterable

import attrs

from cairnferry.policy.targets._target import TargetState


@attrs.frozen
class Ejector:
    """Rules of ejection and return.

    Parameters
    ----------
    failures : int
        Failures in a row that eject a target.
    base, longest : float
        Seconds out of use the first time, doubled each time up to the longest.
    share : float
        Largest share of targets out of use.
    trial_timeout : float
        Seconds after which a trial without result no longer blocks the next.
    """

    failures: int
    base: float
    longest: float
    share: float
    trial_timeout: float

    def note_success(self, target: TargetState, now: float) -> None:
        """Bring a target back, with a ramp, if it was out of use."""
        target.failures = 0
        if target.ejected_until:
            target.ejected_until = 0.0
            target.ready_since = now
        elif now - target.ready_since > self.longest:
            target.ejections = 0

    def note_failure(
        self, target: TargetState, targets: Iterable[TargetState], now: float
    ) -> None:
        """Count a failure and eject the target if it is time to."""
        target.failures += 1
        if target.ejected_until:
            self._eject(target, now)
        elif target.failures >= self.failures and self._may_eject(targets):
            self._eject(target, now)

    def _may_eject(self, targets):
        # If most targets fail, the cause lies elsewhere; the rest would get all
        # the load.
        states = list(targets)
        ejected = sum(1 for state in states if state.ejected_until)
        return ejected + 1 <= self.share * len(states)

    def _eject(self, target, now):
        duration = min(self.longest, self.base * 2**target.ejections)
        target.ejections = min(target.ejections + 1, 30)
        target.ejected_until = now + duration

    def is_trial_due(self, target: TargetState, now: float) -> bool:
        """Tell whether one request may test an ejected target now."""
        if not target.ejected_until or now < target.ejected_until:
            return False
        return now - target.trial_started >= self.trial_timeout or not target.in_flight
