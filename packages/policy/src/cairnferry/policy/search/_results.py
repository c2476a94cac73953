"""Updates of target state from the results of attempts."""

from collections.abc import Callable, Collection

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import Chooser, QueueBound
from cairnferry.policy.requests import (
    Answered,
    Attempt,
    AttemptResult,
    Lost,
    NotRun,
    TargetRefused,
)
from cairnferry.policy.targets import (
    SLOW_TARGET_FACTOR,
    DrainSource,
    Ejector,
    EventLog,
    LatencyEstimate,
    LoadReport,
    TargetCondition,
    TargetState,
)

# Weight of a new load report in the means over all targets, 0 to 1.
REPORTED_LOAD_GAIN = 0.05
# Maximum number of times that consecutive refusals double the pause of a target.
MAX_REFUSAL_DOUBLINGS = 6


@attrs.define
class ResultRecorder:
    """Records the results of attempts at all targets of a service.

    Parameters
    ----------
    settings : PolicySettings
        Constants of the policy.
    chooser : Chooser
        Receives the mean load that other daemons put on a target.
    ejector : Ejector
        Ejects failing targets.
    events : EventLog
        Receives the state changes of targets.
    invalidate_usable : callable
        Called when the set of usable targets may have changed.
    queues : QueueBound
        Learns the length of the queues of targets.

    Attributes
    ----------
    latency : LatencyEstimate
        Response times of the service.
    reported_load : float
        Mean load that targets report, as a share of their slots.
    """

    settings: PolicySettings
    chooser: Chooser
    ejector: Ejector
    events: EventLog
    invalidate_usable: Callable[[], None]
    queues: QueueBound
    latency: LatencyEstimate = attrs.field(init=False)
    reported_load: float = 0.0

    def __attrs_post_init__(self):
        self.latency = LatencyEstimate(self.settings.high_quantile)

    def record_result(
        self,
        attempt: Attempt,
        result: AttemptResult,
        targets: Collection[TargetState],
        now: float,
    ) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        result : AttemptResult
            Its result.
        targets : collection of TargetState
            All targets of the service.
        now : float
            Time in seconds.
        """
        target = attempt.target
        elapsed = now - attempt.started
        match result:
            case Answered(failed=False, report=report):
                self._record_success(target, elapsed, report, now)
            case (
                Answered(failed=True) | Lost() | NotRun(deadline=False, withdrawn=False)
            ):
                self._record_failure(target, elapsed, targets, now)
            case NotRun(withdrawn=True):
                pass
            case TargetRefused(draining=draining, report=report):
                self._record_refusal(target, draining, report, now)

    def record_cancellation(
        self, attempt: Attempt, targets: Collection[TargetState], now: float
    ) -> None:
        """Record that this daemon cancelled an attempt before its response arrived."""
        target = attempt.target
        elapsed = now - attempt.started
        if elapsed > SLOW_TARGET_FACTOR * self.latency.usual > 0:
            # A hedge was faster, or the caller disconnected. A target that hangs can
            # only be detected here: its attempts are cancelled before they fail.
            self._record_failure(target, elapsed, targets, now)
        elif elapsed > target.latency:
            target.note_latency(elapsed, self.settings.latency_gain, now)

    def _record_success(self, target, elapsed, report, now):
        was_ejected = bool(target.ejected_until)
        target.paused_until = 0.0
        target.refusals = 0
        target.note_latency(elapsed, self.settings.latency_gain, now)
        self.latency.note(elapsed)
        self.ejector.note_success(target, now)
        if was_ejected:
            self.invalidate_usable()
            self.events.note(target.name, TargetCondition.RETURNED, by="answer")
        if report is not None:
            self.record_report(target, report, now)

    def record_report(
        self, target: TargetState, report: LoadReport, now: float
    ) -> None:
        """Record the load that a target reports."""
        self.queues.note_report(target, report, now)
        target.note_report(report, now)
        chooser = self.chooser
        difference = target.others_load - chooser.mean_others_load
        chooser.mean_others_load += REPORTED_LOAD_GAIN * difference
        load = report.in_use / target.record.slots
        self.reported_load += REPORTED_LOAD_GAIN * (load - self.reported_load)

    def _record_failure(self, target, elapsed, targets, now):
        penalty = self.latency.usual * self.settings.failure_latency_factor
        target.note_latency(max(elapsed, penalty), self.settings.latency_gain, now)
        was_ejected = bool(target.ejected_until)
        self.ejector.note_failure(target, targets, now)
        self.invalidate_usable()
        if target.ejected_until and not was_ejected:
            self.events.note(
                target.name,
                TargetCondition.EJECTED,
                failures=target.failures,
                for_s=round(target.ejected_until - now, 3),
            )

    def _record_refusal(self, target, draining, report, now):
        if draining:
            until = now + self.settings.refusal_drain_s
            target.draining_until[DrainSource.REFUSAL] = until
            self.invalidate_usable()
        if target.back_off_until > now:
            # The target is healthy, and its load is the reason for the back-off.
            return
        doublings = min(target.refusals, MAX_REFUSAL_DOUBLINGS)
        target.refusals += 1
        target.paused_until = now + self.settings.refusal_pause_s * 2**doublings
        if report is not None:
            self.record_report(target, report, now)
        if not draining:
            self.queues.note_refusal(target)
        self.invalidate_usable()
