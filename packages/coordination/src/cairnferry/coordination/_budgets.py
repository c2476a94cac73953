"""Budgets that are replenished over time."""

import attrs


@attrs.define
class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    Parameters
    ----------
    rate : float
        Tokens per second; may be changed at any time.
    burst : float
        Maximum number of tokens in the bucket.
    now : float
        Monotonic time of creation in seconds.
    tokens : float, optional
        Number of tokens in the bucket; 0 at creation by default.
    """

    rate: float
    burst: float
    now: float
    tokens: float = 0.0

    def take(self, now: float, count: float = 1) -> bool:
        """Remove tokens from the bucket if it holds enough of them.

        Parameters
        ----------
        now : float
            Monotonic time in seconds. If it is earlier than at the previous call, no
            tokens are added.
        count : float, optional
            Number of tokens to remove.

        Returns
        -------
        bool
            Whether the tokens were removed.
        """
        elapsed = max(0.0, now - self.now)
        self.now = max(self.now, now)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
