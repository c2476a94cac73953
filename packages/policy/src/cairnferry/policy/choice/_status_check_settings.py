"""Settings of the status checks that precede a request."""

import attrs


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
    spill_round : bool
        Whether the last round checks targets of other zones in place of further ones
        of the own zone, if none that was checked so far is within `near_share`.
    search_before_refusal : bool
        Whether a request is refused only if it would be refused at each target that
        was checked, and if targets of other zones were checked while rounds are left.
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
    spill_round: bool = False
    search_before_refusal: bool = False
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
