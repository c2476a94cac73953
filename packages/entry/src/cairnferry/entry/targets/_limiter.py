"""Taking in the limits that targets name."""

import logging
import time

import attrs

from cairnferry.entry.targets._limit_words import LimitFault
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import NO_LIMIT, Attempt, TargetLimits

log = logging.getLogger(__name__)


@attrs.define
class Limiter:
    """Brings the limits that answers name to the decisions.

    Parameters
    ----------
    limits : TargetLimits
        What is known of limits.
    metrics : Metrics
        Counts limits that were named, changed and lifted, and faulty ones.
    """

    limits: TargetLimits
    metrics: Metrics
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def note_answer(self, attempt: Attempt, word: float | LimitFault | None) -> None:
        """Take in what an answer to a request says."""
        target = attempt.target
        self._note(target.identity, target.name, word, attempt.started)

    def note_check(
        self, identity: str, name: str, word: float | LimitFault | None, sent: float
    ) -> None:
        """Take in what an answer to a status check says.

        Parameters
        ----------
        identity, name : str
            Names of the target's start and of its record.
        word : float, LimitFault or None
            The limit as it was read.
        sent : float
            Monotonic time in seconds at which the check began.
        """
        self._note(identity, name, word, sent)

    def _note(self, identity, name, word, sent):
        match word:
            case None:
                pass
            case LimitFault(text):
                self.metrics.limits["faulty"] += 1
                self._log("limit cannot be read", name, text=text)
            case per_s:
                self._take(identity, name, per_s, sent)

    def _take(self, identity, name, per_s, sent):
        book = self.limits.book
        before = book.get(identity).per_s
        if book.note_answer(identity, per_s, sent, time.monotonic()):
            self._note_change(identity, name, before, by="answer")

    def _note_change(self, identity, name, before, by):
        per_s = self.limits.book.get(identity).per_s
        event = _event(before, per_s)
        self.metrics.limits[event] += 1
        self._log(
            f"limit {event}", name, per_s=_told(per_s), before=_told(before), by=by
        )

    def _log(self, message, target, **facts):
        if self._log_limit.allows():
            left_out = self._log_limit.take_left_out()
            log.info(message, extra={"target": target, **facts, "left_out": left_out})

    def snapshot(self) -> dict:
        """Give the limits in force and what was sent under them, as plain values."""
        return {
            identity: {
                "per_s": limit.per_s,
                "sent": self.limits.sent.get(identity, 0),
            }
            for identity, limit in self.limits.book.in_force().items()
        }


def _event(before, per_s):
    if per_s == NO_LIMIT:
        return "lifted"
    return "named" if before == NO_LIMIT else "changed"


def _told(per_s):
    """Give a limit as it can stand in a line; None if there is none."""
    return None if per_s == NO_LIMIT else per_s
