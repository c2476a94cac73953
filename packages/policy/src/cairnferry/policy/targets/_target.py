"""What one daemon knows of one target."""

import enum
import math
from collections import deque

import attrs

from cairnferry.policy.targets._report import LoadReport
from cairnferry.records import Lifecycle, Target

UNKNOWN_LATENCY_S = 0.0
# Answers this many times slower than usual are taken for a slow target.
SLOW_TARGET_FACTOR = 2.0
SLOW_GAIN = 0.7
# Seconds for which a target is not asked again after it gave no answer in time, and
# how often that is doubled. Each request that asks it waits 30 ms for nothing.
MUTE_S = 0.3
MAX_MUTE_DOUBLINGS = 3


class DrainSource(enum.StrEnum):
    """Who says that a target is leaving; any one suffices."""

    RECORD = "record"
    HEALTH = "health"
    REFUSAL = "refusal"
    PLATFORM = "platform"
    ANSWER = "answer"


@attrs.frozen
class ReportTrust:
    """How far a target's report of its load is believed.

    Attributes
    ----------
    weight : float
        Weight of a fresh report against what is usual, 0 to 1.
    decay : float
        Age in seconds at which that has fallen to 1/e.
    """

    weight: float
    decay: float


@attrs.define(eq=False)
class TargetState:
    """Estimates for one target.

    Attributes
    ----------
    record : Target
        Its record.
    identity : str
        Name of this start of it.
    in_flight : int
        Own requests without result.
    starts : deque of float
        Times at which the own requests in flight were sent.
    latency : float
        Weighted mean of answer times in seconds; 0 if unknown.
    ready_since : float
        Time from which its share grows.
    ejected_until : float
        Time of the next trial; 0 if it is in use.
    pace : float
        How long work took there at the last report, as a multiple of the usual.
    reported_in_use : float
        Requests there at the last report.
    warm_at : float
        Time to which it is slow after its start.
    unwell_until : float
        Time to which its last check that said so counts.
    checked_at : float
        Time of the last check, answered or not.
    unheard : int
        Checks in a row that were not answered in time.
    mute_until : float
        Time to which it is not asked, after such a check.
    resting_until : float
        Time to which it wants no requests, by its own word.
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
    slowdown: float = 1.0
    reported_in_use: float = 0.0
    warm_at: float = -math.inf
    unhealthy_until: float = -math.inf
    checked_at: float = -math.inf
    missed_checks: int = 0
    checks_suspended_until: float = -math.inf
    back_off_until: float = -math.inf

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record.name

    def is_draining(self, now: float) -> bool:
        """Tell whether any source says that it is leaving."""
        if self.record.lifecycle is Lifecycle.DRAINING:
            return True
        draining = self.draining_until
        return bool(draining) and any(until > now for until in draining.values())

    def is_unavailable(self, now: float) -> bool:
        """Tell whether it rests or leaves, so that nothing more may be sent to it."""
        return self.back_off_until > now or self.is_draining(now)

    def is_healthy(self, now: float) -> bool:
        """Tell whether its last result was good and nobody says that it leaves."""
        return not self.failures and not self.refusals and not self.is_draining(now)

    def load(self, now: float, trust: ReportTrust, mean_others_load: float) -> float:
        """Estimate the requests at the target as a share of its slots.

        Parameters
        ----------
        now : float
            Time in seconds.
        trust : ReportTrust
            How far reports are believed.
        usual_others : float
            Share of a target's slots that other daemons use on the whole.

        Notes
        -----
        Own requests are known. Those of other daemons were so many when the
        last report was made; as it ages, the estimate moves to what is usual.
        Moving to none instead would make those look idle of which least is
        known, and all daemons would send there.
        """
        weight = trust.weight * math.exp((self.reported_at - now) / trust.decay)
        others = mean_others_load + (self.others_load - mean_others_load) * weight
        return self.in_flight / self.record.slots + others

    def slowness(self, now: float, usual: float, memory: float) -> float:
        """Estimate the answer time as a multiple of the usual one.

        Parameters
        ----------
        now : float
            Time in seconds.
        usual : float
            Answer time of the service in seconds; 0 if unknown.
        memory : float
            Age in seconds at which a slow target is half forgotten.

        Returns
        -------
        float
            1 unless the target is clearly slower: answer times vary, and
            following each of them would undo the balance of the load.

        Notes
        -----
        A target that became slow shows first in requests that should have been
        answered by now. Waiting for their answers would send it many more.
        """
        if not usual:
            return 1.0
        slow = self.latency / usual
        if slow > SLOW_TARGET_FACTOR:
            # A slow target gets few requests, so its estimate would stay as it
            # was for ever. It fades towards the usual, and is tried again.
            slow = 1 + (slow - 1) * 0.5 ** ((now - self.latency_at) / memory)
        if self.starts:
            slow = max(slow, (now - self.starts[0]) / usual)
        return slow if slow > SLOW_TARGET_FACTOR else 1.0

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent += 1
        self.starts.append(now)

    def note_finished(self, started: float) -> None:
        """Count a request that ended."""
        self.in_flight -= 1
        self.starts.remove(started)

    def note_latency(self, sample: float, gain: float, now: float) -> None:
        """Take in an answer time in seconds."""
        if self.latency == UNKNOWN_LATENCY_S:
            self.latency = sample
        elif sample > SLOW_TARGET_FACTOR * self.latency:
            # The next requests go elsewhere the sooner this is believed.
            self.latency += SLOW_GAIN * (sample - self.latency)
        else:
            self.latency += gain * (sample - self.latency)
        self.latency_at = now

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take in a report that came with an answer.

        The answered request has already been counted out on both sides.
        """
        others = max(0.0, report.in_use - self.in_flight)
        self.others_load = others / self.record.slots
        self.reported_at = now
        self.reported_in_use = report.in_use
        self.slowdown = report.slowdown
        self.missed_checks = 0
        self.checks_suspended_until = -math.inf

    def note_missed_check(self, now: float) -> None:
        """Take in that it did not answer a check in time."""
        self.checked_at = now
        self.reported_at = -math.inf
        pause = MUTE_S * 2 ** min(self.missed_checks, MAX_MUTE_DOUBLINGS)
        self.missed_checks += 1
        self.checks_suspended_until = now + pause

    def expected_in_use(self) -> float:
        """Give the requests there at the last report and those sent since."""
        since = 0
        for started in reversed(self.starts):
            if started < self.reported_at:
                break
            since += 1
        return self.reported_in_use + since
