"""Budget of retries and hedges, a share of first attempts."""

import attrs


@attrs.define
class RetryBudget:
    """Tokens earned by first attempts and spent by further ones.

    Without a common budget every failed request is sent again: when all targets
    fail, or are slow, that multiplies the load just when they have no room.

    Parameters
    ----------
    ratio : float
        Tokens for each first attempt.
    burst : float
        Most tokens held.
    tokens : float
        Tokens at the start.
    """

    ratio: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a token for a further attempt, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
