"""Choice of a target by status checks right before a request is sent.

Other workloads on a target's machine change its speed several times a second, by a
factor of four. The report in a target's last response is obsolete by the next request,
whereas the response to a status check arrives within a millisecond and reports the
current load and slowdown.
"""

import itertools
import random
from collections.abc import Callable

import attrs

from cairnferry.policy.choice._queue_bound import QueueBound
from cairnferry.policy.choice._status_check_settings import StatusCheckSettings
from cairnferry.policy.requests import Call, CheckStatus
from cairnferry.policy.targets import TargetState


def _never(target):
    return False


@attrs.frozen
class StatusCheckChooser:
    """Selects targets to check, and chooses among them by their reports.

    Parameters
    ----------
    settings : StatusCheckSettings
        Settings of status checks.
    rng : random.Random
        Source of randomness.
    queues : QueueBound
        Length of the queues of the targets.
    """

    settings: StatusCheckSettings
    rng: random.Random
    queues: QueueBound = attrs.field(factory=QueueBound)

    def choose(
        self,
        call: Call,
        near: list[TargetState],
        far: list[TargetState],
        work: float,
        urgent: bool,
        now: float,
    ) -> TargetState | CheckStatus | None:
        """Choose a target, or return the targets to check first.

        Parameters
        ----------
        call : Call
            The request; its search state is updated.
        near, far : list of TargetState
            Targets in the own zone and in other zones that the request may be sent to.
        work : float
            Time in seconds of such a request at an idle target; 0 if unknown.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.

        Returns
        -------
        TargetState, CheckStatus or None
            None if there is no target, or if none has room for a request.
        """
        if not near and not far:
            return None
        cfg = self.settings

        def refuses(target):
            return cfg.search_before_refusal and not self.is_worth_sending(
                call, target, work, urgent, now
            )

        cost, best = self._cheapest(near, far, now, cfg.fresh_s, refuses)
        max_cost = _max_cost(call, work, now)
        if best is not None and cost <= _share_within(
            cfg.good_share, max_cost, cfg.good_costs
        ):
            return best
        are_near_busy = (
            best is None
            or cost > _share_within(cfg.near_share, max_cost, cfg.near_costs)
            or refuses(best)
        )
        check = None
        if not (are_near_busy and far and self._is_spill_round(call)):
            check = self._next_round(call, near)
        if check is None and are_near_busy:
            check = self._next_round(call, far)
        return check or self.choose_without_checks(near, far, now, refuses)

    def _is_spill_round(self, call):
        """Return whether only the last round of checks is left.

        Without this rule, a zone with more targets than all rounds together check
        would never send a request to another zone, however many of them are idle.
        """
        cfg = self.settings
        return cfg.spill_round and call.search.rounds == len(cfg.rounds) - 1

    def choose_without_checks(
        self,
        near: list[TargetState],
        far: list[TargetState],
        now: float,
        refuses: Callable[[TargetState], bool] = _never,
    ) -> TargetState | None:
        """Choose by recent reports, or at random if there are none.

        Parameters
        ----------
        near, far : list of TargetState
            Targets in the own zone and in other zones that the request may be sent to.
        now : float
            Time in seconds.
        refuses : callable, optional
            Returns whether the request would be refused rather than sent to a target;
            such a target is chosen only if there is no other.

        Returns
        -------
        TargetState or None
            None if there is no target.
        """
        max_age = self.settings.max_report_age_s
        _, best = self._cheapest(near, far, now, max_age, refuses)
        if best is None and (near or far):
            # Status checks can be lost while requests still succeed.
            found = self._with_room(near, now) or self._with_room(far, now)
            return self.rng.choice(found) if found else None
        return best

    def _with_room(self, targets, now):
        max_age = self.settings.max_report_age_s
        return [each for each in targets if self.queues.has_room(each, now, max_age)]

    def _next_round(self, call, targets):
        search = call.search
        if search.rounds >= len(self.settings.rounds):
            return None
        chosen = self._next_on_ring(
            targets, self.settings.rounds[search.rounds], search.checked
        )
        if not chosen:
            return None
        search.rounds += 1
        search.checked.update(target.identity for target in chosen)
        return CheckStatus(tuple(target.record for target in chosen))

    def _next_on_ring(self, targets, count, checked):
        """Return the next unchecked targets on the ring.

        A random sample would differ for each request, and few of its targets would
        still have an open connection.
        """
        unchecked = (target for target in targets if target.identity not in checked)
        return list(itertools.islice(unchecked, count))

    def _cheapest(self, near, far, now, max_age, refuses):
        """Return the lowest cost, and the target that has it and was idle longest.

        A slow target with a free slot costs more than a fast one whose queue is too
        long for the request. The request would be refused although it can start.

        If the first of several equal targets were chosen, the last ones on the ring
        would get no requests until the others are busy, and operators would not notice
        that a new one fails.
        """
        lowest, best = (False, 0.0, 0.0), None
        for targets, added in ((near, 0.0), (far, self.settings.far_cost)):
            for target in targets:
                if now - target.reported_at > max_age:
                    continue
                if not self.queues.has_room(target, now, max_age):
                    continue
                cost = self.cost(target, now) + added
                key = (refuses(target), cost, target.last_sent)
                if best is None or key < lowest:
                    lowest, best = key, target
        return lowest[1], best

    def cost(self, target: TargetState, now: float) -> float:
        """Estimate the time of a request at a target as a multiple of the usual one."""
        cfg = self.settings
        slots = target.record.slots
        share = (target.expected_in_use() + 1) / slots
        cost = 1.0 + cfg.load_cost * share
        if share > cfg.crowded_share:
            excess = min(share, 1.0) - cfg.crowded_share
            cost += cfg.crowded_cost * excess / (1 - cfg.crowded_share)
        if share > 1:
            # The request waits for a free slot first.
            cost += share - 1 + 1 / slots
        cost *= target.slowdown
        if now < target.warm_at:
            cost *= cfg.warmup_cost
        if now < target.unhealthy_until:
            cost *= cfg.unhealthy_cost
        return cost

    def is_worth_sending(
        self, call: Call, target: TargetState, work: float, urgent: bool, now: float
    ) -> bool:
        """Return whether a request may be sent to the best target that was found.

        Parameters
        ----------
        call : Call
            The request.
        target : TargetState
            The target.
        work : float
            Time in seconds of such a request at an idle target; 0 if unknown.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.
        """
        slots = target.record.slots
        in_use = target.expected_in_use() + 1
        if in_use <= slots * self.settings.unconditional_share:
            return True
        if not work or call.objective is None:
            return in_use <= self.settings.full_share * slots
        cfg = self.settings
        share = cfg.objective_share if urgent else cfg.less_urgent_share
        time_left = call.objective - now
        return self.cost(target, now) * work <= share * time_left


def _max_cost(call, work, now):
    """Return the highest cost that meets the objective; None if it is unknown."""
    if not work or call.objective is None or call.objective <= now:
        return None
    return (call.objective - now) / work


def _share_within(share, max_cost, bounds):
    """Return a share of the highest cost within bounds, or the default if unknown."""
    minimum, default, maximum = bounds
    if max_cost is None:
        return default
    return min(maximum, max(minimum, share * max_cost))
