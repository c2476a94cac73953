"""Constants of the policy, in one place so that a bench can vary them."""

import attrs

from cairnferry.policy.choice import (
    LeastInFlight,
    LoadAware,
    RandomChoice,
    RoundRobin,
    StatusCheckSettings,
    Strategy,
    TwoChoices,
)

UNLIMITED = 1_000_000


@attrs.frozen
class PolicySettings:
    """Constants of the policy.

    Attributes
    ----------
    strategy : Strategy
        How a target is chosen.
    report_weight : float
        Weight of a fresh report against what is usual, 0 to 1. Reports tell all
        daemons the same, late; followed in full, they send all of them to the
        same targets.
    report_decay_s : float
        Age in seconds at which a report's weight has fallen to 1/e.
    latency_gain : float
        Weight of a new latency sample, 0 to 1.
    latency_memory_s : float
        Age in seconds at which a target's latency is half forgotten.
    failure_latency_factor : float
        A failure counts as an answer this many times slower than usual.
    eject_failures : int
        Failures in a row that eject a target.
    eject_base_s, eject_max_s : float
        Time out of use after the first ejection, and at most.
    eject_share : float
        Largest share of a service's targets that may be ejected.
    trial_timeout_s : float
        After which a trial request without result no longer blocks the next.
    ramp_s : float
        Time in seconds over which a new or returned target gets its full share.
    refusal_drain_s : float
        Time in seconds for which a refusal that says "draining" holds.
    refusal_pause_s : float
        Time in seconds for which a refusal that says nothing of it holds.
    background_share : float
        Share of the window that background requests may use.
    background_growth : float
        Growth of the background window in one window of answers; slow, since the
        load that it adds shows late.
    background_load : float
        Load, of a target by estimate or of all as reported, from which no
        background work is sent.
    full_load : float
        Estimated load of a target from which it takes nothing more. Above 1,
        since an estimate that is too high would leave slots idle, while a short
        queue at the target costs no more than one here.
    full_report_load : float
        Mean reported load above which the window is cut, and up to which it
        grows.
    deepest_cut : float
        Smallest factor of one cut of the window.
    min_window : float
        Smallest window.
    retry_burst : float
        Most retry tokens held.
    retry_start : float
        Retry tokens at the start.
    max_attempts : int
        Attempts for one request, hedges included.
    high_quantile : float
        Share of answers that are faster than what counts as a high latency.
    hedge_factor : float
        Time before a hedge as a multiple of the usual latency, and at least of
        the high one.
    hedge_min_s : float
        Shortest time in seconds before a hedge.
    wait_share : float
        Share of the time left that a request may be expected to wait.
    probe_interval_s : float
        Time in seconds between two probes of one target, over all daemons.
    retry_after_s : float
        Retry-After in seconds where nothing better is known.
    return_shares : tuple of float
        Earliest and latest return of a refused request, as shares of the time that it
        can still wait and make its objective.
    rest_spread : float
        Part of the time to the end of a rest by which the returns of those that were
        refused for it are spread after it.
    budget_share : float
        Part of a budget in windows that is spent. The rest covers requests that are
        sent in one window and earn in the next, and repeats that arrive in the next.
    min_retry_after_s : float
        Shortest Retry-After in seconds: below it a caller would come back before
        anything has changed.
    seek : StatusCheckSettings or None
        How targets are asked for their load before a request is sent; None does not
        ask.
    """

    strategy: Strategy = LoadAware()
    report_weight: float = 0.25
    report_decay_s: float = 0.1
    latency_gain: float = 0.2
    latency_memory_s: float = 2.0
    failure_latency_factor: float = 10.0
    eject_failures: int = 3
    eject_base_s: float = 1.0
    eject_max_s: float = 8.0
    eject_share: float = 0.5
    trial_timeout_s: float = 10.0
    ramp_s: float = 3.0
    refusal_drain_s: float = 30.0
    refusal_pause_s: float = 0.02
    background_share: float = 0.5
    background_growth: float = 0.1
    background_load: float = 0.6
    full_load: float = 1.5
    full_report_load: float = 1.15
    deepest_cut: float = 0.7
    min_window: float = 1.0
    retry_burst: float = 5.0
    retry_start: float = 3.0
    max_attempts: int = 3
    high_quantile: float = 0.95
    hedge_factor: float = 2.5
    hedge_min_s: float = 0.002
    wait_share: float = 0.4
    probe_interval_s: float = 1.2
    retry_after_s: float = 1.0
    return_shares: tuple[float, float] = (0.2, 0.6)
    rest_spread: float = 0.25
    budget_share: float = 0.9
    min_retry_after_s: float = 0.05
    seek: StatusCheckSettings | None = None


_BASELINES = {
    "two-choices": TwoChoices(),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
    "random": RandomChoice(),
}
STRATEGY_NAMES = ("load-aware", "ask-first", *_BASELINES)


def settings_for(strategy_name: str) -> PolicySettings:
    """Give the settings of a strategy.

    The baselines choose a target and do nothing else: no limit on what is in
    flight, no ejection and no hedging; retries as for all.

    Raises
    ------
    KeyError
        If there is no strategy of that name.
    """
    if strategy_name == "load-aware":
        return PolicySettings()
    if strategy_name == "ask-first":
        return PolicySettings(min_window=UNLIMITED, seek=StatusCheckSettings())
    return PolicySettings(
        strategy=_BASELINES[strategy_name],
        min_window=UNLIMITED,
        hedge_min_s=UNLIMITED,
        eject_failures=UNLIMITED,
    )
