"""Taking in which targets are cold, and telling it to the other daemons."""

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
    """Brings what is heard of cold targets to the decisions.

    Parameters
    ----------
    limits : TargetLimits
        What is known of them.
    metrics : Metrics
        Counts targets that became cold.
    is_needed : Event
        To be set while permits are needed.
    tell : callable
        Spreads a note to all daemons; the second argument says whether it was told
        before and is to go round once more.
    """

    limits: TargetLimits
    metrics: Metrics
    is_needed: Event
    tell: Callable[[Note, bool], None]
    _log_cold: RateLimit = attrs.field(factory=RateLimit)

    def note_check(
        self, target: Target, warmup_s: float | None, service: Service, sent: float
    ) -> None:
        """Take in what the answer to a status check says.

        Parameters
        ----------
        target : Target
            The target.
        warmup_s : float or None
            Seconds for which it is still cold; None if it does not say.
        service : Service
            Record of its service, which names the rate.
        sent : float
            Monotonic time in seconds at which the check began.
        """
        if warmup_s is None or not service.warmup_per_s:
            return
        now = time.monotonic()
        # Counted from the answer: the target cannot be warm before that.
        until = now + warmup_s if warmup_s else sent
        identity = target.identity
        if self.limits.cold.note_own_report(identity, until, service.warmup_per_s, now):
            self._note_cold(identity, by="check")
            cold = self.limits.cold.get(identity)
            self.tell(cold_note(identity, cold, now), False)

    def note_row(self, target: Target, service: Service, warm_at: float) -> None:
        """Take in what a target's row says.

        Parameters
        ----------
        target : Target
            The target.
        service : Service
            Record of its service, which names the rate.
        warm_at : float
            Monotonic time in seconds to which it is cold.
        """
        if not service.warmup_per_s:
            return
        per_s = service.warmup_per_s
        now = time.monotonic()
        if self.limits.cold.note_row(target.identity, warm_at, per_s, now):
            self._note_cold(target.identity, by="row")

    def learn(self, identity: str, told: ColdPeriod, by: str) -> None:
        """Take in what another daemon knows."""
        now = time.monotonic()
        if self.limits.cold.receive(identity, told.until, told.per_s, now):
            self._note_cold(identity, by)

    def drop_warm(self) -> None:
        """Lift the limits of targets that are warm by now."""
        self.limits.cold.drop_warm(time.monotonic())
        if not self.limits:
            self.is_needed.clear()

    def _note_cold(self, identity, by):
        cold = self.limits.cold.get(identity)
        self.metrics.limits["cold"] += 1
        self.is_needed.set()
        if self._log_cold.allows():
            log.info(
                "target cold",
                extra={
                    "target": identity,
                    "for_s": round(cold.until - time.monotonic(), 3),
                    "per_s": cold.per_s,
                    "by": by,
                    "left_out": self._log_cold.take_left_out(),
                },
            )
