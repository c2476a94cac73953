"""Status checks made right before a request is placed."""

import time

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import TokenBucket
from cairnferry.entry.targets._advisory_recorder import AdvisoryRecorder
from cairnferry.entry.targets._conventions import CheckResult
from cairnferry.entry.targets._limiter import Limiter
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._upstreams import Upstreams
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import DrainSource
from cairnferry.records import Target

# Longest wait in seconds for the answers of a round: many times what a sound target
# takes; one that takes longer would not be chosen anyway.
ANSWER_WAIT_S = 0.03
# Turns of the event loop in which answers that are there already are still taken: one
# to notice that a socket is readable, one to read it, one to tell.
LOOKS_AFTER_TIME = 3
# Time in seconds after which a check is given up and its connection closed.
CHECK_TIMEOUT_S = 0.5
# Part of the budget of status checks that is used; the rest covers instances that
# this one does not know of yet.
BUDGET_SHARE = 0.9
# Seconds of the rate that may be spent at once, so that a burst can still ask.
BURST_S = 4.0
# Seconds for which a target at whose address another one answered gets no work.
MISPLACED_S = 30.0


@attrs.define(eq=False)
class _Check:
    """A check under way; requests that want the same one share it."""

    target: Target
    started: float
    done: Event = attrs.field(factory=Event)


@attrs.define
class StatusChecks:
    """Asks targets for their load, within a budget that all instances share.

    Parameters
    ----------
    upstreams : Upstreams
        Connections to targets.
    metrics : Metrics
        Counts checks.
    rate : float
        Checks a second for each target, over all instances; 0 for no limit.
    limiter : Limiter, optional
        Takes in limits that the answers name.
    listener : AdvisoryRecorder, optional
        Takes in what targets say of themselves.
    """

    upstreams: Upstreams
    metrics: Metrics
    rate: float = 0.0
    limiter: Limiter | None = None
    advisory_recorder: AdvisoryRecorder | None = None
    _bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(0.0, 0.0, time.monotonic())
    )
    _running: dict[str, _Check] = attrs.field(factory=dict)

    def set_instances(self, instances: int, targets: int) -> None:
        """Work out this instance's part of the budget."""
        bucket = self._bucket
        was_empty = not bucket.burst
        bucket.rate = BUDGET_SHARE * self.rate * targets / max(1, instances)
        bucket.burst = bucket.rate * BURST_S
        if was_empty:
            # The requests of the first seconds would go out unasked.
            bucket.tokens = bucket.burst

    def ask(self, targets: tuple[Target, ...], runtime: ServiceRuntime) -> None:
        """Ask all targets at the same time; come back when they have answered.

        The policy is told each answer as it comes, also one that comes after the
        wait: then the next request knows it.
        """
        checks = [self._check(target, runtime) for target in targets]
        checks = [check for check in checks if check is not None]
        deadline = time.monotonic() + ANSWER_WAIT_S
        for check in checks:
            check.done.wait(max(0.0, deadline - time.monotonic()))
        if all(check.done.is_set() for check in checks):
            return
        # A process that was held up finds its time over and the answers there at the
        # same moment. Without a look at these all targets would count as silent.
        for _ in range(LOOKS_AFTER_TIME):
            gevent.sleep(0)
        for check in checks:
            if not check.done.is_set():
                # The next request need not wait for it as well.
                runtime.policy.note_missed_check(
                    check.target.identity, time.monotonic()
                )

    def _check(self, target, runtime):
        running = self._running.get(target.identity)
        if running is not None:
            return running
        if self.rate and not self._bucket.take(time.monotonic()):
            self.metrics.probes["over-budget"] += 1
            return None
        check = _Check(target, time.monotonic())
        self._running[target.identity] = check
        gevent.spawn(self._run, check, runtime)
        return check

    def _run(self, check, runtime):
        target = check.target
        try:
            result = self.upstreams.check(target, CHECK_TIMEOUT_S)
            self._tell(check, result, runtime)
        finally:
            self._running.pop(target.identity, None)
            check.done.set()

    def _tell(self, check, result: CheckResult, runtime):
        now = time.monotonic()
        target = check.target
        if self.limiter is not None:
            self.limiter.note_check(target.identity, result.limit, check.started)
            service = runtime.policy.service
            self.limiter.cold.note_check(
                target, result.warmup_s, service, check.started
            )
        if self.advisory_recorder is not None:
            self.advisory_recorder.note(target, result.advisory, runtime)
        self.metrics.probes["healthy" if result.is_healthy else "unhealthy"] += 1
        if result.warmup_s is not None:
            runtime.policy.note_warmup(target.identity, now + result.warmup_s)
        runtime.policy.note_check(
            target.identity, result.report, result.is_healthy, now
        )
        if result.address_reused:
            until = now + MISPLACED_S
            runtime.policy.note_draining(target.identity, DrainSource.REFUSAL, until)
