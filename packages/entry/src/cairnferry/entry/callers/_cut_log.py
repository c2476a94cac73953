"""Log lines of requests that the end of the daemon cuts."""

import logging
import time
from collections.abc import Callable

import attrs

from cairnferry.entry.callers._request_log import describe_call
from cairnferry.entry.http import PipelinedHandler, Progress
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import Call, ServicePolicy

MS_PER_S = 1000
# Lines of one stop. They are written at once and have some 600 bytes each, so that all
# find room in the queue of lines even if their reader stalls.
MAX_LINES = 300
# Why a request had no answer yet, by how far it was.
REASONS = {
    Progress.READING: "it had not arrived as a whole",
    Progress.WAITING: "no target had been chosen for it",
    Progress.AT_TARGET: "its target had not answered",
    Progress.AT_PEER: "the peer that was asked had not answered",
    Progress.ANSWERING: "its answer could not be written as a whole",
}
QUEUED = "an earlier request of its connection was not answered"

log = logging.getLogger(__name__)


@attrs.define
class Work:
    """What is known of a request from the time at which its service is known.

    Attributes
    ----------
    policy : ServicePolicy
        Policy of the service.
    call : Call
        State of the request.
    request_id : str or None
        ID that the caller assigned to the request.
    peers_asked : int
        Number of peers to which the request was passed on.
    """

    policy: ServicePolicy
    call: Call
    request_id: str | None
    peers_asked: int = 0

    def progress(self) -> Progress:
        """Return how far the request is, if its answer is not known."""
        if self.call.open_attempts:
            return Progress.AT_TARGET
        # What a peer said is noted as soon as it has answered.
        if self.peers_asked > len(self.call.detours):
            return Progress.AT_PEER
        return Progress.WAITING

    def describe_targets(self, now: float) -> list[str]:
        """Return the targets at work on the request, and for how long."""
        return [
            f"{each.target_name} for {(now - each.started) * MS_PER_S:.1f} ms"
            for each in self.call.attempts
            if not each.ended
        ]

    def release(self) -> None:
        """Forget the attempts of a finished request.

        They refer to it, so that its body would be kept until the next full garbage
        collection.
        """
        self.call.attempts.clear()


@attrs.define
class CutLog:
    """Counts and logs the requests that the end of the daemon cuts.

    Parameters
    ----------
    metrics : Metrics
        Counts the requests by how far they were.
    """

    metrics: Metrics
    _stop_began: float | None = attrs.field(default=None, init=False)
    _lines: int = attrs.field(default=0, init=False)
    _left_out: int = attrs.field(default=0, init=False)

    def note_stop(self) -> None:
        """Record the beginning of the stop; further calls have no effect."""
        if self._stop_began is None:
            self._stop_began = time.monotonic()

    def observe(self, app) -> Callable[[PipelinedHandler, Progress], None]:
        """Return a function that records a request of an application that is cut.

        Parameters
        ----------
        app : CallersApp
            Application that serves the requests.
        """
        return lambda handler, progress: self._note(app, handler, progress)

    def log_end(self, all_answered: bool) -> None:
        """Log the end of the daemon, and how many requests it cut.

        Parameters
        ----------
        all_answered : bool
            Whether no request was in progress as the listeners ended.
        """
        cut = dict(sorted(self.metrics.cut.items()))
        facts = {"every_request_answered": all_answered, "cut": cut}
        if self._left_out:
            facts["left_out"] = self._left_out
        log.log(logging.WARNING if cut else logging.INFO, "left", extra=facts)

    def _note(self, app, handler, progress):
        if progress is Progress.WAITING and handler.work is not None:
            progress = handler.work.progress()
        self.metrics.cut[str(progress)] += 1
        if self._lines >= MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        try:
            facts = self._describe(app, handler, progress)
        except Exception:
            # The daemon must end even if a request cannot be described.
            log.exception("request cut by a stop", extra={"stage": str(progress)})
            return
        log.warning("request cut by a stop", extra=facts)

    def _describe(self, app, handler, progress):
        now = time.monotonic()
        work = handler.work
        if work is None:
            facts = _describe_unknown(app, handler, now)
        else:
            facts = describe_call(work.policy, work.call, app.services)
            facts["request_id"] = work.request_id
            facts["at_work"] = work.describe_targets(now)
        since_stop_s = self._stop_began and round(now - self._stop_began, 3)
        is_queued = work is None or progress is Progress.ANSWERING
        why = QUEUED if is_queued and not handler.has_turn else REASONS[progress]
        return {
            **facts,
            "stage": str(progress),
            "since_stop_s": since_stop_s,
            "why": why,
        }


def _describe_unknown(app, handler, now):
    """Return the facts on a request whose service is not known yet."""
    path = handler.path or ""
    route = None
    if path.startswith("/"):
        route = app.services.route(path, handler.headers.get("host"))
    return {
        "request_id": app.request_id(handler),
        "service": " or ".join(route.service_names()) if route else None,
        "route": route.name if route else None,
        "route_prefix": str(route.identity) if route else None,
        "revision": app.services.revision,
        "at_work": [],
        "after_ms": round((now - handler.arrived) * MS_PER_S, 1),
    }
