"""What a stop of daemons is tried with, and the times that follow from it."""

import attrs

# Seconds of the rule that hold for a `grace` of 6 s and answers of the directory that
# callers keep for 1 s. The times of the ways are written for these.
RULE_GRACE_S = 6.0
RULE_TTL_S = 1.0
STALE_ANSWER_FACTOR = 3
# Seconds between the end of the last request and the SIGKILL of the platform, and
# seconds before that end in which the rule excuses a cut: from 5.0 s on of 6 s.
STOP_MARGIN_S = 0.6
EXCUSED_BEFORE_END_S = 0.4
# Seconds after its last byte from which a request that was read may not be dropped.
LOST_SLACK_S = 0.2


@attrs.frozen
class Setup:
    """One run: a way of callers, its seed, and the settings of the daemons.

    Attributes
    ----------
    way : str
        Name of the way in which callers use the daemons.
    seed : int
        Seed of all that is random.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    ttl_max_s : float
        Longest time in seconds for which callers keep an answer of the directory.
    timeout_s : float or None
        Timeout in seconds of the routes; None for 3 s, scaled as the work is.
    deadline_s : float or None
        Seconds that callers wait; None for 8 s, scaled as the work is.
    work_s : tuple of (float, float) or None
        Shortest and longest work of a request in seconds, in place of the way's.
    history : int
        Requests with the longest work that each route gets before the stop. With none,
        a daemon has seen requests that take no time.
    """

    way: str
    seed: int
    grace_s: float = RULE_GRACE_S
    ttl_max_s: float = 5.0
    timeout_s: float | None = None
    deadline_s: float | None = None
    work_s: tuple[float, float] | None = None
    history: int = 0

    @property
    def scale(self) -> float:
        """Ratio of the times of sending to those of the rule's own settings."""
        return min(RULE_TTL_S, self.ttl_max_s) / RULE_TTL_S

    @property
    def serve_s(self) -> float:
        """Seconds after SIGTERM up to which a request may be excused if it is cut."""
        return STALE_ANSWER_FACTOR * RULE_TTL_S * self.scale

    @property
    def work_scale(self) -> float:
        """Ratio of the time to finish to that of the rule's own settings."""
        usual = RULE_GRACE_S - STOP_MARGIN_S - STALE_ANSWER_FACTOR * RULE_TTL_S
        return (self.grace_s - STOP_MARGIN_S - self.serve_s) / usual

    @property
    def excused_from_s(self) -> float:
        """Seconds after SIGTERM from which the rule excuses a cut.

        It is the last sixth of `grace`. With a short one, a daemon has ended by then,
        so that it is the same time before its end as with 6 s.
        """
        return min(
            self.grace_s * 5 / 6, self.grace_s - STOP_MARGIN_S - EXCUSED_BEFORE_END_S
        )

    @property
    def route_timeout_s(self) -> float:
        """Timeout of the routes in seconds."""
        return self.timeout_s or 3.0 * self.work_scale

    @property
    def caller_time_s(self) -> float:
        """Seconds that callers wait."""
        return self.deadline_s or 8.0 * self.work_scale
