"""Detection of requests that a target does not answer although it responds."""

import attrs

from cairnferry.policy.choice import StatusCheckSettings, WorkEstimates
from cairnferry.policy.requests import Attempt, Call, CheckStatus
from cairnferry.policy.search import TargetSet
from cairnferry.policy.targets import TargetCondition

# Seconds for which the load reports of a target that hangs are not used to learn the
# length of queues.
HANGING_S = 10.0


@attrs.define
class Hangs:
    """Detects and counts attempts that hang.

    Parameters
    ----------
    settings : StatusCheckSettings or None
        Settings of status checks; None if they are disabled, and then no attempt is
        known to hang.
    targets : TargetSet
        Targets of the service.
    work : WorkEstimates
        Estimated work of the requests of each route.

    Attributes
    ----------
    count : int
        Number of attempts that ended without a response while they hung.
    """

    settings: StatusCheckSettings | None
    targets: TargetSet
    work: WorkEstimates
    count: int = 0

    def is_hanging(self, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt gets no response from a target that responds.

        Parameters
        ----------
        attempt : Attempt
            An attempt without a result.
        now : float
            Time in seconds.
        """
        target = attempt.target
        if self.settings is None or target.missed_checks:
            return False
        if target.reported_at <= attempt.started:
            return False
        return self._is_overdue(attempt, self.settings.hang_factor, now)

    def check_due(self, call: Call, now: float) -> CheckStatus | None:
        """Return the check that shows whether targets of a hedged request respond.

        Parameters
        ----------
        call : Call
            A request with several open attempts.
        now : float
            Time in seconds.
        """
        cfg = self.settings
        due = tuple(
            attempt.target.record
            for attempt in call.attempts
            if not attempt.ended
            and attempt.target.reported_at <= attempt.started
            and now - attempt.target.checked_at > cfg.hedge_check_interval_s
            and self._is_overdue(attempt, cfg.stuck_factor, now)
        )
        return CheckStatus(due) if due else None

    def _is_overdue(self, attempt, factor, now):
        cost = max(attempt.cost, self.targets.check_chooser.cost(attempt.target, now))
        expected = cost * self.work.seconds(attempt.call.route)
        return 0 < factor * expected <= now - attempt.started

    def note_unanswered(self, attempt: Attempt, now: float) -> None:
        """Record the end of an attempt without a response."""
        if not self.is_hanging(attempt, now):
            return
        self.count += 1
        target = attempt.target
        target.hanging_until = now + HANGING_S
        self.targets.check_chooser.queues.note_hang()
        self.targets.events.note(
            target.name,
            TargetCondition.HANGING,
            in_flight=target.in_flight,
            after_ms=round((now - attempt.started) * 1000),
        )
