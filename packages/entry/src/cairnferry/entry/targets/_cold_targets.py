"""Record which targets are cold, and broadcast it to the other daemons."""

import logging
import time
from collections.abc import Callable

import attrs
from gevent.event import Event

from cairnferry.coordination import Note
from cairnferry.entry.targets._limit_notes import cold_note
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import ColdPeriod, TargetLimits
from cairnferry.records import Service, Target

log = logging.getLogger(__name__)


@attrs.define
class ColdTargets:
    """Records reports of cold targets for the policies.

    A target is cold while it warms up after its start. During that time it gets
    requests at a limited rate only.

    Parameters
    ----------
    limits : TargetLimits
        Holds the cold targets and their rates.
    metrics : Metrics
        Counts targets that became cold.
    is_needed : Event
        Set while permits are needed.
    broadcast : callable
        Sends a note to all daemons. The second argument says whether the note was sent
        before and is to be sent again.
    """

    limits: TargetLimits
    metrics: Metrics
    is_needed: Event
    broadcast: Callable[[Note, bool], None]
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def note_check(
        self, target: Target, warmup_s: float | None, service: Service, sent: float
    ) -> None:
        """Record the warm-up time that an answer to a status check reports.

        Parameters
        ----------
        target : Target
            The target.
        warmup_s : float or None
            Seconds for which the target is still cold; None if not reported.
        service : Service
            Record of the target's service, which sets the rate.
        sent : float
            Monotonic time in seconds at which the check began.
        """
        if warmup_s is None or not service.warmup_per_s:
            return
        now = time.monotonic()
        # Counted from the arrival of the answer: the target is not warm before that.
        until = now + warmup_s if warmup_s else sent
        identity = target.identity
        if self.limits.cold.note_own_report(identity, until, service.warmup_per_s, now):
            self._note_cold(identity, by="check")
            cold = self.limits.cold.get(identity)
            self.broadcast(cold_note(identity, cold, now), False)

    def note_row(self, target: Target, service: Service, warm_at: float) -> None:
        """Record the warm-up time in a target's row.

        Parameters
        ----------
        target : Target
            The target.
        service : Service
            Record of the target's service, which sets the rate.
        warm_at : float
            Monotonic time in seconds at which the target is warm.
        """
        if not service.warmup_per_s:
            return
        per_s = service.warmup_per_s
        now = time.monotonic()
        if self.limits.cold.note_row(target.identity, warm_at, per_s, now):
            self._note_cold(target.identity, by="row")

    def merge(self, identity: str, reported: ColdPeriod, by: str) -> None:
        """Merge what another daemon reports.

        Parameters
        ----------
        identity : str
            Identity of the target's start.
        reported : ColdPeriod
            Warm-up that the other daemon reports.
        by : str
            Origin of the report, for the log.
        """
        now = time.monotonic()
        if self.limits.cold.receive(identity, reported.until, reported.per_s, now):
            self._note_cold(identity, by)

    def drop_warm(self) -> None:
        """Lift the limits of targets that have become warm."""
        self.limits.cold.drop_warm(time.monotonic())
        if not self.limits:
            self.is_needed.clear()

    def _note_cold(self, identity, by):
        cold = self.limits.cold.get(identity)
        self.metrics.limits["cold"] += 1
        self.is_needed.set()
        if self._log_limit.allows():
            log.info(
                "target cold",
                extra={
                    "target": identity,
                    "for_s": round(cold.until - time.monotonic(), 3),
                    "per_s": cold.per_s,
                    "by": by,
                    "left_out": self._log_limit.take_suppressed(),
                },
            )
