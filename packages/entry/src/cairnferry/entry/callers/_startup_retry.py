"""Retry-After for callers of a daemon that has no rules yet."""

from collections.abc import Callable

import attrs

# Retry delay in seconds if other daemons are ready.
OTHERS_READY_RETRY_S = 0.05
# Seconds after the start during which other daemons are assumed to be ready, because no
# heartbeat has been received yet.
FIRST_CONTACT_S = 0.1
# Minimum and maximum retry delay in seconds while all daemons are starting.
MIN_WAIT_S = 0.2
MAX_WAIT_S = 0.5


@attrs.define
class StartupRetry:
    """Determines Retry-After while this daemon has no rules.

    After a power failure all daemons start at the same time. A caller makes few
    attempts. If it were sent to the next daemon immediately, it would use them up
    before any daemon has the rules. The remaining time of the start is unknown, and the
    elapsed time is the best estimate of it.

    Parameters
    ----------
    started_at : float
        Monotonic time in seconds at which this daemon began to listen.
    others_ready : callable
        Returns whether another daemon is known to have rules.
    """

    started_at: float
    others_ready: Callable[[], bool]

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a caller may retry.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        elapsed = now - self.started_at
        if elapsed < FIRST_CONTACT_S or self.others_ready():
            return OTHERS_READY_RETRY_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, elapsed))
