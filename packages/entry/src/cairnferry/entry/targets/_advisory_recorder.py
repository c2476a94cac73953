"""Record the advisories that targets send with their answers."""

import logging
import time
from collections.abc import Iterable

import attrs

from cairnferry.entry.targets._conventions import TargetConvention
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import AdvisoryRegistry, Attempt, TargetAdvisory
from cairnferry.records import Target
from cairnferry.wire import Outcome

log = logging.getLogger(__name__)


@attrs.define
class AdvisoryRecorder:
    """Records targets' advisories for the policies.

    Parameters
    ----------
    metrics : Metrics
        Counts advisories.
    advisories : AdvisoryRegistry
        Advisories in effect.
    """

    metrics: Metrics
    advisories: AdvisoryRegistry = attrs.field(factory=AdvisoryRegistry)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def note_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        runtime: ServiceRuntime,
        convention: TargetConvention,
        request_id: str | None,
    ) -> None:
        """Record the advisory in the answer to a request.

        Must be called before the policy processes the end of the attempt, so that the
        policy does not send the next attempt to a target that requested a back-off.

        Parameters
        ----------
        attempt : Attempt
            Attempt that finished.
        outcome : Outcome
            Outcome of its exchange.
        runtime : ServiceRuntime
            Runtime of the service.
        convention : TargetConvention
            Header conventions of targets.
        request_id : str or None
            ID that the caller assigned to the request.
        """
        target = attempt.target.record
        self.record(
            target, convention.advisory_of(outcome, target), runtime, request_id
        )

    def record(
        self,
        target: Target,
        advisory: TargetAdvisory,
        runtime: ServiceRuntime,
        request_id: str | None = None,
    ) -> None:
        """Record an advisory from the answer to a request or to a status check.

        Parameters
        ----------
        target : Target
            Record of the target.
        advisory : TargetAdvisory
            Advisory of the target.
        runtime : ServiceRuntime
            Runtime of the service.
        request_id : str, optional
            ID of the request; None for a status check.
        """
        for fault in advisory.faults:
            self.metrics.target_advisories["faulty"] += 1
            self._log_fault(target, fault)
        for kind, seconds in (
            ("rest", advisory.back_off_s),
            ("leaving", advisory.leaving_s),
        ):
            self.metrics.target_advisories[kind] += bool(seconds)
        if advisory.back_off_s or advisory.leaving_s:
            now = time.monotonic()
            runtime.policy.note_advisory(target.identity, advisory, now, request_id)

    def maintain(self, listed: Iterable[Target]) -> None:
        """Log back-offs that have expired, and drop targets that are gone.

        Parameters
        ----------
        listed : iterable of Target
            Targets that are still listed.
        """
        now = time.monotonic()
        for identity in self.advisories.back_offs.pop_expired(now):
            log.info("target has rested", extra={"target": identity})
        leaving = self.advisories.leaving
        leaving.pop_expired(now)
        if leaving.in_force(now):
            leaving.forget_unlisted({target.identity for target in listed}, now)

    def snapshot(self) -> dict:
        """Return the advisories in effect, as plain values."""
        now = time.monotonic()
        backing_off = self.advisories.back_offs.in_force(now)
        return {
            "resting_s": {t: round(until - now, 3) for t, until in backing_off.items()},
            "leaving": sorted(self.advisories.leaving.in_force(now)),
        }

    def _log_fault(self, target, fault):
        if self._log_limit.allows():
            log.warning(
                "malformed advisory header of a target",
                extra={
                    "target": target.identity,
                    "header": fault.header,
                    "text": fault.text,
                    "left_out": self._log_limit.take_suppressed(),
                },
            )
