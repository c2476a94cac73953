"""Ejection of failing targets, and their return.

A target that fails its requests immediately seems idle: it responds fast and occupies
no slots. Balancing by load alone would send it most of the traffic.
"""

from collections.abc import Iterable

import attrs

from cairnferry.policy.targets._target import TargetState


@attrs.frozen
class Ejector:
    """Rules for the ejection and the return of targets.

    Parameters
    ----------
    failures : int
        Number of consecutive failures after which a target is ejected.
    base, longest : float
        Seconds from the first ejection until a trial, doubled with each further
        ejection or failed trial, and the maximum of this time.
    share : float
        Maximum share of targets that are ejected, 0 to 1.
    trial_timeout : float
        Seconds after which a trial without result no longer prevents the next one.
    """

    failures: int
    base: float
    longest: float
    share: float
    trial_timeout: float

    def note_success(self, target: TargetState, now: float) -> None:
        """Record a success; return an ejected target to use, with a gradual ramp-up."""
        target.failures = 0
        if target.ejected_until:
            target.ejected_until = 0.0
            target.ready_since = now
        elif now - target.ready_since > self.longest:
            target.ejections = 0

    def note_failure(
        self, target: TargetState, targets: Iterable[TargetState], now: float
    ) -> None:
        """Record a failure, and eject the target if the rules require it."""
        target.failures += 1
        if target.ejected_until:
            self._eject(target, now)
        elif target.failures >= self.failures and self._may_eject(targets):
            self._eject(target, now)

    def _may_eject(self, targets):
        # If most targets fail, the cause lies elsewhere, and the remaining targets
        # would get the whole load.
        states = list(targets)
        ejected = sum(1 for state in states if state.ejected_until)
        return ejected + 1 <= self.share * len(states)

    def _eject(self, target, now):
        duration = min(self.longest, self.base * 2**target.ejections)
        target.ejections = min(target.ejections + 1, 30)
        target.ejected_until = now + duration

    def is_trial_due(self, target: TargetState, now: float) -> bool:
        """Return whether one request may test an ejected target now."""
        if not target.ejected_until or now < target.ejected_until:
            return False
        return now - target.trial_started >= self.trial_timeout or not target.in_flight
