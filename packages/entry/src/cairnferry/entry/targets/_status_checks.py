"""Status checks of targets, made immediately before a request is placed."""

import math
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import TokenBucket
from cairnferry.entry.targets._advisory_recorder import AdvisoryRecorder
from cairnferry.entry.targets._answer_wait import AnswerWait
from cairnferry.entry.targets._conventions import CheckResult
from cairnferry.entry.targets._limiter import Limiter
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._upstreams import Upstreams
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import DrainSource
from cairnferry.records import Target

# Turns of the event loop after the wait in which answers that have already arrived are
# still accepted: one to notice that a socket is readable, one to read it and one to
# report the result.
LATE_ANSWER_TURNS = 3
# Seconds after which a check is abandoned and its connection is closed.
CHECK_TIMEOUT_S = 0.5
# Seconds after that time from which the process must have been stalled, because the
# event loop would otherwise have ended the check.
STALL_S = 0.02
# Seconds of a free link without which the end of a check says nothing of its target.
MIN_FREE_S = 0.03
# Fraction of the status check budget that is used. The rest is reserved for instances
# that this one has not discovered yet.
BUDGET_SHARE = 0.9
# Seconds' worth of the rate that may be spent at once, so that a burst of requests can
# still check targets.
BUDGET_BURST_S = 4.0
# Targets checked together, and seconds between two such checks, while no path to a
# service works.
PATH_CHECKS = 3
PATH_CHECK_INTERVAL_S = 0.2
# Seconds after which such checks end; the next request starts them again.
MAX_PATH_WATCH_S = 30.0
# Seconds for which a target gets no requests after another target answered at its
# address.
ADDRESS_REUSED_S = 30.0


@attrs.define(eq=False)
class _Check:
    """A running check, shared by all requests that need the same target's status."""

    target: Target
    started: float
    busy_at_start: float
    has_report: bool = False
    done: Event = attrs.field(factory=Event)


@attrs.define
class StatusChecks:
    """Checks targets' load within a budget that all instances share.

    Parameters
    ----------
    upstreams : Upstreams
        Connections to targets.
    metrics : Metrics
        Counts checks.
    rate : float
        Checks per second and target, summed over all instances; 0 for no limit.
    limiter : Limiter, optional
        Records the limits that the answers advertise.
    advisory_recorder : AdvisoryRecorder, optional
        Records the advisories in the answers.
    clock : callable, optional
        Returns the time in seconds.
    wait_for : callable, optional
        Waits until all given events are set, for at most the given seconds.
    """

    upstreams: Upstreams
    metrics: Metrics
    rate: float = 0.0
    limiter: Limiter | None = None
    advisory_recorder: AdvisoryRecorder | None = None
    clock: Callable[[], float] = time.monotonic
    wait_for: Callable[[list[Event], float], None] = gevent.wait
    _bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(0.0, 0.0, time.monotonic())
    )
    _running: dict[str, _Check] = attrs.field(factory=dict)
    _watched: set[str] = attrs.field(factory=set)

    def set_instances(self, instances: int, targets: int) -> None:
        """Update this instance's share of the check budget.

        Parameters
        ----------
        instances : int
            Number of instances that share the budget.
        targets : int
            Number of targets of all services.
        """
        bucket = self._bucket
        was_empty = not bucket.burst
        bucket.rate = BUDGET_SHARE * self.rate * targets / max(1, instances)
        bucket.burst = bucket.rate * BUDGET_BURST_S
        if was_empty:
            # Without a full bucket, requests in the first seconds would be placed
            # without a status check.
            bucket.tokens = bucket.burst

    def check_all(
        self,
        targets: tuple[Target, ...],
        runtime: ServiceRuntime,
        latest: float = math.inf,
    ) -> None:
        """Check all targets concurrently and wait for their answers.

        Each answer is reported to the policy when it arrives. An answer that arrives
        after the wait is still reported, for use by the next request. The wait grows
        while this instance itself delays the answers.

        Parameters
        ----------
        targets : tuple of Target
            Targets to check.
        runtime : ServiceRuntime
            Runtime of their service.
        latest : float, optional
            Time in seconds up to which the request can wait for late answers.
        """
        checks = [self._check(target, runtime) for target in targets]
        checks = [check for check in checks if check is not None]
        if not checks:
            return
        wait = AnswerWait(self.upstreams.link, self.clock(), latest)
        while not wait.is_over(self.clock(), any(each.has_report for each in checks)):
            planned = wait.next_slice()
            self.wait_for([check.done for check in checks], planned)
            if all(check.done.is_set() for check in checks):
                return
            wait.advance(planned, self.clock())
        # If the process was stalled, the timeout and the answers become visible at the
        # same time. Without these turns all targets would count as silent.
        for _ in range(LATE_ANSWER_TURNS):
            gevent.sleep(0)
        if not wait.is_conclusive:
            self.metrics.probes["delayed-here"] += 1
            return
        for check in checks:
            if not check.done.is_set():
                # Spares the next request the wait for this target.
                runtime.policy.note_missed_check(check.target.identity, self.clock())
                runtime.policy.paths.note_no_answer(
                    check.target.identity, check.started
                )
        runtime.log_path_changes()

    def watch_paths(self, runtime: ServiceRuntime) -> None:
        """Check targets of a service until a path to one of them works again.

        Parameters
        ----------
        runtime : ServiceRuntime
            Runtime of a service to which no path works.
        """
        name = runtime.policy.service.name
        if name not in self._watched:
            self._watched.add(name)
            gevent.spawn(self._watch_paths, runtime, name)

    def _watch_paths(self, runtime, name):
        try:
            start = 0
            end = self.clock() + MAX_PATH_WATCH_S
            paths = runtime.policy.paths
            while paths.broken_since is not None and self.clock() < end:
                targets = runtime.policy.target_records()
                if not targets:
                    return
                chosen = [
                    targets[(start + step) % len(targets)]
                    for step in range(min(PATH_CHECKS, len(targets)))
                ]
                start += len(chosen)
                self.check_all(tuple(chosen), runtime)
                gevent.sleep(PATH_CHECK_INTERVAL_S)
        finally:
            self._watched.discard(name)

    def _check(self, target, runtime):
        running = self._running.get(target.identity)
        if running is not None:
            return running
        now = self.clock()
        if self.rate and not self._bucket.take(now):
            self.metrics.probes["over-budget"] += 1
            return None
        check = _Check(target, now, self.upstreams.link.busy_seconds(now))
        self._running[target.identity] = check
        gevent.spawn(self._run, check, runtime)
        return check

    def _run(self, check, runtime):
        target = check.target
        timeout = CHECK_TIMEOUT_S + self.upstreams.link.backlog(check.started)
        try:
            result = self.upstreams.check(target, timeout)
            if result.report is None and self._was_delayed(check, timeout):
                self.metrics.probes["delayed-here"] += 1
            else:
                check.has_report = result.report is not None
                self._record_path(check, result, runtime)
                self._report(check, result, runtime)
        finally:
            self._running.pop(target.identity, None)
            check.done.set()

    def _record_path(self, check, result, runtime):
        paths = runtime.policy.paths
        if not result.answered and result.report is None:
            paths.note_no_answer(check.target.identity, check.started)
            return
        was_broken = paths.broken_since is not None
        runtime.policy.note_answer(check.target.identity, self.clock())
        if was_broken:
            runtime.log_path_changes()

    def _was_delayed(self, check, timeout):
        """Return whether a check failed because this instance was busy or stalled."""
        now = self.clock()
        elapsed = now - check.started
        if elapsed < timeout:
            return False
        busy = self.upstreams.link.busy_seconds(now) - check.busy_at_start
        return elapsed > timeout + STALL_S or elapsed - busy < MIN_FREE_S

    def _report(self, check, result: CheckResult, runtime):
        now = self.clock()
        target = check.target
        if self.limiter is not None:
            self.limiter.note_check(target.identity, result.limit, check.started)
            service = runtime.policy.service
            self.limiter.cold.note_check(
                target, result.warmup_s, service, check.started
            )
        if self.advisory_recorder is not None:
            self.advisory_recorder.record(target, result.advisory, runtime)
        self.metrics.probes["healthy" if result.is_healthy else "unhealthy"] += 1
        if result.warmup_s is not None:
            runtime.policy.note_warmup(target.identity, now + result.warmup_s)
        runtime.policy.note_check(
            target.identity, result.report, result.is_healthy, now
        )
        if result.address_reused:
            until = now + ADDRESS_REUSED_S
            runtime.policy.note_draining(target.identity, DrainSource.REFUSAL, until)
