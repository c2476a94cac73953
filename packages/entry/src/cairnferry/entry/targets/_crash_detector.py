"""Finding out whether a target ended under the requests that it ran."""

import logging
import math
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from cairnferry.entry.targets._upstreams import Presence, Upstreams
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import SAME_CRASH_S, Attempt, RequestIdentity

# Seconds for one look at a target whose connection broke. A sound one answers in some
# 6 ms and the port of one that ended refuses at once; one that is cut off never says
# anything.
LOOK_TIMEOUT_S = 0.5
# Starts of targets whose end is kept in mind: further connections to one that ended
# break some time after the first. Several times the targets of a large installation.
MAX_KNOWN = 1024

log = logging.getLogger(__name__)


# What a look shows of a target that ended. One that serves has dropped the request
# alone. A connection breaks by an act of the other side's machine, so that silence
# right after it is no cut of the network, which would have left the connection hanging.
_ENDED = frozenset([Presence.REFUSING, Presence.REPLACED, Presence.SILENT])


@attrs.frozen
class InterruptedRequest:
    """A request that a target had in hand when it ended.

    Attributes
    ----------
    identity : RequestIdentity
        The request.
    request_id : str or None
        The ID that its caller gave it.
    service : str
        Service of the target.
    target : str
        Name of the target's start.
    started, ended : float
        Monotonic times in seconds of the sending and of the break.
    """

    identity: RequestIdentity
    request_id: str | None
    service: str
    target: str
    started: float
    ended: float


@attrs.define(eq=False)
class _Look:
    """A look at a target, and the requests that wait for what it shows."""

    runs: list[InterruptedRequest] = attrs.field(factory=list)
    done: Event = attrs.field(factory=Event)


@attrs.define
class CrashDetector:
    """Tells ends of targets from all else that breaks a connection.

    A target that drops a request, or spoils an answer, goes on to serve; one that was
    leaving ends whatever it runs. Taken for ends under a request, both would cast
    suspicion on requests that are well.

    Parameters
    ----------
    upstreams : Upstreams
        Looks at targets.
    metrics : Metrics
        Counts ends.

    Attributes
    ----------
    on_end : callable
        Called with each request that was in hand at an end.
    """

    upstreams: Upstreams
    metrics: Metrics
    on_end: Callable[[InterruptedRequest], None] = lambda run: None
    _looks: dict[str, _Look] = attrs.field(factory=dict)
    _ended_at: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def note_break(
        self,
        attempt: Attempt,
        identity: RequestIdentity,
        request_id: str | None,
        service: str,
    ) -> Event | None:
        """Take in that the target broke the connection on which a request ran.

        Returns
        -------
        Event or None
            Set once it is known what that meant; None if it needs no look.
        """
        now = time.monotonic()
        target = attempt.target
        if target.is_draining(now):
            return None
        run = InterruptedRequest(
            identity, request_id, service, target.identity, attempt.started, now
        )
        if now - self._ended_at.get(target.identity, -math.inf) < SAME_CRASH_S:
            self._tell([run], "known")
            return None
        look = self._looks.get(target.identity)
        if look is None:
            look = self._looks[target.identity] = _Look()
            gevent.spawn(self._look_at, target.record, look)
        look.runs.append(run)
        return look.done

    def wait_for_look(self, identity: RequestIdentity) -> None:
        """Wait while it is not known yet what became of a request's last target.

        A caller that comes back sooner would be let pass as if no target had ended.
        """
        for look in list(self._looks.values()):
            if any(run.identity.is_same(identity) for run in look.runs):
                look.done.wait()

    def _look_at(self, record, look):
        try:
            presence = self.upstreams.look_at(record, LOOK_TIMEOUT_S)
            if presence in _ENDED:
                self._remember(record.identity)
                self.metrics.target_ends[record.service] += 1
                self._tell(look.runs, str(presence))
        finally:
            del self._looks[record.identity]
            look.done.set()

    def _remember(self, identity):
        self._ended_at[identity] = time.monotonic()
        self._ended_at.move_to_end(identity)
        if len(self._ended_at) > MAX_KNOWN:
            self._ended_at.popitem(last=False)

    def _tell(self, runs, seen):
        for run in runs:
            self.on_end(run)
        if self._log_limit.allows():
            log.warning(
                "target ended under requests",
                extra={
                    "service": runs[0].service,
                    "target": runs[0].target,
                    "seen": seen,
                    "in_hand": [_told(run) for run in runs],
                    "left_out": self._log_limit.take_left_out(),
                },
            )


def _told(run):
    """Tell a request in hand: what it is, whose, its ID, and how long it ran."""
    ran_ms = round((run.ended - run.started) * 1000)
    identity = run.identity
    who = f"{identity.content} of {identity.caller_tag}"
    return f"{who} {run.request_id or '-'} {ran_ms} ms"
