"""When a caller may come back to a daemon that knows no rules yet."""

from collections.abc import Callable

import attrs

# Seconds after which others are asked that are ready already.
OTHERS_READY_S = 0.05
# Seconds of a start in which others are taken for ready: nobody has been heard yet.
UNHEARD_S = 0.1
# Least and most seconds for which a caller is sent away while all are starting.
MIN_WAIT_S = 0.2
MAX_WAIT_S = 0.5


@attrs.define
class StartupRetry:
    """Decides on Retry-After while this daemon knows no rules.

    After a loss of power all daemons start at once. A caller has few tries: sent to the
    next one at once, it would use them up before any of them knows the rules. How long
    the start still takes nobody knows; what it has taken so far is the best guess.

    Parameters
    ----------
    began : float
        Monotonic time in seconds at which this daemon began to listen.
    others_ready : callable
        Tells whether another daemon is known to have rules.
    """

    began: float
    others_ready: Callable[[], bool]

    def retry_after(self, now: float) -> float:
        """Give the seconds after which a caller may come back.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        elapsed = now - self.began
        if elapsed < UNHEARD_S or self.others_ready():
            return OTHERS_READY_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, elapsed))
