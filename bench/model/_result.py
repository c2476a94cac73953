"""What came of a load under a policy, and what that is worth."""

import enum

import attrs

# Parts of what an answer in time is worth: for a check, and for a check or a request
# that goes to another zone and back. By the users' prices, with some 300 bytes for a
# check and 2 KB for a request and its answer.
CHECK_PRICE = 0.0032
FAR_CHECK_PRICE = 0.012
FAR_REQUEST_PRICE = 0.08
# What a late answer is worth, on the users' sheets.
LATE_WORTH = 0.1


class Outcome(enum.Enum):
    """How a caller fared."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define
class Result:
    """What came of a load under a policy.

    Attributes
    ----------
    outcomes : dict of Outcome to int
        Callers.
    times : list of float
        Seconds to the answers.
    checks, attempts, repeats : int
        Sent to targets.
    far_checks, far_attempts : int
        Those of them that went to another zone.
    requests, further : list of float
        Times at which callers sent requests, and at which attempts beyond the first of
        a request reached a target.
    """

    outcomes: dict[Outcome, int] = attrs.field(
        factory=lambda: dict.fromkeys(Outcome, 0)
    )
    times: list[float] = attrs.field(factory=list)
    checks: int = 0
    attempts: int = 0
    repeats: int = 0
    far_checks: int = 0
    far_attempts: int = 0
    requests: list[float] = attrs.field(factory=list)
    further: list[float] = attrs.field(factory=list)

    @property
    def worth(self) -> float:
        """What the answers are worth to a caller, less what they cost."""
        late = LATE_WORTH * self.share(Outcome.LATE)
        price = (
            CHECK_PRICE * self.checks
            + FAR_CHECK_PRICE * self.far_checks
            + FAR_REQUEST_PRICE * self.far_attempts
        )
        return self.share(Outcome.IN_TIME) + late - price / max(1, self.callers)

    @property
    def callers(self) -> int:
        """Callers in all."""
        return sum(self.outcomes.values())

    def share(self, outcome: Outcome) -> float:
        """Give the part of the callers that fared so."""
        return self.outcomes[outcome] / max(1, self.callers)

    def quantile(self, part: float) -> float:
        """Give the seconds within which a part of the answers came."""
        ordered = sorted(self.times)
        return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0
