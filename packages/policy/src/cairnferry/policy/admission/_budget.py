"""Budgets of retries and hedges, a share of first attempts."""

from collections import deque

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


@attrs.define
class WindowBudget:
    """Budget of retries and hedges in any window of a given length.

    All instances share it. Each spends the share that its own requests earn, and
    an equal part of what is allowed beyond that, so that no message is needed
    between them, and none can spend what another has spent.

    Parameters
    ----------
    ratio : float
        Further attempts for each first one.
    slack : float
        Further attempts in a window beyond that, for this instance.
    window : float
        Length in seconds.
    """

    ratio: float
    slack: float
    window: float
    _firsts: deque[float] = attrs.field(factory=deque)
    _further: deque[float] = attrs.field(factory=deque)

    def follow(self, service: Service, settings: PolicySettings, instances: int):
        """Take in a changed record, or another number of instances that share it."""
        part = settings.budget_share
        self.ratio = part * service.retry_ratio
        self.slack = part * service.retry_slack / instances

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._firsts.append(now)
        self._forget(now)

    def spend(self, now: float, on_credit: bool = False) -> bool:
        """Count a further attempt, if the window allows one.

        There is no credit: the bound holds in each window.
        """
        self._forget(now)
        if len(self._further) + 1 > self.ratio * len(self._firsts) + self.slack:
            return False
        self._further.append(now)
        return True

    def give_back(self) -> None:
        """Take back the last `spend`: nothing was sent."""
        if self._further:
            self._further.pop()

    @property
    def tokens(self) -> float:
        """Further attempts that the window still allows."""
        return self.ratio * len(self._firsts) + self.slack - len(self._further)

    def _forget(self, now):
        for times in (self._firsts, self._further):
            while times and times[0] <= now - self.window:
                times.popleft()


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
