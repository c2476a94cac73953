"""Runtime of a service's policy: clock, waiting requests and wake-ups."""

import logging
import time

import gevent
from gevent.event import AsyncResult

from cairnferry.entry._restarting_task import RestartingTask
from cairnferry.entry.telemetry import RateLimit
from cairnferry.policy import (
    Attempt,
    AttemptResult,
    Call,
    Cause,
    Decision,
    Send,
    ServicePolicy,
    Wait,
)

# Seconds between two checks for free capacity while requests wait. Capacity also
# becomes free without an event, because load reports age.
RELEASE_INTERVAL_S = 0.002

log = logging.getLogger(__name__)


class ServiceRuntime:
    """Runs one policy for the concurrent tasks of many callers.

    Parameters
    ----------
    policy : ServicePolicy
        Policy that makes the decisions.
    """

    def __init__(self, policy: ServicePolicy):
        self.policy = policy
        self._waiting: dict[Call, AsyncResult] = {}
        self._release_task = RestartingTask(self._release_loop)
        self._log_limit = RateLimit()

    def arrive(self, call: Call) -> Decision:
        """Return the decision on a request that has arrived."""
        return self._track_waiting(call, self.policy.arrive(call, time.monotonic()))

    def resume(self, call: Call) -> Decision:
        """Return the decision on a request after its status checks or its pause."""
        return self._track_waiting(call, self.policy.resume(call, time.monotonic()))

    def finished(self, attempt: Attempt, result: AttemptResult) -> Decision:
        """Return the decision after an attempt; waiting requests get its capacity."""
        decision = self.policy.finished(attempt, result, time.monotonic())
        self._track_waiting(attempt.call, decision)
        self.release_waiting()
        self.log_path_changes()
        self._log_events()
        return decision

    def log_path_changes(self) -> None:
        """Log whether the paths to the targets have broken or work again."""
        policy = self.policy
        policy.paths.are_broken(time.monotonic())
        for change in policy.paths.take_changes():
            message = "targets reachable" if change.works else "no target reachable"
            level = logging.INFO if change.works else logging.WARNING
            extra = {"service": policy.service.name, **change.inputs}
            log.log(level, message, extra=extra)

    def _log_events(self):
        """Log changes in the assumed condition of targets, at a limited rate."""
        for event in self.policy.take_events():
            if self._log_limit.allows():
                log.info(
                    "target " + event.condition,
                    extra={
                        "service": self.policy.service.name,
                        "target": event.target,
                        **event.inputs,
                        "left_out": self._log_limit.take_suppressed(),
                    },
                )

    def cancelled(self, attempt: Attempt) -> None:
        """Record that this daemon cancelled an attempt."""
        self.policy.cancelled(attempt, time.monotonic())
        self.release_waiting()

    def retire(self, attempt: Attempt) -> None:
        """Record that this daemon cancelled an attempt because it hangs."""
        self.policy.retire(attempt, time.monotonic())
        self.release_waiting()
        self.log_path_changes()
        self._log_events()

    def wait(self, call: Call) -> Decision:
        """Wait for the decision on a queued request and return it."""
        # If this is interrupted, the decision stays in place for `abandon` to undo,
        # because the request may have been granted capacity at the same moment.
        decision = self._waiting[call].get()
        del self._waiting[call]
        return decision

    def abandon(self, call: Call) -> None:
        """Drop a request whose caller disconnected, in whatever state it is."""
        self.policy.abandon(call)
        event = self._waiting.pop(call, None)
        if event is not None and event.ready() and isinstance(event.value, Send):
            # The request was granted capacity at the same moment; release it.
            self.cancelled(event.value.attempt)

    def release_waiting(self) -> None:
        """Pass new decisions to the waiting requests."""
        if not self._waiting:
            return
        for call, decision in self.policy.release(time.monotonic()):
            event = self._waiting.get(call)
            if event is not None:
                event.set(decision)
            elif isinstance(decision, Send):
                self.policy.cancelled(decision.attempt, time.monotonic())

    def give_up_waiting(self, cause: Cause) -> None:
        """Give up all requests that wait for a target."""
        for call, decision in self.policy.give_up_waiting(cause, time.monotonic()):
            if call in self._waiting:
                self._waiting[call].set(decision)

    def _track_waiting(self, call, decision):
        if isinstance(decision, Wait):
            self._waiting[call] = AsyncResult()
            self._release_task.ensure_running()
        return decision

    def _release_loop(self):
        while self._waiting:
            gevent.sleep(RELEASE_INTERVAL_S)
            self.release_waiting()
