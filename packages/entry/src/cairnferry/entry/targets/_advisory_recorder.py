"""Taking in what targets say of themselves in their answers."""

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
    """Brings what targets say of themselves to the decisions.

    Parameters
    ----------
    metrics : Metrics
        Counts what they say.
    holds : AdvisoryRegistry
        What they have asked of this daemon.
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
        """Take in what the answer to a request says.

        To be called before the policy is told that the attempt ended: it sends the
        next one to a target that has not asked to be left alone.

        Parameters
        ----------
        attempt : Attempt
            The attempt that ended.
        outcome : Outcome
            What came of it.
        runtime : ServiceRuntime
            The service.
        convention : TargetConvention
            How targets speak.
        request_id : str or None
            The ID that its caller gave the request.
        """
        target = attempt.target.record
        self.note(target, convention.advisory_of(outcome, target), runtime, request_id)

    def note(
        self,
        target: Target,
        words: TargetAdvisory,
        runtime: ServiceRuntime,
        request_id: str | None = None,
    ) -> None:
        """Take in what an answer says, to a request or to a status check."""
        for fault in words.faults:
            self.metrics.target_words["faulty"] += 1
            self._log_fault(target, fault)
        for word, seconds in (("rest", words.back_off_s), ("leaving", words.leaving_s)):
            self.metrics.target_words[word] += bool(seconds)
        if words.back_off_s or words.leaving_s:
            now = time.monotonic()
            runtime.policy.note_advisory(target.identity, words, now, request_id)

    def maintain(self, listed: Iterable[Target]) -> None:
        """Tell whose rest is over, and forget targets that are long gone."""
        now = time.monotonic()
        for identity in self.advisories.back_offs.pop_expired(now):
            log.info("target has rested", extra={"target": identity})
        leaving = self.advisories.leaving
        leaving.pop_expired(now)
        if leaving.in_force(now):
            leaving.forget_unlisted({target.identity for target in listed}, now)

    def snapshot(self) -> dict:
        """Give what holds now, as plain values."""
        now = time.monotonic()
        resting = self.advisories.back_offs.in_force(now)
        return {
            "resting_s": {t: round(until - now, 3) for t, until in resting.items()},
            "leaving": sorted(self.advisories.leaving.in_force(now)),
        }

    def _log_fault(self, target, fault):
        if self._log_limit.allows():
            log.warning(
                "word of a target cannot be read",
                extra={
                    "target": target.identity,
                    "header": fault.header,
                    "text": fault.text,
                    "left_out": self._log_limit.take_left_out(),
                },
            )
