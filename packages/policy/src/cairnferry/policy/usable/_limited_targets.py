"""Which limited targets a request may go to, and which permits to ask for.

All daemons together send a limited target what it takes and no more: one without a
permit is no candidate, and one with a permit goes before targets without a limit.
"""

import math
from collections.abc import Container

import attrs

from cairnferry.policy.requests import CheckStatus
from cairnferry.policy.shared import PermitRequest, TargetLimits
from cairnferry.policy.targets import TargetState

# Limited targets of the own zone, and of others, for which a daemon asks for permits:
# the ones that it would choose from anyway.
NEAR_REACH = 8
FAR_REACH = 8
# Of those that are out of use, so many at a time: each needs one for its trial.
EJECTED_REACH = 2
# Seconds for which permits for targets of other zones are asked for, after a request
# that looked for one there. They would else be held and not used.
FAR_WANTED_S = 1.0


@attrs.frozen
class CandidateLists:
    """Targets that are in use, in the order in which they are asked.

    Attributes
    ----------
    near, far : list of TargetState
        Those of the own availability zone, and of others.
    """

    near: list[TargetState]
    far: list[TargetState]


@attrs.define
class LimitedTargets:
    """Sorts the targets of one service by their limits.

    Parameters
    ----------
    limits : TargetLimits
        Limits, and the permits that are held.
    zone : str
        Own availability zone.
    """

    limits: TargetLimits
    zone: str
    _far_wanted_until: float = -math.inf

    def filter_by_limit(
        self, usable: CandidateLists, urgent: bool, now: float
    ) -> CandidateLists:
        """Leave out what a request may not go to now; what permits are for goes first.

        What a limited target does take would else be lost where others have room.

        Parameters
        ----------
        usable : CandidateLists
            Targets in use that the request has not tried.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.
        """
        near, far = self._free(usable.near), self._free(usable.far)
        # Where others have no limit nobody has to stand back.
        urgent = urgent or bool(near or far)
        return CandidateLists(
            self._permitted(usable.near, urgent, now) + near,
            self._permitted(usable.far, urgent, now) + far,
        )

    def _free(self, targets):
        return [t for t in targets if not self.limits.is_limited(t.identity)]

    def limited(self, targets: list[TargetState]) -> list[TargetState]:
        """List those of some targets that name a limit."""
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
        """Give the time from which a request may go to a limited target.

        Returns
        -------
        float or None
            Infinite if no permit for one is held; None if limits are not what keeps
            the request from a target.
        """
        left = [*usable.near, *usable.far]
        if not self.limits or not left or self._free(left):
            return None
        return min(self.limits.next_start(t.identity, urgent, now) for t in left)

    # -- permits to ask for --------------------------------------------------------

    def note_search_result(
        self, found: TargetState | CheckStatus | None, now: float
    ) -> None:
        """Take in what a search gave: whether near targets did not suffice.

        Permits for targets of other zones are of use only then.
        """
        match found:
            case CheckStatus(targets):
                is_far = targets[0].zone != self.zone
            case None:
                is_far = True
            case _:
                is_far = False
        if is_far:
            self._far_wanted_until = now + FAR_WANTED_S

    def permits_to_request(
        self,
        usable: CandidateLists,
        ejected: list[TargetState],
        expected: int,
        barred: Container[str],
        now: float,
    ) -> list[PermitRequest]:
        """Give the permits that are worth asking for.

        No more than there are requests to use them, as what is held here and not used
        serves nobody; some at each target, as what one daemon takes of the first ones
        on its ring the others there lack.

        Parameters
        ----------
        usable : CandidateLists
            Targets in use.
        ejected : list of TargetState
            Those that are out of use.
        expected : int
            Requests to expect while a permit holds.
        barred : container of str
            Targets that are not to be asked about now.
        now : float
            Time in seconds.
        """
        reach = self._reach(usable, ejected, now)
        share = math.ceil(expected / max(1, len(reach)))
        wanted = []
        for target in reach:
            held = self.limits.held(target.identity)
            expected -= held
            if target.identity in barred:
                continue
            most = 1 if target.ejected_until else share
            count = min(most - held, expected)
            if count > 0:
                wanted.append(PermitRequest(target.record, count))
                expected -= count
        return wanted

    def _reach(self, usable, ejected, now):
        # One that is out of use comes back by a trial, which needs a permit as well.
        reach = self.limited(ejected)[:EJECTED_REACH]
        reach += self.limited(usable.near)[:NEAR_REACH]
        if now < self._far_wanted_until:
            reach += self.limited(usable.far)[:FAR_REACH]
        return reach
