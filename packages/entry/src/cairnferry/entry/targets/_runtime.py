"""A service's policy at work: clock, waiting requests, wake-ups."""

import logging
import time

import gevent
from gevent.event import AsyncResult

from cairnferry.entry.telemetry import RateLimit
from cairnferry.policy import (
    Attempt,
    AttemptResult,
    Call,
    Decision,
    Send,
    ServicePolicy,
    Wait,
)

# Room also comes up by time alone, as reports age; this often it is looked for
# while requests wait, in seconds.
LOOK_INTERVAL_S = 0.002

log = logging.getLogger(__name__)


class ServiceRuntime:
    """Drives one policy for the tasks of many callers.

    Parameters
    ----------
    policy : ServicePolicy
        The decisions.
    """

    def __init__(self, policy: ServicePolicy):
        self.policy = policy
        self._waiting: dict[Call, AsyncResult] = {}
        self._looker = None
        self._log_limit = RateLimit()

    def arrive(self, call: Call) -> Decision:
        """Decide about a request that arrives."""
        return self._noted(call, self.policy.arrive(call, time.monotonic()))

    def resume(self, call: Call) -> Decision:
        """Decide about a request once the targets to ask have been asked."""
        return self._noted(call, self.policy.resume(call, time.monotonic()))

    def finished(self, attempt: Attempt, result: AttemptResult) -> Decision:
        """Decide what follows an attempt, and let others use the room it left."""
        decision = self.policy.finished(attempt, result, time.monotonic())
        self._noted(attempt.call, decision)
        self.settle_waiting()
        self._log_events()
        return decision

    def _log_events(self):
        """Write what changed in the belief about targets, up to a rate."""
        for event in self.policy.take_events():
            if self._log_limit.allows():
                log.info(
                    "target " + event.condition,
                    extra={
                        "service": self.policy.service.name,
                        "target": event.target,
                        **event.inputs,
                        "left_out": self._log_limit.take_left_out(),
                    },
                )

    def cancelled(self, attempt: Attempt) -> None:
        """Take in that an attempt was cut off here."""
        self.policy.cancelled(attempt, time.monotonic())
        self.settle_waiting()

    def wait(self, call: Call) -> Decision:
        """Wait until it is decided about a request that has to wait."""
        # If this is interrupted the decision stays, for `abandon` to undo it: a
        # place may have been given to the request at the same moment.
        decision = self._waiting[call].get()
        del self._waiting[call]
        return decision

    def abandon(self, call: Call) -> None:
        """Drop a request whose caller went away, in whatever state it is."""
        self.policy.abandon(call)
        event = self._waiting.pop(call, None)
        if event is not None and event.ready() and isinstance(event.value, Send):
            # Room was given to it at the same moment; give it back.
            self.cancelled(event.value.attempt)

    def settle_waiting(self) -> None:
        """Tell waiting requests what was decided about them."""
        if not self._waiting:
            return
        for call, decision in self.policy.release(time.monotonic()):
            event = self._waiting.get(call)
            if event is not None:
                event.set(decision)
            elif isinstance(decision, Send):
                self.policy.cancelled(decision.attempt, time.monotonic())

    def _noted(self, call, decision):
        if isinstance(decision, Wait):
            self._waiting[call] = AsyncResult()
            if self._looker is None:
                self._looker = gevent.spawn(self._look)
        return decision

    def _look(self):
        while self._waiting:
            gevent.sleep(LOOK_INTERVAL_S)
            self.settle_waiting()
        self._looker = None
