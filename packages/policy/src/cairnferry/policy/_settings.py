"""Constants of the policy, in one class so that benchmarks can vary them."""

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

# Value of a setting, a number or a time in seconds, that is never reached.
UNLIMITED = 1_000_000


@attrs.frozen
class PolicySettings:
    """Constants of the policy.

    Attributes
    ----------
    strategy : Strategy
        Method by which a target is chosen.
    report_weight : float
        Weight of a fresh load report against the mean load, 0 to 1. All daemons
        receive the same reports with a delay; at full weight, all of them would send
        to the same targets.
    report_decay_s : float
        Age in seconds at which the weight of a report has decayed to 1/e.
    latency_gain : float
        Weight of a new latency sample, 0 to 1.
    latency_half_life_s : float
        Age in seconds at which the weight of a slow target's latency has halved.
    failure_latency_factor : float
        Latency that a failure counts as, as a multiple of the usual latency.
    eject_failures : int
        Number of consecutive failures that eject a target.
    eject_base_s, eject_max_s : float
        Time in seconds out of use after the first ejection, and the longest one.
    eject_share : float
        Largest share of a service's targets that may be ejected.
    trial_timeout_s : float
        Time in seconds after which a trial request without a result no longer blocks
        the next trial.
    ramp_s : float
        Time in seconds over which a new or returned target ramps up to its full
        share of requests.
    refusal_drain_s : float
        Time in seconds for which a refusal that says "draining" is valid.
    refusal_pause_s : float
        Time in seconds for which a target is paused after any other refusal.
    background_share : float
        Share of the window that background requests may use.
    background_growth : float
        Growth of the background window per window of responses. It is slow
        because the load that background requests add is reported late.
    background_load : float
        Load above which no background requests are sent: the estimated load of one
        target, or the mean reported load of all.
    full_load : float
        Estimated load from which a target counts as full. It is above 1, because an
        estimate that is too high would leave slots idle, while a short queue at the
        target costs no more than a queue in this process.
    full_report_load : float
        Mean reported load above which the window is reduced, and up to which it
        grows.
    min_cut_factor : float
        Smallest factor by which the window is reduced in one step.
    min_window : float
        Smallest concurrency window, in requests.
    retry_burst : float
        Largest number of retry tokens held.
    retry_start : float
        Number of retry tokens at the start.
    max_attempts : int
        Largest number of attempts for one request, including hedges.
    high_quantile : float
        Quantile of the response times that counts as a high latency.
    hedge_factor : float
        Delay before a hedge as a multiple of the usual latency; the delay is never
        shorter than the high latency.
    hedge_min_s : float
        Shortest delay in seconds before a hedge.
    max_wait_share : float
        Largest expected wait in the queue, as a share of the time left to the request.
    probe_interval_s : float
        Time in seconds between two probes of one target, by all daemons together.
    retry_after_s : float
        Default Retry-After in seconds.
    retry_after_shares : tuple of float
        Smallest and largest Retry-After of a refused request, as shares of the time
        that it can wait and still meet its objective.
    back_off_spread : float
        Jitter added to the Retry-After of a request that is refused because targets
        are backing off, as a share of the time left in the back-off.
    budget_share : float
        Share of a window budget that may be spent. The rest covers requests that are
        sent in one window and earn tokens in the next, and retries that arrive in the
        next window.
    min_retry_after_s : float
        Shortest Retry-After in seconds. With a shorter one, a caller would retry
        before the load has changed.
    status_checks : StatusCheckSettings or None
        Settings of the status checks that precede each request; None disables them.
    """

    strategy: Strategy = LoadAware()
    report_weight: float = 0.25
    report_decay_s: float = 0.1
    latency_gain: float = 0.2
    latency_half_life_s: float = 2.0
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
    min_cut_factor: float = 0.7
    min_window: float = 1.0
    retry_burst: float = 5.0
    retry_start: float = 3.0
    max_attempts: int = 3
    high_quantile: float = 0.95
    hedge_factor: float = 2.5
    hedge_min_s: float = 0.002
    max_wait_share: float = 0.4
    probe_interval_s: float = 1.2
    retry_after_s: float = 1.0
    retry_after_shares: tuple[float, float] = (0.2, 0.6)
    back_off_spread: float = 0.25
    budget_share: float = 0.9
    min_retry_after_s: float = 0.05
    status_checks: StatusCheckSettings | None = None


_BASELINES = {
    "two-choices": TwoChoices(),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
    "random": RandomChoice(),
}
STRATEGY_NAMES = ("load-aware", "ask-first", *_BASELINES)


def settings_for(strategy_name: str) -> PolicySettings:
    """Return the settings of a strategy.

    The baselines only choose a target, without a concurrency limit, ejection or
    hedging. They retry like all other strategies.

    Parameters
    ----------
    strategy_name : str
        One of `STRATEGY_NAMES`.

    Raises
    ------
    KeyError
        If there is no strategy of this name.
    """
    if strategy_name == "load-aware":
        return PolicySettings()
    if strategy_name == "ask-first":
        return PolicySettings(min_window=UNLIMITED, status_checks=StatusCheckSettings())
    return PolicySettings(
        strategy=_BASELINES[strategy_name],
        min_window=UNLIMITED,
        hedge_min_s=UNLIMITED,
        eject_failures=UNLIMITED,
    )
