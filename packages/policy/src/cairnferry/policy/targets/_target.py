"""State and estimates that one daemon keeps for one target."""

import enum
import math
from collections import deque

import attrs

from cairnferry.policy.targets._report import LoadReport
from cairnferry.records import Lifecycle, Target

UNKNOWN_LATENCY_S = 0.0
# A target counts as slow if its response time exceeds the usual one by this factor.
SLOW_TARGET_FACTOR = 2.0
# Weight of a new response time that is slower than the estimate by this factor, 0 to 1.
SLOW_GAIN = 0.7
# Seconds for which a target gets no status checks after it missed one, and how often
# that is doubled. Each request that checks such a target waits 30 ms in vain.
CHECK_SUSPENSION_S = 0.3
MAX_SUSPENSION_DOUBLINGS = 3


class DrainSource(enum.StrEnum):
    """Source of the report that a target is leaving; any one is sufficient."""

    RECORD = "record"
    HEALTH = "health"
    REFUSAL = "refusal"
    PLATFORM = "platform"
    ANSWER = "answer"


@attrs.frozen
class ReportWeighting:
    """Weight of a target's load report in the estimate of its load.

    Attributes
    ----------
    weight : float
        Weight of a new report against the mean load, 0 to 1.
    decay : float
        Age of a report in seconds at which its weight has fallen to 1/e.
    """

    weight: float
    decay: float


@attrs.define(eq=False)
class TargetState:
    """State and estimates of one target; times are in seconds.

    Attributes
    ----------
    record : Target
        Record of the target.
    identity : str
        Identity of one run of the target's process.
    in_flight : int
        Requests of this daemon that have no result yet.
    starts : deque of float
        Times at which the requests in flight were sent.
    latency : float
        Weighted mean of response times in seconds; 0 if unknown.
    latency_at : float
        Time of the last response.
    others_load : float
        Share of the slots that other daemons used at the last report.
    reported_at : float
        Time of the last report; minus infinity if none is valid.
    paused_until : float
        Time until which the target gets no requests, as it refused some.
    failures : int
        Consecutive failures.
    ejections : int
        Recent ejections and failed trials, which lengthen the next ejection.
    ready_since : float
        Time from which the target's share of requests grows.
    ejected_until : float
        Time of the next trial; 0 if the target is not ejected.
    trial_started : float
        Time of the last trial.
    draining_until : dict of DrainSource to float
        Time until which each source reports that the target is leaving.
    refusals : int
        Consecutive refusals.
    sent : int
        Requests sent to the target.
    last_sent : float
        Time at which the last request was sent to the target.
    slowdown : float
        Duration of work at the last report, as a multiple of the usual duration.
    reported_in_use : float
        Requests at the target at the last report.
    warm_at : float
        Time until which the target is slow after its start.
    unhealthy_until : float
        Time until which the last status check that reported bad health is valid.
    checked_at : float
        Time of the last status check, answered or not.
    missed_checks : int
        Consecutive status checks without a response in time.
    checks_suspended_until : float
        Time until which no status checks are made after a missed one.
    back_off_until : float
        Time until which the target requested a back-off.
    hanging_until : float
        Time until which the target counts as not answering all of its requests.
    """

    record: Target
    identity: str
    ready_since: float
    in_flight: int = 0
    starts: deque = attrs.field(factory=deque)
    latency: float = UNKNOWN_LATENCY_S
    latency_at: float = 0.0
    others_load: float = 0.0
    reported_at: float = -math.inf
    paused_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_started: float = -math.inf
    draining_until: dict[DrainSource, float] = attrs.field(factory=dict)
    refusals: int = 0
    sent: int = 0
    last_sent: float = -math.inf
    slowdown: float = 1.0
    reported_in_use: float = 0.0
    warm_at: float = -math.inf
    unhealthy_until: float = -math.inf
    checked_at: float = -math.inf
    missed_checks: int = 0
    checks_suspended_until: float = -math.inf
    back_off_until: float = -math.inf
    hanging_until: float = -math.inf

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record.name

    def is_draining(self, now: float) -> bool:
        """Return whether any source reports that the target is leaving."""
        if self.record.lifecycle is Lifecycle.DRAINING:
            return True
        draining = self.draining_until
        return bool(draining) and any(until > now for until in draining.values())

    def is_unavailable(self, now: float) -> bool:
        """Return whether a back-off or a drain forbids sending it requests."""
        return self.back_off_until > now or self.is_draining(now)

    def is_healthy(self, now: float) -> bool:
        """Return whether the last result was good and the target is not draining."""
        return not self.failures and not self.refusals and not self.is_draining(now)

    def load(
        self, now: float, weighting: ReportWeighting, mean_others_load: float
    ) -> float:
        """Return an estimate of the requests at the target, as a share of its slots.

        Parameters
        ----------
        now : float
            Time in seconds.
        weighting : ReportWeighting
            Weight of load reports.
        mean_others_load : float
            Mean share of a target's slots that other daemons use.

        Notes
        -----
        The requests of this daemon are known exactly. Those of other daemons are known
        from the last report; as the report ages, the estimate approaches the mean
        share. If it approached zero instead, the targets with the oldest reports would
        seem idle, and all daemons would send their requests there.
        """
        weight = weighting.weight * math.exp((self.reported_at - now) / weighting.decay)
        others = mean_others_load + (self.others_load - mean_others_load) * weight
        return self.in_flight / self.record.slots + others

    def slowness(self, now: float, usual: float, half_life: float) -> float:
        """Return an estimate of the response time, as a multiple of the usual one.

        Parameters
        ----------
        now : float
            Time in seconds.
        usual : float
            Response time of the service in seconds; 0 if unknown.
        half_life : float
            Half-life in seconds of the excess over the usual response time.

        Returns
        -------
        float
            1 unless the target exceeds `SLOW_TARGET_FACTOR`. Response times vary, and
            following smaller differences would unbalance the load.

        Notes
        -----
        The age of the oldest request in flight shows that a target has become slow
        before its response arrives. Until then the target would get many more requests.
        """
        if not usual:
            return 1.0
        ratio = self.latency / usual
        if ratio > SLOW_TARGET_FACTOR:
            # A slow target gets few requests, so its estimate would never change. It
            # decays towards the usual value, so that the target is tried again.
            ratio = 1 + (ratio - 1) * 0.5 ** ((now - self.latency_at) / half_life)
        if self.starts:
            ratio = max(ratio, (now - self.starts[0]) / usual)
        return ratio if ratio > SLOW_TARGET_FACTOR else 1.0

    def note_sent(self, now: float) -> None:
        """Record that a request is sent."""
        self.in_flight += 1
        self.sent += 1
        self.last_sent = now
        self.starts.append(now)

    def note_finished(self, started: float) -> None:
        """Record that a request finished, given the time at which it was sent."""
        self.in_flight -= 1
        self.starts.remove(started)

    def note_latency(self, sample: float, gain: float, now: float) -> None:
        """Update the latency with a response time in seconds."""
        if self.latency == UNKNOWN_LATENCY_S:
            self.latency = sample
        elif sample > SLOW_TARGET_FACTOR * self.latency:
            # The large gain diverts the next requests to other targets soon.
            self.latency += SLOW_GAIN * (sample - self.latency)
        else:
            self.latency += gain * (sample - self.latency)
        self.latency_at = now

    def note_report(self, report: LoadReport, now: float) -> None:
        """Record a report that came with a response.

        The request of that response is no longer counted, neither in `in_flight` nor in
        the report.
        """
        others = max(0.0, report.in_use - self.in_flight)
        self.others_load = others / self.record.slots
        self.reported_at = now
        self.reported_in_use = report.in_use
        self.slowdown = report.slowdown
        self.missed_checks = 0
        self.checks_suspended_until = -math.inf

    def note_missed_check(self, now: float) -> None:
        """Record that the target did not respond to a status check in time."""
        self.checked_at = now
        self.reported_at = -math.inf
        pause = CHECK_SUSPENSION_S * 2 ** min(
            self.missed_checks, MAX_SUSPENSION_DOUBLINGS
        )
        self.missed_checks += 1
        self.checks_suspended_until = now + pause

    def expected_in_use(self) -> float:
        """Return the number of requests at the last report plus those sent since."""
        since = 0
        for started in reversed(self.starts):
            if started < self.reported_at:
                break
            since += 1
        return self.reported_in_use + since
