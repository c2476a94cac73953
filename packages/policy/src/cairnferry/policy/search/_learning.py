"""What results of attempts teach about targets."""

from collections.abc import Callable, Collection

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import Chooser
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

REPORTED_LOAD_GAIN = 0.05
MAX_REFUSAL_DOUBLINGS = 6


@attrs.define
class Learning:
    """Learns from results, for all targets of a service.

    Parameters
    ----------
    settings : PolicySettings
        Constants.
    chooser : Chooser
        Is told what others use of a target on the whole.
    ejector : Ejector
        Takes targets out of use.
    events : EventLog
        Changes in what is believed.
    forget_usable : callable
        Called when other targets may be usable now.

    Attributes
    ----------
    latency : LatencyEstimate
        Answer times of the service.
    reported_load : float
        Mean load that targets report, as a share of their slots.
    """

    settings: PolicySettings
    chooser: Chooser
    ejector: Ejector
    events: EventLog
    forget_usable: Callable[[], None]
    latency: LatencyEstimate = attrs.field(init=False)
    reported_load: float = 0.0

    def __attrs_post_init__(self):
        self.latency = LatencyEstimate(self.settings.high_quantile)

    def learn(
        self,
        attempt: Attempt,
        result: AttemptResult,
        targets: Collection[TargetState],
        now: float,
    ) -> None:
        """Take in the result of an attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        result : AttemptResult
            What came of it.
        targets : collection of TargetState
            All targets of the service.
        now : float
            Time in seconds.
        """
        target = attempt.target
        elapsed = now - attempt.started
        match result:
            case Answered(failed=False, report=report):
                self._learn_success(target, elapsed, report, now)
            case (
                Answered(failed=True) | Lost() | NotRun(deadline=False, withdrawn=False)
            ):
                self._learn_failure(target, elapsed, targets, now)
            case NotRun(withdrawn=True):
                pass
            case TargetRefused(draining=draining, report=report):
                self._learn_refusal(target, draining, report, now)

    def learn_cut(
        self, attempt: Attempt, targets: Collection[TargetState], now: float
    ) -> None:
        """Take in that an attempt was cut off here before it had an answer."""
        target = attempt.target
        elapsed = now - attempt.started
        if elapsed > SLOW_TARGET_FACTOR * self.latency.usual > 0:
            # A hedge won, or the caller left. A target that hangs gives no other
            # sign: its attempts would always be cut before they fail.
            self._learn_failure(target, elapsed, targets, now)
        elif elapsed > target.latency:
            target.note_latency(elapsed, self.settings.latency_gain, now)

    def _learn_success(self, target, elapsed, report, now):
        was_out = bool(target.ejected_until)
        target.paused_until = 0.0
        target.refusals = 0
        target.note_latency(elapsed, self.settings.latency_gain, now)
        self.latency.note(elapsed)
        self.ejector.note_success(target, now)
        if was_out:
            self.forget_usable()
            self.events.note(target.name, TargetCondition.RETURNED, by="answer")
        if report is not None:
            self.learn_report(target, report, now)

    def learn_report(self, target: TargetState, report: LoadReport, now: float) -> None:
        """Take in what a target says of its load."""
        target.note_report(report, now)
        chooser = self.chooser
        step = target.others_load - chooser.mean_others_load
        chooser.mean_others_load += REPORTED_LOAD_GAIN * step
        load = report.in_use / target.record.slots
        self.reported_load += REPORTED_LOAD_GAIN * (load - self.reported_load)

    def _learn_failure(self, target, elapsed, targets, now):
        slow = self.latency.usual * self.settings.failure_latency_factor
        target.note_latency(max(elapsed, slow), self.settings.latency_gain, now)
        was_out = bool(target.ejected_until)
        self.ejector.note_failure(target, targets, now)
        self.forget_usable()
        if target.ejected_until and not was_out:
            self.events.note(
                target.name,
                TargetCondition.EJECTED,
                failures=target.failures,
                for_s=round(target.ejected_until - now, 3),
            )

    def _learn_refusal(self, target, draining, report, now):
        if draining:
            until = now + self.settings.refusal_drain_s
            target.draining_until[DrainSource.REFUSAL] = until
            self.forget_usable()
        if target.back_off_until > now:
            # It is well, and what it says of its load is why it wants rest.
            return
        doublings = min(target.refusals, MAX_REFUSAL_DOUBLINGS)
        target.refusals += 1
        target.paused_until = now + self.settings.refusal_pause_s * 2**doublings
        if report is not None:
            self.learn_report(target, report, now)
        self.forget_usable()
