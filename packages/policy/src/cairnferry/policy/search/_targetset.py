"""The targets of a service, and what one daemon has learnt of them."""

import math
import random
from collections.abc import Container

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import Chooser, Seeker, StatusCheckSettings
from cairnferry.policy.requests import (
    Attempt,
    AttemptResult,
    Call,
    Cause,
    CheckStatus,
)
from cairnferry.policy.search._learning import Learning
from cairnferry.policy.search._word_keeper import WordKeeper
from cairnferry.policy.shared import AdvisoryRegistry, PermitRequest, TargetLimits
from cairnferry.policy.targets import (
    DrainSource,
    Ejector,
    EventLog,
    LatencyEstimate,
    LoadReport,
    ReportTrust,
    TargetAdvisory,
    TargetCondition,
    TargetState,
)
from cairnferry.policy.usable import CandidateLists, LimitedTargets, UsableTargets
from cairnferry.records import Priority, Target

PROBE_RETURN_S = 5.0
# Seconds for which the word of a check holds; the next check comes sooner.
UNWELL_S = 0.5


class TargetSet:
    """Learns from results and chooses targets.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    settings : PolicySettings
        Constants.
    limits : TargetLimits
        Limits that targets name, and the permits to send to these.
    holds : AdvisoryRegistry
        What targets have asked of this daemon.

    Attributes
    ----------
    events : EventLog
        Changes in what is believed.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        settings: PolicySettings,
        limits: TargetLimits,
        advisories: AdvisoryRegistry,
    ):
        self.settings = settings
        self.limits = limits
        self.events = EventLog()
        self._words = WordKeeper(advisories, self.events)
        self._states: dict[str, TargetState] = {}
        # From then on each target may be asked.
        self._muted_until = -math.inf
        self._usable = UsableTargets(zone, rng.random())
        self._limited = LimitedTargets(limits, zone)
        self._chooser = Chooser(
            settings.strategy,
            rng,
            ReportTrust(settings.report_weight, settings.report_decay_s),
            settings.latency_memory_s,
            settings.ramp_s,
        )
        self.seeker = Seeker(settings.seek or StatusCheckSettings(), rng)
        self._ejector = Ejector(
            settings.eject_failures,
            settings.eject_base_s,
            settings.eject_max_s,
            settings.eject_share,
            settings.trial_timeout_s,
        )

        self._learning = Learning(
            settings, self._chooser, self._ejector, self.events, self._usable.invalidate
        )

    @property
    def latency(self) -> LatencyEstimate:
        """Answer times of the service."""
        return self._learning.latency

    @property
    def reported_load(self) -> float:
        """Mean load that targets report, as a share of their slots."""
        return self._learning.reported_load

    def __len__(self):
        return len(self._states)

    def __iter__(self):
        return iter(self._states.values())

    def update(self, targets: list[Target], now: float) -> None:
        """Take in the records in force; what was learnt is kept."""
        known = self._states
        # A target that joins others gets its share slowly; a whole new service
        # starts at once.
        start = now if known else -math.inf
        self._states = {}
        for target in targets:
            state = known.get(target.identity)
            if state is None or state.record.address != target.address:
                state = TargetState(target, target.identity, ready_since=start)
                state.warm_at = now + target.warmup_s
                self._words.recall(state)
            elif target.warmup_s not in (0, state.record.warmup_s):
                # Cold once more under its name, or further on its way.
                state.warm_at = now + target.warmup_s
            state.record = target
            self._states[target.identity] = state
        self._usable.invalidate()

    def evacuate(self, zones: frozenset[str]) -> None:
        """Leave out the targets of these availability zones, and of no others."""
        self._usable.evacuated = zones
        self._usable.invalidate()

    def begin_at(self, place: float) -> None:
        """Take in where on the ring of targets this daemon begins, 0 to 1."""
        if place != self._usable.ring_position:
            self._usable.ring_position = place
            self._usable.invalidate()

    # -- choosing ----------------------------------------------------------------

    def choose(self, call: Call, now: float) -> TargetState | None:
        """Choose a target; None if each that may be used is full."""
        usable = self._open_to(call, now)
        max_load = self.settings.full_load
        if call.priority is Priority.BACKGROUND:
            max_load = self.settings.background_load
        usual = self.latency.usual
        if self.limits:
            # Its load is low by its limit, and the choice by load draws only some.
            permitted = self._limited.limited(usable.near)
            found = self._chooser.choose(permitted, [], now, usual, max_load)
            if found is not None:
                return found
            if not usable.near:
                self._limited.note_search_result(None, now)
        return self._chooser.choose(usable.near, usable.far, now, usual, max_load)

    def seek(
        self, call: Call, work: float, urgent: bool, now: float
    ) -> TargetState | CheckStatus | None:
        """Choose a target by what some say of themselves, or say which to ask.

        Parameters
        ----------
        call : Call
            The request; its search is moved on.
        work : float
            Seconds that such a request takes at an idle target; 0 if unknown.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.
        """
        usable = self._candidates(call, now, urgent)
        found = self.seeker.seek(call, usable.near, usable.far, work, now)
        if self.limits:
            self._limited.note_search_result(found, now)
        return found

    def best_known(self, call: Call, now: float) -> TargetState | None:
        """Choose a target without asking any."""
        usable = self._candidates(call, now)
        return self.seeker.best_known(usable.near, usable.far, now)

    def _candidates(self, call, now, urgent=True):
        """List the targets that may be used, those not heard of only if need be."""
        usable = self._open_to(call, now, urgent)
        if now >= self._muted_until:
            return usable
        heard_near = [
            target for target in usable.near if target.checks_suspended_until <= now
        ]
        heard_far = [
            target for target in usable.far if target.checks_suspended_until <= now
        ]
        if heard_near or heard_far:
            return CandidateLists(heard_near, heard_far)
        return usable

    def _open_to(self, call, now, urgent=True):
        """List the usable targets to which a request may go now."""
        left = self._left_for(call, now)
        return self._limited.filter_by_limit(left, urgent, now) if self.limits else left

    def _left_for(self, call, now):
        """List the usable targets that a request has not tried."""
        near, far = self._usable.lists(self._states, now)
        if call.attempts:
            near = [target for target in near if not call.tried(target)]
            far = [target for target in far if not call.tried(target)]
        return CandidateLists(near, far)

    def next_permit(self, call: Call, urgent: bool, now: float) -> float | None:
        """Give the time from which a request may go to a limited target.

        As `LimitedTargets.next_permit`.
        """
        return self._limited.next_permit(self._left_for(call, now), urgent, now)

    def permits_to_request(
        self, expected: int, barred: Container[str], now: float
    ) -> list[PermitRequest]:
        """Give the permits that are worth asking for.

        As `LimitedTargets.permits_to_request`.
        """
        usable = CandidateLists(*self._usable.lists(self._states, now))
        ejected = self._usable.ejected
        return self._limited.permits_to_request(usable, ejected, expected, barred, now)

    def choose_for_trial(self, call: Call, now: float) -> TargetState | None:
        """Choose an ejected target for which it is time to be tested."""
        if not self._usable.ejected or not call.idempotent or call.attempts:
            return None
        for target in self._usable.trial_candidates(self._states, now):
            if not self.limits.admits(target.identity, now):
                continue
            if self._ejector.is_trial_due(target, now):
                target.trial_started = now
                return target
        return None

    def none_left_for(self, call: Call, start_by: float) -> bool:
        """Tell whether no target is left that could take a request up to a time."""
        left = (each for each in self if not self._usable.is_out_until(each, start_by))
        return all(call.tried(target) for target in left)

    def back_at(self, now: float) -> float | None:
        """Give the time at which the first rest ends; None if a target is in use."""
        if any(self._usable.lists(self._states, now)):
            return None
        rests = (each.back_off_until for each in self if each.back_off_until > now)
        return min(rests, default=None)

    @property
    def are_evacuated(self) -> bool:
        """Whether there are targets, and the zones of all of them are evacuated."""
        zones = self._usable.evacuated
        return bool(zones and self) and all(t.record.zone in zones for t in self)

    @property
    def cause_of_none(self) -> Cause:
        """Why a request is given up for which no target is left."""
        return Cause.EVACUATED if self.are_evacuated else Cause.NO_TARGET

    def most_are_sound(self, now: float) -> bool:
        """Tell whether more than half of the targets did well last time."""
        sound = sum(target.is_healthy(now) for target in self)
        return 2 * sound > len(self)

    # -- learning ----------------------------------------------------------------

    def learn(self, attempt: Attempt, result: AttemptResult, now: float) -> None:
        """Take in the result of an attempt."""
        self._learning.learn(attempt, result, self, now)

    def learn_cut(self, attempt: Attempt, now: float) -> None:
        """Take in that an attempt was cut off here before it had an answer."""
        self._learning.learn_cut(attempt, self, now)

    def note_draining(self, identity: str, source: DrainSource, until: float) -> None:
        """Take in that a source calls a target leaving, up to a time."""
        target = self._states.get(identity)
        if target is not None and target.draining_until.get(source, 0) != until:
            target.draining_until[source] = until
            self._usable.invalidate()

    def note_advisory(
        self, identity: str, words: TargetAdvisory, now: float, heard_by: str | None
    ) -> None:
        """Take in what a target says of itself; as `ServiceState.note_advisory`."""
        target = self._states.get(identity)
        name = identity if target is None else target.name
        self._words.keep(identity, name, words, now, heard_by)
        if target is not None:
            self._words.recall(target)
            self._usable.invalidate()

    def note_check(
        self, identity: str, report: LoadReport | None, well: bool, now: float
    ) -> None:
        """Take in what a target said when it was asked; no report is no answer."""
        target = self._states.get(identity)
        if target is None:
            return
        target.checked_at = now
        if report is None:
            # It would look idle by what it said last.
            self._note_silence(target, now)
            return
        if target.missed_checks:
            self.events.note(
                target.name,
                TargetCondition.RESPONSIVE,
                after_checks=target.missed_checks,
            )
        self._learning.learn_report(target, report, now)
        if not well:
            target.unhealthy_until = now + UNWELL_S

    def note_warmup(self, identity: str, warm_at: float) -> None:
        """Take in the time in seconds to which a target is slow, as it is cold."""
        target = self._states.get(identity)
        if target is not None:
            target.warm_at = warm_at

    def note_missed_check(self, identity: str, now: float) -> None:
        """Take in that a target has not answered a check in time."""
        target = self._states.get(identity)
        if target is not None:
            self._note_silence(target, now)

    def _note_silence(self, target, now):
        target.note_missed_check(now)
        self._muted_until = max(self._muted_until, target.checks_suspended_until)
        if target.missed_checks == 1:
            self.events.note(
                target.name,
                TargetCondition.SILENT,
                in_flight=target.in_flight,
                checks=1,
            )

    def note_probe(self, identity: str, healthy: bool, now: float) -> None:
        """Take in the result of a probe.

        A target that is out of use comes back by a trial request. Where none of
        the requests may be sent twice, no trial is made, and a probe has to do.
        """
        target = self._states.get(identity)
        if target is None or not target.ejected_until or not healthy:
            return
        if now >= target.ejected_until + PROBE_RETURN_S:
            self._ejector.note_success(target, now)
            self._usable.invalidate()
            self.events.note(target.name, TargetCondition.RETURNED, by="probe")

    def snapshot(self, now: float) -> list[dict]:
        """Give the state for a dump, as plain values."""
        return [self._snapshot_of(target, now) for target in self]

    def _snapshot_of(self, target, now):
        load = target.load(now, self._chooser.trust, self._chooser.mean_others_load)
        return {
            "name": target.name,
            "zone": target.record.zone,
            "in_flight": target.in_flight,
            "load": round(load, 3),
            "latency_ms": round(target.latency * 1000, 3),
            "draining": target.is_draining(now),
            "ejected": bool(target.ejected_until),
            "out_of_use": self._usable.out_of_use_reason(target, now),
            "failures": target.failures,
            "sent": target.sent,
        }
