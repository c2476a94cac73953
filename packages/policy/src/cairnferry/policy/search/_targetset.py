"""Targets of a service, with the state that one daemon keeps of them."""

import math
import random
from collections.abc import Container

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import Chooser, StatusCheckChooser, StatusCheckSettings
from cairnferry.policy.requests import (
    Attempt,
    AttemptResult,
    Call,
    Cause,
    CheckStatus,
)
from cairnferry.policy.search._advisory_keeper import AdvisoryKeeper
from cairnferry.policy.search._results import ResultRecorder
from cairnferry.policy.shared import AdvisoryRegistry, PermitRequest, TargetLimits
from cairnferry.policy.targets import (
    DrainSource,
    Ejector,
    EventLog,
    LatencyEstimate,
    LoadReport,
    ReportWeighting,
    TargetAdvisory,
    TargetCondition,
    TargetState,
)
from cairnferry.policy.usable import CandidateLists, LimitedTargets, UsableTargets
from cairnferry.records import Priority, Target

# Seconds after the end of an ejection from which a successful probe returns a target.
PROBE_RETURN_S = 5.0
# Seconds for which the health that a status check reports is valid. The next status
# check is made earlier than that.
UNHEALTHY_S = 0.5


class TargetSet:
    """Chooses targets, and keeps their state up to date.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    settings : PolicySettings
        Constants of the policy.
    limits : TargetLimits
        Rate limits of targets, and the permits to send to them.
    advisories : AdvisoryRegistry
        Back-offs and departures that targets announced.

    Attributes
    ----------
    events : EventLog
        State changes of targets.
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
        self._advisories = AdvisoryKeeper(advisories, self.events)
        self._states: dict[str, TargetState] = {}
        # Time in seconds from which no target is skipped as unresponsive.
        self._all_checkable_at = -math.inf
        self._usable = UsableTargets(zone, rng.random())
        self._limited = LimitedTargets(limits, zone)
        self._chooser = Chooser(
            settings.strategy,
            rng,
            ReportWeighting(settings.report_weight, settings.report_decay_s),
            settings.latency_half_life_s,
            settings.ramp_s,
        )
        self.check_chooser = StatusCheckChooser(
            settings.status_checks or StatusCheckSettings(), rng
        )
        self._ejector = Ejector(
            settings.eject_failures,
            settings.eject_base_s,
            settings.eject_max_s,
            settings.eject_share,
            settings.trial_timeout_s,
        )

        self._results = ResultRecorder(
            settings,
            self._chooser,
            self._ejector,
            self.events,
            self._usable.invalidate,
            self.check_chooser.queues,
        )

    @property
    def latency(self) -> LatencyEstimate:
        """Response times of the service."""
        return self._results.latency

    @property
    def reported_load(self) -> float:
        """Mean load that targets report, as a share of their slots."""
        return self._results.reported_load

    def __len__(self):
        return len(self._states)

    def __iter__(self):
        return iter(self._states.values())

    def update(self, targets: list[Target], now: float) -> None:
        """Apply the current records; the state of known targets is kept."""
        known = self._states
        # A target that joins others ramps up slowly; the targets of a new service
        # get their full share at once.
        start = now if known else -math.inf
        self._states = {}
        for target in targets:
            state = known.get(target.identity)
            if state is None or state.record.address != target.address:
                state = TargetState(target, target.identity, ready_since=start)
                state.warm_at = now + target.warmup_s
                self._advisories.restore(state)
            elif target.warmup_s not in (0, state.record.warmup_s):
                # The target is cold again under the same identity, or has warmed up
                # further.
                state.warm_at = now + target.warmup_s
            state.record = target
            self._states[target.identity] = state
        self._usable.invalidate()

    def evacuate(self, zones: frozenset[str]) -> None:
        """Set the evacuated availability zones; their targets are not used."""
        self._usable.evacuated = zones
        self._usable.invalidate()

    def set_ring_position(self, ring_position: float) -> None:
        """Set the position on the ring of targets where this daemon starts, 0 to 1."""
        if ring_position != self._usable.ring_position:
            self._usable.ring_position = ring_position
            self._usable.invalidate()

    # -- choosing ----------------------------------------------------------------

    def choose(self, call: Call, now: float) -> TargetState | None:
        """Choose a target by load; return None if all usable targets are full."""
        usable = self._admissible_for(call, now)
        max_load = self.settings.full_load
        if call.priority is Priority.BACKGROUND:
            max_load = self.settings.background_load
        usual = self.latency.usual
        if self.limits:
            # A limited target has a low load because of its limit, but the choice by
            # load compares only a sample and may miss it.
            permitted = self._limited.limited(usable.near)
            found = self._chooser.choose(permitted, [], now, usual, max_load)
            if found is not None:
                return found
            if not usable.near:
                self._limited.note_search_result(None, now)
        return self._chooser.choose(usable.near, usable.far, now, usual, max_load)

    def choose_by_checks(
        self, call: Call, work: float, urgent: bool, now: float
    ) -> TargetState | CheckStatus | None:
        """Choose a target by status checks, or return the targets to check first.

        Parameters
        ----------
        call : Call
            The request; its search state is updated.
        work : float
            Time in seconds of such a request at an idle target; 0 if unknown.
        urgent : bool
            Whether no other requests of the service are more urgent.
        now : float
            Time in seconds.

        Returns
        -------
        TargetState, CheckStatus or None
            None if no target can be used.
        """
        usable = self._candidates(call, now, urgent)
        found = self.check_chooser.choose(
            call, usable.near, usable.far, work, urgent, now
        )
        if self.limits:
            self._limited.note_search_result(found, now)
        return found

    def choose_without_checks(self, call: Call, now: float) -> TargetState | None:
        """Choose a target by earlier reports, without further status checks."""
        usable = self._candidates(call, now)
        return self.check_chooser.choose_without_checks(usable.near, usable.far, now)

    def has_candidates(self, call: Call, urgent: bool, now: float) -> bool:
        """Return whether any target could be used if it had room for the request."""
        usable = self._admissible_for(call, now, urgent)
        return bool(usable.near or usable.far)

    def _candidates(self, call, now, urgent=True):
        """List the usable targets; unresponsive ones only if there are no others."""
        usable = self._admissible_for(call, now, urgent)
        if now >= self._all_checkable_at:
            return usable
        responsive_near = [
            target for target in usable.near if target.checks_suspended_until <= now
        ]
        responsive_far = [
            target for target in usable.far if target.checks_suspended_until <= now
        ]
        if responsive_near or responsive_far:
            return CandidateLists(responsive_near, responsive_far)
        return usable

    def _admissible_for(self, call, now, urgent=True):
        """List the usable targets that may be sent a request now."""
        lists = self._untried_by(call, now)
        return (
            self._limited.filter_by_limit(lists, urgent, now) if self.limits else lists
        )

    def _untried_by(self, call, now):
        """List the usable targets that a request was not sent to."""
        near, far = self._usable.lists(self._states, now)
        if call.attempts:
            near = [target for target in near if not call.tried(target)]
            far = [target for target in far if not call.tried(target)]
        return CandidateLists(near, far)

    def next_permit(self, call: Call, urgent: bool, now: float) -> float | None:
        """Return the time from which a request may be sent to a limited target.

        See `LimitedTargets.next_permit`.
        """
        return self._limited.next_permit(self._untried_by(call, now), urgent, now)

    def permits_to_request(
        self, expected: int, excluded: Container[str], now: float
    ) -> list[PermitRequest]:
        """Return the permits that are worth requesting.

        See `LimitedTargets.permits_to_request`.
        """
        usable = CandidateLists(*self._usable.lists(self._states, now))
        ejected = self._usable.ejected
        return self._limited.permits_to_request(
            usable, ejected, expected, excluded, now
        )

    def choose_for_trial(self, call: Call, now: float) -> TargetState | None:
        """Choose an ejected target that is due for a trial request, or None."""
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
        """Return whether no untried target can be used for a request up to a time."""
        left = (each for each in self if not self._usable.is_out_until(each, start_by))
        return all(call.tried(target) for target in left)

    def back_off_end(self, now: float) -> float | None:
        """Return when the first back-off ends; None if any target is usable."""
        if any(self._usable.lists(self._states, now)):
            return None
        back_offs = (each.back_off_until for each in self if each.back_off_until > now)
        return min(back_offs, default=None)

    @property
    def are_evacuated(self) -> bool:
        """Whether there are targets and all of them are in evacuated zones."""
        zones = self._usable.evacuated
        return bool(zones and self) and all(t.record.zone in zones for t in self)

    @property
    def no_target_cause(self) -> Cause:
        """Cause for giving up a request for which no target is left."""
        return Cause.EVACUATED if self.are_evacuated else Cause.NO_TARGET

    def most_are_healthy(self, now: float) -> bool:
        """Return whether more than half of the targets are healthy."""
        healthy_count = sum(target.is_healthy(now) for target in self)
        return 2 * healthy_count > len(self)

    # -- observations ------------------------------------------------------------

    def record_result(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> None:
        """Record the result of an attempt."""
        self._results.record_result(attempt, result, self, now)

    def record_cancellation(self, attempt: Attempt, now: float) -> None:
        """Record that this daemon cancelled an attempt before its response arrived."""
        self._results.record_cancellation(attempt, self, now)

    def note_draining(self, identity: str, source: DrainSource, until: float) -> None:
        """Record that a source reports a target as draining, up to a time."""
        target = self._states.get(identity)
        if target is not None and target.draining_until.get(source, 0) != until:
            target.draining_until[source] = until
            self._usable.invalidate()

    def note_advisory(
        self,
        identity: str,
        advisory: TargetAdvisory,
        now: float,
        request_id: str | None,
    ) -> None:
        """Record an advisory; see `ServiceState.note_advisory`."""
        target = self._states.get(identity)
        name = identity if target is None else target.name
        self._advisories.record(identity, name, advisory, now, request_id)
        if target is not None:
            self._advisories.restore(target)
            self._usable.invalidate()

    def note_check(
        self, identity: str, report: LoadReport | None, healthy: bool, now: float
    ) -> None:
        """Record the response to a status check; see `ServiceState.note_check`."""
        target = self._states.get(identity)
        if target is None:
            return
        target.checked_at = now
        if report is None:
            # Judged by its last report, the target would seem idle.
            self._record_missed_check(target, now)
            return
        if target.missed_checks:
            self.events.note(
                target.name,
                TargetCondition.RESPONSIVE,
                after_checks=target.missed_checks,
            )
        self._results.record_report(target, report, now)
        if not healthy:
            target.unhealthy_until = now + UNHEALTHY_S

    def note_warmup(self, identity: str, warm_at: float) -> None:
        """Set the time in seconds up to which a cold target warms up and is slow."""
        target = self._states.get(identity)
        if target is not None:
            target.warm_at = warm_at

    def note_missed_check(self, identity: str, now: float) -> None:
        """Record that a target did not respond to a status check in time."""
        target = self._states.get(identity)
        if target is not None:
            self._record_missed_check(target, now)

    def resume_checks(self) -> None:
        """Let all targets be checked now, also those that missed checks."""
        for target in self:
            target.checks_suspended_until = -math.inf
        self._all_checkable_at = -math.inf

    def _record_missed_check(self, target, now):
        target.note_missed_check(now)
        self._all_checkable_at = max(
            self._all_checkable_at, target.checks_suspended_until
        )
        if target.missed_checks == 1:
            self.events.note(
                target.name,
                TargetCondition.SILENT,
                in_flight=target.in_flight,
                checks=1,
            )

    def note_probe(self, identity: str, healthy: bool, now: float) -> None:
        """Record the result of a health probe.

        An ejected target normally returns by a trial request. If none of the requests
        is idempotent, no trial is made, and a successful probe returns the target.
        """
        target = self._states.get(identity)
        if target is None or not target.ejected_until or not healthy:
            return
        if now >= target.ejected_until + PROBE_RETURN_S:
            self._ejector.note_success(target, now)
            self._usable.invalidate()
            self.events.note(target.name, TargetCondition.RETURNED, by="probe")

    def snapshot(self, now: float) -> list[dict]:
        """Return the state as plain values for a dump."""
        return [self._snapshot_of(target, now) for target in self]

    def _snapshot_of(self, target, now):
        load = target.load(now, self._chooser.weighting, self._chooser.mean_others_load)
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
