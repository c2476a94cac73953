"""Record the limits that targets advertise, and broadcast them to other daemons."""

import logging
import time
from collections.abc import Callable, Iterable

import attrs
from gevent.event import Event

from cairnferry.coordination import Note
from cairnferry.entry.targets._cold_targets import ColdTargets
from cairnferry.entry.targets._conventions import TargetConvention
from cairnferry.entry.targets._limit_header import LimitFault
from cairnferry.entry.targets._limit_notes import (
    limit_note,
    read_cold_note,
    read_limit_note,
)
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, Attempt, TargetLimits
from cairnferry.records import Target
from cairnferry.wire import Outcome

log = logging.getLogger(__name__)


@attrs.define
class Limiter:
    """Records limits that targets advertise to this daemon and to other daemons.

    Parameters
    ----------
    limits : TargetLimits
        Limits and permits that the policies use.
    metrics : Metrics
        Counts limits that were advertised, changed and lifted, and malformed ones.
    broadcast : callable
        Sends a note to all daemons. The second argument says whether the note was sent
        before and is to be sent again.

    Attributes
    ----------
    is_needed : Event
        Set while any target has a limit.
    cold : ColdTargets
        Records which targets are cold.
    """

    limits: TargetLimits
    metrics: Metrics
    broadcast: Callable[[Note, bool], None] = lambda note, again: None
    is_needed: Event = attrs.field(factory=Event)
    cold: ColdTargets = attrs.field(init=False)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def __attrs_post_init__(self):
        self.cold = ColdTargets(
            self.limits, self.metrics, self.is_needed, self.broadcast
        )

    # -- answers of targets --------------------------------------------------------

    def note_outcome(
        self, attempt: Attempt, outcome: Outcome, convention: TargetConvention
    ) -> None:
        """Record the limit in the answer to a request.

        Parameters
        ----------
        attempt : Attempt
            Attempt that finished.
        outcome : Outcome
            Outcome of its exchange.
        convention : TargetConvention
            Header conventions of targets.
        """
        identity = attempt.target.identity
        limit = convention.limit_of(outcome)
        if limit is None and self.limits.advertised.rate(identity) is not None:
            limit = NO_LIMIT if convention.denies_limit(outcome) else None
        if limit is not None:
            self._note(identity, limit, attempt.started)

    def note_check(
        self, identity: str, limit: float | LimitFault | None, sent: float
    ) -> None:
        """Record the limit in the answer to a status check.

        Parameters
        ----------
        identity : str
            Identity of the target's start.
        limit : float, LimitFault or None
            Parsed limit header, in requests per second.
        sent : float
            Monotonic time in seconds at which the check began.
        """
        if limit is not None:
            self._note(identity, limit, sent)

    def _note(self, identity, limit, sent):
        match limit:
            case LimitFault(text):
                self.metrics.limits["faulty"] += 1
                self._log("malformed limit header", identity, text=text)
            case per_s:
                self._apply(identity, per_s, sent)

    def _apply(self, identity, per_s, sent):
        advertised = self.limits.advertised
        now = time.monotonic()
        before = advertised.get(identity).per_s
        if advertised.note_answer(identity, per_s, sent, now):
            self._apply_change(identity, before, by="answer")
            self.broadcast(limit_note(identity, advertised.get(identity), now), False)

    # -- reports of other daemons ----------------------------------------------------

    def receive(self, subject: str, source: str, until: float) -> None:
        """Apply a note of another daemon or of this daemon.

        Parameters
        ----------
        subject : str
            Identity of the target's start.
        source : str
            Source field of the note, which contains the limit.
        until : float
            Monotonic time in seconds at which the note expires.
        """
        cold = read_cold_note(source, until, time.monotonic())
        if cold is not None:
            self.cold.merge(subject, cold, by="others")
            return
        reported = read_limit_note(source, until)
        if reported is None:
            log.info("ignored limit note in unknown format", extra={"source": source})
            return
        self.merge(subject, reported, by="others")

    def merge(self, identity: str, reported: AdvertisedLimit, by: str) -> None:
        """Merge a limit that another daemon reports.

        Parameters
        ----------
        identity : str
            Identity of the target's start.
        reported : AdvertisedLimit
            Limit that the other daemon holds.
        by : str
            Origin of the report, for the log.
        """
        before = self.limits.advertised.get(identity).per_s
        if self.limits.advertised.receive(identity, reported):
            self._apply_change(identity, before, by)

    def announce_again(self, identity: str) -> None:
        """Broadcast a limit again for daemons that joined or were cut off since."""
        limit = self.limits.advertised.get(identity)
        self.broadcast(limit_note(identity, limit, time.monotonic()), True)

    # -- effects ---------------------------------------------------------------------

    def _apply_change(self, identity, before, by):
        per_s = self.limits.advertised.get(identity).per_s
        if per_s < before or per_s == NO_LIMIT:
            # Permits issued under a higher limit are too many under this one.
            self.limits.discard_permits(identity)
        event = _event(before, per_s)
        self.metrics.limits[event] += 1
        rates = {"per_s": _loggable(per_s), "before": _loggable(before)}
        self._log(f"limit {event}", identity, **rates, by=by)
        if self.limits:
            self.is_needed.set()
        else:
            self.is_needed.clear()

    def forget_unlisted(self, targets: Iterable[Target]) -> None:
        """Drop the limits of targets that are gone.

        Parameters
        ----------
        targets : iterable of Target
            Targets that are still listed.
        """
        if self.limits.advertised.is_empty:
            return
        listed = {target.identity for target in targets}
        sent = self.limits.sent
        self.limits.sent = {t: count for t, count in sent.items() if t in listed}
        for identity in self.limits.advertised.forget_unlisted(
            listed, time.monotonic()
        ):
            self.limits.discard_permits(identity)
            self.metrics.limits["forgotten"] += 1
            self._log("limit forgotten", identity)
        if not self.limits:
            self.is_needed.clear()

    def _log(self, message, target, **facts):
        if self._log_limit.allows():
            left_out = self._log_limit.take_suppressed()
            log.info(message, extra={"target": target, **facts, "left_out": left_out})

    def snapshot(self) -> dict:
        """Return the current limits and request counts under them, as plain values."""
        return {
            identity: {
                "per_s": limit.per_s,
                "sent": self.limits.sent.get(identity, 0),
            }
            for identity, limit in self.limits.advertised.in_force().items()
        }


def _event(before, per_s):
    if per_s == NO_LIMIT:
        return "lifted"
    return "named" if before == NO_LIMIT else "changed"


def _loggable(per_s):
    """Return a limit as it appears in log lines; None if there is none."""
    return None if per_s == NO_LIMIT else per_s
