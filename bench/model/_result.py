"""Result of a load under a policy, and its worth."""

import enum

import attrs

# Costs of a check, and of a check or a request to another zone and back, as a share of
# the worth of a response in time. They follow from the users' prices, with about 300
# bytes for a check and 2 KB for a request and its response.
CHECK_PRICE = 0.0032
FAR_CHECK_PRICE = 0.012
FAR_REQUEST_PRICE = 0.08
# Worth of a late response as a share of one in time, as the users rate it.
LATE_WORTH = 0.1


class Outcome(enum.Enum):
    """Outcome of a caller's request, with its retries."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define
class Result:
    """Result of a load under a policy.

    Attributes
    ----------
    outcomes : dict of Outcome to int
        Number of callers by outcome.
    times : list of float
        Response times in seconds.
    checks, attempts, retries : int
        Numbers of status checks, attempts and retries sent to targets.
    far_checks, far_attempts : int
        Status checks and attempts that went to another zone.
    requests, extra_arrivals : list of float
        Times in seconds at which callers sent requests, and at which attempts beyond
        the first of a request reached a target.
    """

    outcomes: dict[Outcome, int] = attrs.field(
        factory=lambda: dict.fromkeys(Outcome, 0)
    )
    times: list[float] = attrs.field(factory=list)
    checks: int = 0
    attempts: int = 0
    retries: int = 0
    far_checks: int = 0
    far_attempts: int = 0
    requests: list[float] = attrs.field(factory=list)
    extra_arrivals: list[float] = attrs.field(factory=list)

    @property
    def worth(self) -> float:
        """Mean worth of the responses to a caller, minus their cost."""
        late = LATE_WORTH * self.share(Outcome.LATE)
        cost = (
            CHECK_PRICE * self.checks
            + FAR_CHECK_PRICE * self.far_checks
            + FAR_REQUEST_PRICE * self.far_attempts
        )
        return self.share(Outcome.IN_TIME) + late - cost / max(1, self.callers)

    @property
    def callers(self) -> int:
        """Total number of callers."""
        return sum(self.outcomes.values())

    def share(self, outcome: Outcome) -> float:
        """Return the share of the callers with an outcome."""
        return self.outcomes[outcome] / max(1, self.callers)

    def quantile(self, share_below: float) -> float:
        """Return the seconds within which a share of the responses arrived."""
        ordered = sorted(self.times)
        return ordered[int(share_below * (len(ordered) - 1))] if ordered else 0.0
