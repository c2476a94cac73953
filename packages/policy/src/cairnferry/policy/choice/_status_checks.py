"""Choice of a target by status checks right before a request is sent.

Other workloads on a target's machine change its speed several times a second, by a
factor of four. The report in a target's last response is obsolete by the next request,
whereas the response to a status check arrives within a millisecond and reports the
current load and slowdown.
"""

import itertools
import random

import attrs

from cairnferry.policy.choice._queue_bound import QueueBound
from cairnferry.policy.requests import Call, CheckStatus
from cairnferry.policy.targets import TargetState


@attrs.frozen
class StatusCheckSettings:
    """Settings of status checks: their number, and when a target is good enough.

    Attributes
    ----------
    rounds : tuple of int
        Number of targets checked in each round. The rounds stop as soon as a target
        that is idle and at its usual speed has responded.
    fresh_s : float
        Age in seconds up to which an earlier report replaces a status check: a small
        part of the 300 ms after which the speed of a machine has changed.
    max_report_age_s : float
        Age in seconds up to which a report is used if there is no newer one.
    good_share : float
        Share of the time left to the objective. If the request is expected to take at
        most this share at the best target, no further targets are checked: a faster
        target has no benefit to the caller, and each check has a cost.
    near_share : float
        Share of the time left to the objective, as for `good_share`, beyond which
        targets of other zones are checked as well. Each of these checks costs traffic
        between zones.
    good_costs, near_costs : tuple of float
        Lower bound, default and upper bound of the cost that these shares correspond
        to; 1 is the cost of an idle target at its usual speed. The default, in the
        middle, is used while the work of the route is unknown.
    load_cost : float
        Added cost of a full target, proportionally less below that. Of two equally
        fast targets, the one with the lower load is chosen, not the first in order.
    crowded_share : float
        Share of slots in use above which targets slow down.
    crowded_cost : float
        Cost added by this slowdown at a full target.
    full_share : float
        Number of requests at a target, as a share of its slots, above which the target
        counts as full while the work of the route is unknown.
    unconditional_share : float
        Share of slots up to which a target is sent any request. It covers all slots,
        because a request that starts at a nearly full target is slower, but slows down
        no other request.
    objective_share : float
        Share of the time left to the objective that a request may be expected to take
        at a target with more requests than that. A request that is late there also
        delays those queued behind it.
    less_urgent_share : float
        `objective_share` for requests that are less urgent than others of the service,
        so that capacity is left for the more urgent ones.
    hedge_check_interval_s : float
        Time in seconds between two calls of `hedge` for an idempotent request.
        It is as long as a status check may take, so that each step can use the
        status check that the previous one started.
    overdue_factor : float
        Multiple of the expected time from which the target of an open attempt is
        checked. Work varies by a third, so most requests have ended before.
    stuck_factor : float
        Multiple of the expected time from which the request is sent to a second
        target even if the first one still responds to status checks. Beyond it the
        objective is missed; the retry budget bounds the number of such hedges.
    hang_factor : float
        Multiple of the expected time from which an attempt counts as never answered,
        if its target responds to status checks. The speed of a machine may fall by a
        factor of four after the request was sent.
    far_cost : float
        Added cost of another availability zone, for its latency and traffic price.
    warmup_cost : float
        Cost factor of a target that has just started and warms up while the request
        runs.
    unhealthy_cost : float
        Cost factor of a target that reports itself as unhealthy in a status check.
        The report may be wrong, so such a target is the last choice but is not
        excluded. The factor equals the effect of the busiest neighbouring workloads.
    """

    rounds: tuple[int, ...] = (4, 4, 6)
    fresh_s: float = 0.004
    max_report_age_s: float = 0.15
    good_share: float = 0.5
    near_share: float = 0.68
    good_costs: tuple[float, float, float] = (1.2, 1.6, 2.0)
    near_costs: tuple[float, float, float] = (1.4, 2.2, 3.0)
    load_cost: float = 0.1
    crowded_share: float = 0.6
    crowded_cost: float = 0.7
    full_share: float = 1.5
    unconditional_share: float = 1.0
    objective_share: float = 0.4
    less_urgent_share: float = 0.25
    hedge_check_interval_s: float = 0.03
    overdue_factor: float = 1.3
    stuck_factor: float = 3.0
    hang_factor: float = 6.0
    far_cost: float = 0.06
    warmup_cost: float = 1.6
    unhealthy_cost: float = 4.0


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
        cost, best = self._cheapest(near, far, now, cfg.fresh_s)
        max_cost = _max_cost(call, work, now)
        if best is not None and cost <= _share_within(
            cfg.good_share, max_cost, cfg.good_costs
        ):
            return best
        check = self._next_round(call, near)
        if check is None and (
            best is None
            or cost > _share_within(cfg.near_share, max_cost, cfg.near_costs)
        ):
            check = self._next_round(call, far)
        return check or self.choose_without_checks(near, far, now)

    def choose_without_checks(
        self, near: list[TargetState], far: list[TargetState], now: float
    ) -> TargetState | None:
        """Choose by recent reports, or at random if there are none."""
        _, best = self._cheapest(near, far, now, self.settings.max_report_age_s)
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

    def _cheapest(self, near, far, now, max_age):
        """Return the lowest cost, and the target that has it and was idle longest.

        If the first of several equal targets were chosen, the last ones on the ring
        would get no requests until the others are busy, and operators would not notice
        that a new one fails.
        """
        lowest, best = (0.0, 0.0), None
        for targets, added in ((near, 0.0), (far, self.settings.far_cost)):
            for target in targets:
                if now - target.reported_at > max_age:
                    continue
                if not self.queues.has_room(target, now, max_age):
                    continue
                key = (self.cost(target, now) + added, target.last_sent)
                if best is None or key < lowest:
                    lowest, best = key, target
        return lowest[0], best

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
