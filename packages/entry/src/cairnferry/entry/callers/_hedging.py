"""Hedging: a second attempt of an idempotent request before the first has failed."""

import time
from collections.abc import Callable

import attrs
import gevent
from gevent.queue import Empty, SimpleQueue

from cairnferry.entry.targets import (
    OutboundRequest,
    ServiceRuntime,
    StatusChecks,
    Upstreams,
)
from cairnferry.policy import (
    Attempt,
    AwaitOthers,
    Cause,
    CheckStatus,
    Decision,
    GiveUp,
    Send,
)
from cairnferry.wire import Reply

# Retry-After in seconds for a request whose key was revoked after an attempt that may
# have run. Its outcome can be queried with another key.
REVOKED_RETRY_AFTER_S = 1.0


@attrs.define
class HedgedAttempts:
    """Concurrent attempts of one idempotent request, which is hedged.

    Parameters
    ----------
    upstreams : Upstreams
        Sends the attempts.
    checks : StatusChecks or None
        Checks the status of targets if the policy requests it.
    conclude : callable
        Called with the request, an attempt that ended, its outcome and the runtime;
        returns the decision and the reply.
    req : OutboundRequest
        Request to send.
    runtime : ServiceRuntime
        Runtime of the service.
    needs_detour : callable, optional
        Returns whether another daemon should serve the request, as no path works here.
    """

    upstreams: Upstreams
    checks: StatusChecks | None
    conclude: Callable[..., tuple[Decision, Reply | None]]
    req: OutboundRequest
    runtime: ServiceRuntime
    needs_detour: Callable[[], bool] = lambda: False
    _results: SimpleQueue = attrs.field(factory=SimpleQueue)
    _running: dict[Attempt, gevent.Greenlet] = attrs.field(factory=dict)
    _check_task: gevent.Greenlet | None = None

    def run(self, first, delay):
        """Run attempts until there is a decision; return it and the reply."""
        try:
            self._start(first)
            timeout = delay
            while True:
                try:
                    attempt, outcome = self._results.get(timeout=timeout)
                except Empty:
                    if not self._running and self.req.find_problem() is not None:
                        # All attempts were retired, and any of them may have run.
                        return GiveUp(Cause.KEY_UNKNOWN, REVOKED_RETRY_AFTER_S), None
                    if self.needs_detour() and self._may_repeat():
                        first.call.possibly_run = True
                        return GiveUp(Cause.UNREACHABLE, 0.0), None
                    timeout = self._hedge(first.call, delay)
                    continue
                if self._running.pop(attempt, None) is None:
                    # It was retired in the moment in which it ended.
                    continue
                if isinstance(outcome, BaseException):
                    self.runtime.cancelled(attempt)
                    raise outcome
                decision, reply = self.conclude(
                    self.req, attempt, outcome, self.runtime
                )
                if not isinstance(decision, AwaitOthers):
                    return decision, reply
        finally:
            self._cancel_running()

    def _start(self, attempt):
        self._running[attempt] = gevent.spawn(self._send, attempt)

    def _send(self, attempt):
        try:
            outcome = self.upstreams.send(self.req, attempt)
        except Exception as exc:
            outcome = exc
        self._results.put((attempt, outcome))

    def _hedge(self, call, delay):
        """Send a hedge if it is due; return the seconds until the next check."""
        if self.req.find_problem() is not None:
            return None
        self._retire_hanging(call)
        decision = self.runtime.policy.hedge(call, time.monotonic())
        match decision:
            case Send(attempt):
                self._start(attempt)
            case CheckStatus(targets):
                self._check(targets)
        return delay if self.runtime.policy.repeats_hedge_check else None

    def _check(self, targets):
        """Check the status of targets, unless the last check of this request runs.

        On a busy instance a check takes longer than the time until the next one is due,
        and the tasks of all requests would add up.
        """
        if self._check_task is None or self._check_task.ready():
            self._check_task = gevent.spawn(
                self.checks.check_all, targets, self.runtime
            )

    def _may_repeat(self):
        return self.runtime.policy.spend_retry(time.monotonic())

    def _retire_hanging(self, call):
        """Cancel attempts that hang, so that the request may go elsewhere.

        The connection is closed: such a target answers nothing further on it.
        """
        policy = self.runtime.policy
        for attempt in policy.hanging_attempts(call, time.monotonic()):
            if self._running[attempt].ready():
                # Its outcome waits to be read.
                continue
            self._running.pop(attempt).kill(block=False)
            self.runtime.retire(attempt)

    def _cancel_running(self):
        """Cancel the attempts that still run and close their connections.

        Otherwise a late answer to this request could be mistaken for the answer to the
        next request on the connection.
        """
        for attempt, greenlet in self._running.items():
            greenlet.kill(block=False)
            self.runtime.cancelled(attempt)
        # The traceback of a killed attempt refers to this object and to its answer, so
        # that both would be kept until the next full garbage collection.
        self._running.clear()
