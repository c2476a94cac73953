"""Budgets of retries and hedges, a share of first attempts."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.records import Service


@attrs.define
class RetryBudget:
    """Tokens earned by first attempts and spent by further ones.

    Without a common budget every failed request is sent again: when all targets
    fail, or are slow, that multiplies the load just when they have no room.

    The first tokens are lent, so that the first failures after a start can be
    met; what is earned pays them back before it counts.

    Parameters
    ----------
    ratio : float
        Tokens for each first attempt.
    burst : float
        Most tokens held.
    tokens : float
        Tokens lent at the start.
    """

    ratio: float
    burst: float
    tokens: float
    _debt: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._debt = self.tokens

    def follow(self, service: Service, settings: PolicySettings, instances: int):
        """Take in a changed record; each instance earns its own tokens."""
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
            Not looked at.
        on_credit : bool, optional
            Whether a token that is not yet earned will do. As it is paid back
            before the next, the share of further attempts stays what it is.
        """
        least = 1 - self.burst if on_credit else 1
        if self.tokens < least:
            return False
        self.tokens -= 1
        return True

    def give_back(self) -> None:
        """Take back the last `spend`: nothing was sent."""
        self.tokens = min(self.burst, self.tokens + 1)


# Part of an instance's slack that it may hold unspent; the rest comes with time.
STOCK_SHARE = 0.7


@attrs.define
class WindowBudget:
    """Budget of retries and hedges in any window of a given length.

    All instances share it. Each spends what its own requests earn, and an equal part
    of what is allowed beyond that, so that no message is needed between them, and none
    can spend what another has spent.

    The budget begins empty, and never holds more than its part of the slack. A process
    that starts does not know what the one before it has spent in the same window: what
    the two spend is bounded by what was held at the start of the window and what came
    in since, however often an instance is lost.

    Parameters
    ----------
    ratio : float
        Further attempts for each first one.
    slack : float
        Further attempts in a window beyond that, for this instance.
    window : float
        Length in seconds.

    Attributes
    ----------
    tokens : float
        Further attempts that may be made now.
    """

    ratio: float
    slack: float
    window: float
    tokens: float = attrs.field(default=0.0, init=False)
    _filled_at: float | None = attrs.field(default=None, init=False)

    def follow(self, service: Service, settings: PolicySettings, instances: int):
        """Take in a changed record, or another number of instances that share it."""
        part = settings.budget_share
        self.ratio = part * service.retry_ratio
        self.slack = part * service.retry_slack / instances
        self.tokens = min(self.tokens, self.most_held)

    @property
    def most_held(self) -> float:
        """Most tokens held; one at least, or none could ever be spent."""
        return max(1.0, STOCK_SHARE * self.slack)

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._fill(now)
        self._add(self.ratio)

    def spend(self, now: float, on_credit: bool = False) -> bool:
        """Take a token for a further attempt, if there is one.

        There is no credit: the bound holds in each window.
        """
        self._fill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def give_back(self) -> None:
        """Take back the last `spend`: nothing was sent."""
        self._add(1.0)

    def _fill(self, now):
        """Add what comes with time: what of the slack is not held, in each window."""
        if self._filled_at is not None:
            rate = max(0.0, self.slack - self.most_held) / self.window
            self._add(rate * max(0.0, now - self._filled_at))
        self._filled_at = now

    def _add(self, count):
        self.tokens = min(self.most_held, self.tokens + count)


def budget_of(service: Service, settings: PolicySettings) -> RetryBudget | WindowBudget:
    """Give the sort of budget that a service's record asks for."""
    if service.retry_window_s is None:
        return RetryBudget(
            service.retry_ratio, settings.retry_burst, settings.retry_start
        )
    part = settings.budget_share
    return WindowBudget(
        part * service.retry_ratio, part * service.retry_slack, service.retry_window_s
    )
