"""Detect whether a target crashed while it ran requests."""

import logging
import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs
import gevent
from gevent.event import Event

from cairnferry.entry.targets._upstreams import Presence, Upstreams
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import SAME_CRASH_S, Attempt, RequestIdentity
from cairnferry.records import Target

# Seconds for one presence check of a target whose connection broke. A healthy target
# answers in about 6 ms, and the port of a crashed target refuses immediately. A target
# that is cut off from the network never answers.
PRESENCE_TIMEOUT_S = 0.5
# Number of target starts whose crash is remembered, because further connections to a
# crashed target break some time after the first one. This is several times the number
# of targets of a large installation.
MAX_KNOWN_CRASHES = 1024
# Number of other targets of the service that are checked as well if a target seems to
# have crashed.
OTHERS_CHECKED = 2

log = logging.getLogger(__name__)


# Results of a presence check that mean that the target crashed. A target that serves
# has only dropped the request. SILENT counts as a crash, because a network partition
# leaves a connection hanging, whereas a connection that breaks was closed by the other
# machine.
_CRASHED = frozenset([Presence.REFUSING, Presence.REPLACED, Presence.SILENT])


@attrs.frozen
class InterruptedRequest:
    """A request that was in flight when its target crashed.

    Attributes
    ----------
    identity : RequestIdentity
        Identity of the request.
    request_id : str or None
        ID that the caller assigned to the request.
    service : str
        Service of the target.
    target : str
        Identity of the target's start.
    started, ended : float
        Monotonic times in seconds at which the request was sent and at which the
        connection broke.
    """

    identity: RequestIdentity
    request_id: str | None
    service: str
    target: str
    started: float
    ended: float


@attrs.define(eq=False)
class _PresenceCheck:
    """A running presence check and the requests that depend on its result."""

    others: Sequence[Target] = ()
    requests: list[InterruptedRequest] = attrs.field(factory=list)
    done: Event = attrs.field(factory=Event)


@attrs.define
class CrashDetector:
    """Distinguishes crashes of targets from other causes of broken connections.

    A target that drops a request or sends a broken answer continues to serve. A target
    that is leaving terminates whatever request it runs. If either counted as a crash,
    harmless requests would become suspects. If this daemon has lost its paths to the
    targets, its connections to other ones fail too, and that says nothing of any.

    Parameters
    ----------
    upstreams : Upstreams
        Checks whether targets are present.
    metrics : Metrics
        Counts crashes.

    Attributes
    ----------
    on_crash : callable
        Called with each request that was in flight at a crash.
    """

    upstreams: Upstreams
    metrics: Metrics
    on_crash: Callable[[InterruptedRequest], None] = lambda interrupted: None
    _presence_checks: dict[str, _PresenceCheck] = attrs.field(factory=dict)
    _crashed_at: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def note_broken_connection(
        self,
        attempt: Attempt,
        identity: RequestIdentity,
        request_id: str | None,
        service: str,
        others: Sequence[Target] = (),
    ) -> Event | None:
        """Record that the target broke the connection on which a request ran.

        Parameters
        ----------
        attempt : Attempt
            Attempt that ran on the connection.
        identity : RequestIdentity
            Identity of the request.
        request_id : str or None
            ID that the caller assigned to the request.
        service : str
            Service of the target.
        others : sequence of Target, optional
            Targets of the service.

        Returns
        -------
        Event or None
            Set when the presence check is done; None if no check is needed.
        """
        now = time.monotonic()
        target = attempt.target
        if target.is_draining(now):
            return None
        interrupted = InterruptedRequest(
            identity, request_id, service, target.identity, attempt.started, now
        )
        if now - self._crashed_at.get(target.identity, -math.inf) < SAME_CRASH_S:
            self._report([interrupted], "known")
            return None
        check = self._presence_checks.get(target.identity)
        if check is None:
            check = self._presence_checks[target.identity] = _PresenceCheck(others)
            gevent.spawn(self._check_presence, target.record, check)
        check.requests.append(interrupted)
        return check.done

    def wait_for_presence_check(self, identity: RequestIdentity) -> None:
        """Wait for the running presence check of a request's last target.

        Without this wait, a caller that retries before the check is done would be
        admitted as if no target had crashed.

        Parameters
        ----------
        identity : RequestIdentity
            Identity of the request.
        """
        for check in list(self._presence_checks.values()):
            if any(
                interrupted.identity.is_same(identity) for interrupted in check.requests
            ):
                check.done.wait()

    def _check_presence(self, record, check):
        try:
            presence = self.upstreams.check_presence(record, PRESENCE_TIMEOUT_S)
            if presence in _CRASHED and self._are_paths_lost(record, check.others):
                log.info(
                    "connections to several targets fail",
                    extra={"service": record.service, "target": record.name},
                )
            elif presence in _CRASHED:
                self._remember(record.identity)
                self.metrics.target_crashes[record.service] += 1
                self._report(check.requests, str(presence))
        finally:
            del self._presence_checks[record.identity]
            check.done.set()

    def _are_paths_lost(self, record, others):
        """Return whether other targets are not reached over new connections either."""
        candidates = [
            each
            for each in others
            if each.identity != record.identity
            and each.identity not in self._crashed_at
        ]
        chosen = random.sample(candidates, min(OTHERS_CHECKED, len(candidates)))
        checks = [
            gevent.spawn(self.upstreams.check_presence, each, PRESENCE_TIMEOUT_S)
            for each in chosen
        ]
        found = [check.get() for check in checks]
        return bool(found) and all(each in _CRASHED for each in found)

    def _remember(self, identity):
        self._crashed_at[identity] = time.monotonic()
        self._crashed_at.move_to_end(identity)
        if len(self._crashed_at) > MAX_KNOWN_CRASHES:
            self._crashed_at.popitem(last=False)

    def _report(self, requests, seen):
        for interrupted in requests:
            self.on_crash(interrupted)
        if self._log_limit.allows():
            log.warning(
                "target ended under requests",
                extra={
                    "service": requests[0].service,
                    "target": requests[0].target,
                    "seen": seen,
                    "in_hand": [_describe(interrupted) for interrupted in requests],
                    "left_out": self._log_limit.take_suppressed(),
                },
            )


def _describe(interrupted):
    """Return a request's digest, caller, ID and running time as text for the log."""
    ran_ms = round((interrupted.ended - interrupted.started) * 1000)
    identity = interrupted.identity
    request = f"{identity.content} of {identity.caller_tag}"
    return f"{request} {interrupted.request_id or '-'} {ran_ms} ms"
