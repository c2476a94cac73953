"""Budget of retries and hedges, a share of first attempts."""

import attrs


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

    def earn(self) -> None:
        """Count a first attempt."""
        if self._debt > 0:
            self._debt -= self.ratio
        else:
            self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self, on_credit: bool = False) -> bool:
        """Take a token for a further attempt, if there is one.

        Parameters
        ----------
        on_credit : bool, optional
            Whether a token that is not yet earned will do. As it is paid back
            before the next, the share of further attempts stays what it is.
        """
        least = 1 - self.burst if on_credit else 1
        if self.tokens < least:
            return False
        self.tokens -= 1
        return True
