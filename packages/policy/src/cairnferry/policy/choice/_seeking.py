"""Choice of a target by asking a few of them right before the request is sent.

Neighbours on a target's machine change its pace several times a second, by a factor
of four. What a target said with its last answer is worthless by the next request,
whereas a status check answers within a millisecond and tells load and pace as they
are now.
"""

import itertools
import random

import attrs

from cairnferry.policy.requests import Call, CheckStatus
from cairnferry.policy.targets import TargetState


@attrs.frozen
class StatusCheckSettings:
    """How many targets are asked, and when an answer is good enough.

    Attributes
    ----------
    rounds : tuple of int
        Targets asked in each round. Asking stops as soon as one that is idle and at
        its usual pace was heard.
    fresh_s : float
        Age in seconds up to which an earlier answer spares a question: a small part
        of the 300 ms after which the pace of a machine has changed.
    known_s : float
        Age in seconds up to which an answer is used if no newer one was had.
    good_share : float
        Part of the time left to the objective which a request may be expected to take
        at the best target known, so that no further one is asked. What is faster than
        that serves nobody better, and each check has its price.
    near_share : float
        The same part, beyond which targets of other zones are asked as well: each of
        these questions costs bytes between zones.
    good_costs, near_costs : tuple of float
        Least and highest cost that these parts may stand for; 1 is an idle target at
        its usual pace. The middle ones hold while it is not known what the work takes.
    load_cost : float
        Added cost of a target that is full, in proportion below that: of two that
        are equally fast the emptier one is taken, not the first in order.
    crowded_share : float
        Share of slots in use from which targets slow down.
    crowded_cost : float
        Added cost of a target that is full.
    full_share : float
        Requests at a target as a share of its slots from which it is sent none,
        as long as it is not known how long the work takes.
    calm_share : float
        Share of slots up to which a target takes any request: all of them, as a
        request that begins at a nearly full target is slower, but slows no other.
    objective_margin : float
        Part of the time up to the objective that a request may be expected to take
        at a target beyond that share. What would come late there makes those behind
        it late as well.
    less_urgent_share : float
        The same part for requests that are less urgent than others of the service,
        so that these find room.
    look_s : float
        Seconds between two looks at an attempt of an idempotent request: as long as
        a check may take, so that one look sees what the one before has asked.
    doubt_factor : float
        Multiple of the expected time from which its target is asked whether it is
        still there. Work varies by a third, so that most requests are done before.
    stuck_factor : float
        Multiple of the expected time from which the request is sent to a second
        target although the first one still answers checks: beyond it the objective is
        lost, and the budget of repeats bounds the rest.
    far_cost : float
        Added cost of another availability zone: the longer way, and its price.
    warmup_cost : float
        Factor for a target that has just started; it warms up while the request runs.
    unwell_cost : float
        Factor for a target whose check says that it is not well. It may be wrong, so
        that such a target is the last choice and not none. As bad as the busiest
        neighbours make one.
    """

    rounds: tuple[int, ...] = (4, 4, 6)
    fresh_s: float = 0.004
    known_s: float = 0.15
    good_share: float = 0.5
    near_share: float = 0.68
    good_costs: tuple[float, float, float] = (1.2, 1.6, 2.0)
    near_costs: tuple[float, float, float] = (1.4, 2.2, 3.0)
    load_cost: float = 0.1
    crowded_share: float = 0.6
    crowded_cost: float = 0.7
    full_share: float = 1.5
    calm_share: float = 1.0
    objective_margin: float = 0.4
    less_urgent_share: float = 0.25
    look_s: float = 0.03
    doubt_factor: float = 1.3
    stuck_factor: float = 3.0
    far_cost: float = 0.06
    warmup_cost: float = 1.6
    unwell_cost: float = 4.0


@attrs.frozen
class Seeker:
    """Asks for and compares what targets say of themselves.

    Parameters
    ----------
    settings : StatusCheckSettings
        Constants.
    rng : random.Random
        Source of randomness.
    """

    settings: StatusCheckSettings
    rng: random.Random

    def seek(
        self,
        call: Call,
        near: list[TargetState],
        far: list[TargetState],
        work: float,
        now: float,
    ) -> TargetState | CheckStatus | None:
        """Choose a target, or say which ones to ask first.

        Parameters
        ----------
        call : Call
            The request; its search is moved on.
        near, far : list of TargetState
            Those in the own zone and in others that may be used for it.
        work : float
            Seconds that such a request takes at an idle target; 0 if unknown.
        now : float
            Time in seconds.

        Returns
        -------
        TargetState, Ask or None
            None if there is no target at all.
        """
        if not near and not far:
            return None
        cfg = self.settings
        cost, best = self._cheapest(near, far, now, cfg.fresh_s)
        longest = _longest_cost(call, work, now)
        if best is not None and cost <= _bounded(
            cfg.good_share, longest, cfg.good_costs
        ):
            return best
        ask = self._next_round(call, near)
        if ask is None and (
            best is None or cost > _bounded(cfg.near_share, longest, cfg.near_costs)
        ):
            ask = self._next_round(call, far)
        return ask or self.best_known(near, far, now)

    def best_known(
        self, near: list[TargetState], far: list[TargetState], now: float
    ) -> TargetState | None:
        """Choose by what was heard lately; any, if nothing was."""
        _, best = self._cheapest(near, far, now, self.settings.known_s)
        if best is None and (near or far):
            # Checks get lost where requests still go through.
            return self.rng.choice(near or far)
        return best

    def _next_round(self, call, targets):
        search = call.search
        if search.rounds >= len(self.settings.rounds):
            return None
        chosen = self._draw(
            targets, self.settings.rounds[search.rounds], search.checked
        )
        if not chosen:
            return None
        search.rounds += 1
        search.checked.update(target.identity for target in chosen)
        return CheckStatus(tuple(target.record for target in chosen))

    def _draw(self, targets, count, asked):
        """Take the next ones on the ring.

        Drawn at random, they would be others at each request, and few of them would
        still have a connection.
        """
        left = (target for target in targets if target.identity not in asked)
        return list(itertools.islice(left, count))

    def _cheapest(self, near, far, now, max_age):
        best_cost, best = 0.0, None
        for targets, added in ((near, 0.0), (far, self.settings.far_cost)):
            for target in targets:
                if now - target.reported_at > max_age:
                    continue
                cost = self.cost(target, now) + added
                if best is None or cost < best_cost:
                    best_cost, best = cost, target
        return best_cost, best

    def cost(self, target: TargetState, now: float) -> float:
        """Estimate how long a request takes there, as a multiple of the usual."""
        cfg = self.settings
        slots = target.record.slots
        share = (target.expected_in_use() + 1) / slots
        cost = 1.0 + cfg.load_cost * share
        if share > cfg.crowded_share:
            excess = min(share, 1.0) - cfg.crowded_share
            cost += cfg.crowded_cost * excess / (1 - cfg.crowded_share)
        if share > 1:
            # It waits there for one of the slots first.
            cost += share - 1 + 1 / slots
        cost *= target.slowdown
        if now < target.warm_at:
            cost *= cfg.warmup_cost
        if now < target.unhealthy_until:
            cost *= cfg.unwell_cost
        return cost

    def is_worth_sending(
        self, call: Call, target: TargetState, work: float, urgent: bool, now: float
    ) -> bool:
        """Tell whether a request may go to the best target that was found.

        Parameters
        ----------
        call : Call
            The request.
        target : TargetState
            The target.
        work : float
            Seconds that such a request takes at an idle target; 0 if unknown.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.
        """
        slots = target.record.slots
        in_use = target.expected_in_use() + 1
        if in_use <= slots * self.settings.calm_share:
            return True
        if not work or call.objective is None:
            return in_use <= self.settings.full_share * slots
        cfg = self.settings
        share = cfg.objective_margin if urgent else cfg.less_urgent_share
        left = call.objective - now
        return self.cost(target, now) * work <= share * left


def _longest_cost(call, work, now):
    """Give the cost at which the objective is just made; None if it is not known."""
    if not work or call.objective is None or call.objective <= now:
        return None
    return (call.objective - now) / work


def _bounded(share, longest, bounds):
    """Give a part of the longest cost, within bounds; the middle one if unknown."""
    least, usual, most = bounds
    if longest is None:
        return usual
    return min(most, max(least, share * longest))
