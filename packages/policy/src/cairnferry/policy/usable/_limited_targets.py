"""Selection of limited targets for a request, and of the permits to request.

All daemons together send a limited target no more than it accepts. A limited target
without a permit is no candidate; one with a permit precedes targets without a limit.
"""

import math
from collections.abc import Container

import attrs

from cairnferry.policy.requests import CheckStatus
from cairnferry.policy.shared import PermitRequest, TargetLimits
from cairnferry.policy.targets import TargetState

# Limited targets of the own zone, and of other zones, for which a daemon requests
# permits. These are the ones that it would choose from anyway.
NEAR_PERMIT_TARGETS = 8
FAR_PERMIT_TARGETS = 8
# Ejected targets for which permits are requested at a time. Each needs one permit for
# its trial.
EJECTED_PERMIT_TARGETS = 2
# Seconds for which permits for targets of other zones are requested after a search that
# reached those zones. At other times such permits would not be used.
FAR_PERMITS_S = 1.0


@attrs.frozen
class CandidateLists:
    """Targets that are in use, in the order of their status checks.

    Attributes
    ----------
    near, far : list of TargetState
        Targets of the own availability zone, and of other zones.
    """

    near: list[TargetState]
    far: list[TargetState]


@attrs.define
class LimitedTargets:
    """Applies limits to the targets of one service.

    Parameters
    ----------
    limits : TargetLimits
        Limits of targets, and the available permits.
    zone : str
        Own availability zone.
    """

    limits: TargetLimits
    zone: str
    _far_permits_until: float = -math.inf

    def filter_by_limit(
        self, usable: CandidateLists, urgent: bool, now: float
    ) -> CandidateLists:
        """Return the targets that a request may go to now, those with permits first.

        Otherwise the capacity that a limited target still offers would remain unused
        while other targets have capacity.

        Parameters
        ----------
        usable : CandidateLists
            Targets in use that the request has not tried.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.
        """
        near, far = self._unlimited(usable.near), self._unlimited(usable.far)
        # If some targets have no limit, no permits are reserved for urgent requests.
        urgent = urgent or bool(near or far)
        return CandidateLists(
            self._permitted(usable.near, urgent, now) + near,
            self._permitted(usable.far, urgent, now) + far,
        )

    def _unlimited(self, targets):
        return [t for t in targets if not self.limits.is_limited(t.identity)]

    def limited(self, targets: list[TargetState]) -> list[TargetState]:
        """Return the given targets that are limited."""
        return [t for t in targets if self.limits.is_limited(t.identity)]

    def _permitted(self, targets, urgent, now):
        return [
            target
            for target in self.limited(targets)
            if self.limits.has_permit(target.identity, now, urgent)
        ]

    def next_permit(
        self, usable: CandidateLists, urgent: bool, now: float
    ) -> float | None:
        """Return the time from which a request may go to a limited target.

        Returns
        -------
        float or None
            Infinity if there is no permit for any of them; None if the request does not
            wait because of limits.
        """
        targets = [*usable.near, *usable.far]
        if not self.limits or not targets or self._unlimited(targets):
            return None
        return min(self.limits.next_start(t.identity, urgent, now) for t in targets)

    # -- permits to request --------------------------------------------------------

    def note_search_result(
        self, found: TargetState | CheckStatus | None, now: float
    ) -> None:
        """Record whether a search found near targets to be insufficient.

        Permits for targets of other zones are useful only in that case.
        """
        match found:
            case CheckStatus(targets):
                is_cross_zone = targets[0].zone != self.zone
            case None:
                is_cross_zone = True
            case _:
                is_cross_zone = False
        if is_cross_zone:
            self._far_permits_until = now + FAR_PERMITS_S

    def permits_to_request(
        self,
        usable: CandidateLists,
        ejected: list[TargetState],
        expected: int,
        excluded: Container[str],
        now: float,
    ) -> list[PermitRequest]:
        """Return the permits that are useful to request now.

        Their number does not exceed the expected requests, as permits that remain
        unused here are missing on other daemons. They are spread over the targets, as
        the daemons that start at the same targets on the ring compete for these.

        Parameters
        ----------
        usable : CandidateLists
            Targets in use.
        ejected : list of TargetState
            Ejected targets.
        expected : int
            Requests expected within the lifetime of a permit.
        excluded : container of str
            Identities of targets for which no permits are requested now.
        now : float
            Time in seconds.
        """
        targets = self._permit_targets(usable, ejected, now)
        share = math.ceil(expected / max(1, len(targets)))
        requests = []
        for target in targets:
            held = self.limits.held(target.identity)
            expected -= held
            if target.identity in excluded:
                continue
            max_held = 1 if target.ejected_until else share
            count = min(max_held - held, expected)
            if count > 0:
                requests.append(PermitRequest(target.record, count))
                expected -= count
        return requests

    def _permit_targets(self, usable, ejected, now):
        # An ejected target returns after a trial, which needs a permit too.
        targets = self.limited(ejected)[:EJECTED_PERMIT_TARGETS]
        targets += self.limited(usable.near)[:NEAR_PERMIT_TARGETS]
        if now < self._far_permits_until:
            targets += self.limited(usable.far)[:FAR_PERMIT_TARGETS]
        return targets
