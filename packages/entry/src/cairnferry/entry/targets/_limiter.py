"""Taking in the limits that targets name, and telling them to the other daemons."""

import logging
import time
from collections.abc import Callable, Iterable

import attrs
from gevent.event import Event

from cairnferry.coordination import Note
from cairnferry.entry.targets._cold_targets import ColdTargets
from cairnferry.entry.targets._conventions import TargetConvention
from cairnferry.entry.targets._limit_header import LimitFault
from cairnferry.entry.targets._limit_notes import note_of, read_cold_note, read_note
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, Attempt, TargetLimits
from cairnferry.records import Target
from cairnferry.wire import Outcome

log = logging.getLogger(__name__)


@attrs.define
class Limiter:
    """Brings the limits that are named here and elsewhere to the decisions.

    Parameters
    ----------
    limits : TargetLimits
        What is known of limits.
    metrics : Metrics
        Counts limits that were named, changed and lifted, and faulty ones.
    tell : callable
        Spreads a note to all daemons; the second argument says whether it was told
        before and is to go round once more.

    Attributes
    ----------
    is_needed : Event
        Set while any target has a limit.
    cold : ColdTargets
        Takes in which targets are cold.
    """

    limits: TargetLimits
    metrics: Metrics
    tell: Callable[[Note, bool], None] = lambda note, again: None
    is_needed: Event = attrs.field(factory=Event)
    cold: ColdTargets = attrs.field(init=False)
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    def __attrs_post_init__(self):
        self.cold = ColdTargets(self.limits, self.metrics, self.is_needed, self.tell)

    # -- what targets say --------------------------------------------------------

    def note_outcome(
        self, attempt: Attempt, outcome: Outcome, convention: TargetConvention
    ) -> None:
        """Take in what the answer to a request says.

        Parameters
        ----------
        attempt : Attempt
            The attempt that ended.
        outcome : Outcome
            What came of it.
        convention : TargetConvention
            How targets speak.
        """
        identity = attempt.target.identity
        word = convention.limit_of(outcome)
        if word is None and self.limits.advertised.rate(identity) is not None:
            word = NO_LIMIT if convention.denies_limit(outcome) else None
        if word is not None:
            self._note(identity, word, attempt.started)

    def note_check(
        self, identity: str, word: float | LimitFault | None, sent: float
    ) -> None:
        """Take in what an answer to a status check says.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        word : float, LimitFault or None
            The limit as it was read.
        sent : float
            Monotonic time in seconds at which the check began.
        """
        if word is not None:
            self._note(identity, word, sent)

    def _note(self, identity, word, sent):
        match word:
            case LimitFault(text):
                self.metrics.limits["faulty"] += 1
                self._log("limit cannot be read", identity, text=text)
            case per_s:
                self._take(identity, per_s, sent)

    def _take(self, identity, per_s, sent):
        advertised = self.limits.advertised
        now = time.monotonic()
        before = advertised.get(identity).per_s
        if advertised.note_answer(identity, per_s, sent, now):
            self._change(identity, before, by="answer")
            self.tell(note_of(identity, advertised.get(identity), now), False)

    # -- what other daemons say ----------------------------------------------------

    def receive(self, subject: str, source: str, until: float) -> None:
        """Take in a note of another daemon, or one of this daemon's own."""
        cold = read_cold_note(source, until, time.monotonic())
        if cold is not None:
            self.cold.learn(subject, cold, by="others")
            return
        told = read_note(source, until)
        if told is None:
            log.info("limit of another release", extra={"source": source})
            return
        self.learn(subject, told, by="others")

    def learn(self, identity: str, told: AdvertisedLimit, by: str) -> None:
        """Take in what another daemon knows of a limit."""
        before = self.limits.advertised.get(identity).per_s
        if self.limits.advertised.receive(identity, told):
            self._change(identity, before, by)

    def remind(self, identity: str) -> None:
        """Tell all once more: some may have joined, or been cut off, since."""
        limit = self.limits.advertised.get(identity)
        self.tell(note_of(identity, limit, time.monotonic()), True)

    # -- what follows --------------------------------------------------------------

    def _change(self, identity, before, by):
        per_s = self.limits.advertised.get(identity).per_s
        if per_s < before or per_s == NO_LIMIT:
            # What may be used under a higher limit is too much under this one.
            self.limits.discard_permits(identity)
        event = _event(before, per_s)
        self.metrics.limits[event] += 1
        told = {"per_s": _told(per_s), "before": _told(before)}
        self._log(f"limit {event}", identity, **told, by=by)
        if self.limits:
            self.is_needed.set()
        else:
            self.is_needed.clear()

    def forget_unlisted(self, targets: Iterable[Target]) -> None:
        """Drop what is known of targets that are gone, by those that are listed."""
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
            left_out = self._log_limit.take_left_out()
            log.info(message, extra={"target": target, **facts, "left_out": left_out})

    def snapshot(self) -> dict:
        """Give the limits in force and what was sent under them, as plain values."""
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


def _told(per_s):
    """Give a limit as it can stand in a line; None if there is none."""
    return None if per_s == NO_LIMIT else per_s
