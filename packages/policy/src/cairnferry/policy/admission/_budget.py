"""Budgets of retries and hedges, in proportion to first attempts."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.records import Service


@attrs.define
class RetryBudget:
    """Token bucket that first attempts fill and further attempts drain.

    Without a common budget, every failed request is retried. When all targets fail or
    are slow, that multiplies the load while they have no spare capacity.

    The initial tokens are a loan, so that requests that fail right after the start can
    be retried. Earned tokens pay back the loan before they become available.

    Parameters
    ----------
    ratio : float
        Tokens earned by each first attempt.
    burst : float
        Largest number of tokens held.
    tokens : float
        Number of tokens lent at the start.
    """

    ratio: float
    burst: float
    tokens: float
    _debt: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._debt = self.tokens

    def update(self, service: Service, settings: PolicySettings, instances: int):
        """Apply a changed record; each instance earns its own tokens."""
        self.ratio = service.retry_ratio

    def earn(self, now: float = 0.0) -> None:
        """Count a first attempt."""
        if self._debt > 0:
            self._debt -= self.ratio
        else:
            self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self, now: float = 0.0, on_credit: bool = False) -> bool:
        """Take a token for a further attempt, if there is one.

        Parameters
        ----------
        now : float, optional
            Ignored.
        on_credit : bool, optional
            Whether a token that is not yet earned may be spent. The debt is paid back
            before the next token is available, so that the share of further attempts
            stays the same.

        Returns
        -------
        bool
            Whether the further attempt is allowed.
        """
        min_tokens = 1 - self.burst if on_credit else 1
        if self.tokens < min_tokens:
            return False
        self.tokens -= 1
        return True

    def refund(self) -> None:
        """Return the token of the last `spend`, as nothing was sent."""
        self.tokens = min(self.burst, self.tokens + 1)


# Share of its slack that an instance may hold unspent; the rest accrues over time.
MAX_UNSPENT_SHARE = 0.7


@attrs.define
class WindowBudget:
    """Budget of retries and hedges in any window of a given length.

    All instances share the budget. Each instance spends the tokens that its own
    requests earn and an equal part of the slack. Instances therefore exchange no
    messages, and no two of them spend the same token.

    The budget starts empty and never holds more than its share of the slack. A new
    process cannot tell how much its predecessor spent in the same window. Their
    total is bounded by the tokens held at the start of the window plus those that
    accrued since, however often the instance restarts.

    Parameters
    ----------
    ratio : float
        Number of further attempts allowed for each first attempt.
    slack : float
        Number of further attempts that this instance may make in a window beyond the
        ratio.
    window : float
        Length of the window in seconds.

    Attributes
    ----------
    tokens : float
        Number of further attempts allowed now.
    """

    ratio: float
    slack: float
    window: float
    tokens: float = attrs.field(default=0.0, init=False)
    _filled_at: float | None = attrs.field(default=None, init=False)

    def update(self, service: Service, settings: PolicySettings, instances: int):
        """Apply a changed record or a changed number of instances."""
        share = settings.budget_share
        self.ratio = share * service.retry_ratio
        self.slack = share * service.retry_slack / instances
        self.tokens = min(self.tokens, self.max_tokens)

    @property
    def max_tokens(self) -> float:
        """Largest number of tokens held; at least 1, or none could ever be spent."""
        return max(1.0, MAX_UNSPENT_SHARE * self.slack)

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._fill(now)
        self._add(self.ratio)

    def spend(self, now: float, on_credit: bool = False) -> bool:
        """Take a token for a further attempt, if there is one.

        `on_credit` is ignored, because the bound applies to each window.
        """
        self._fill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refund(self) -> None:
        """Return the token of the last `spend`, as nothing was sent."""
        self._add(1.0)

    def _fill(self, now):
        """Add the slack beyond `max_tokens`, which accrues evenly over the window."""
        if self._filled_at is not None:
            rate = max(0.0, self.slack - self.max_tokens) / self.window
            self._add(rate * max(0.0, now - self._filled_at))
        self._filled_at = now

    def _add(self, count):
        self.tokens = min(self.max_tokens, self.tokens + count)


def create_budget(
    service: Service, settings: PolicySettings
) -> RetryBudget | WindowBudget:
    """Create the budget that the record of a service specifies.

    Returns
    -------
    WindowBudget or RetryBudget
        A `WindowBudget` if the record sets a window, else a `RetryBudget`.
    """
    if service.retry_window_s is None:
        return RetryBudget(
            service.retry_ratio, settings.retry_burst, settings.retry_start
        )
    share = settings.budget_share
    return WindowBudget(
        share * service.retry_ratio, share * service.retry_slack, service.retry_window_s
    )
