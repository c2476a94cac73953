"""Budgets that fill with time."""

import attrs


@attrs.define
class TokenBucket:
    """Tokens that come at a rate and are spent.

    Parameters
    ----------
    rate : float
        Tokens a second; may be changed at any time.
    burst : float
        Most tokens held.
    now : float
        Monotonic time in seconds at the start; the bucket starts empty.
    """

    rate: float
    burst: float
    now: float
    tokens: float = 0.0

    def take(self, now: float, count: float = 1) -> bool:
        """Spend one token or several, if there are so many.

        Parameters
        ----------
        now : float
            Monotonic time in seconds. A clock that went back adds nothing.
        count : float, optional
            Tokens to spend.
        """
        elapsed = max(0.0, now - self.now)
        self.now = max(self.now, now)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
