"""What one daemon knows of one target."""

import enum
import math
from collections import deque

import attrs

from cairnferry.policy._model import LoadReport
from cairnferry.records import Lifecycle, Target

UNKNOWN_LATENCY_S = 0.0


class DrainSource(enum.StrEnum):
    """Who says that a target is leaving; any one suffices."""

    RECORD = "record"
    HEALTH = "health"
    REFUSAL = "refusal"
    PLATFORM = "platform"


@attrs.define(eq=False)
class TargetState:
    """Estimates for one target.

    Attributes
    ----------
    record : Target
        Its record.
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
    """

    record: Target
    ready_since: float
    in_flight: int = 0
    starts: deque = attrs.field(factory=deque)
    latency: float = UNKNOWN_LATENCY_S
    latency_at: float = 0.0
    others_in_use: float = 0.0
    reported_at: float = -math.inf
    paused_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_started: float = -math.inf
    draining_until: dict[DrainSource, float] = attrs.field(factory=dict)
    refusals: int = 0
    sent: int = 0

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

    def is_sound(self, now: float) -> bool:
        """Tell whether its last result was good and nobody says that it leaves."""
        return not self.failures and not self.refusals and not self.is_draining(now)

    def load(self, now: float, decay: float) -> float:
        """Estimate the requests at the target as a share of its slots.

        Notes
        -----
        Own requests are known. Those of other daemons were so many when the
        last report was made; its weight falls with age, for what they sent
        since is not known.
        """
        others = self.others_in_use
        if others > 0:
            others *= math.exp((self.reported_at - now) / decay)
        return (self.in_flight + others) / self.record.slots

    def expected_latency(self, now: float, usual: float, memory: float) -> float:
        """Estimate the answer time in seconds.

        Notes
        -----
        A target that became slow shows first in requests that should have been
        answered by now. Waiting for their answers would send it many more.
        """
        latency = self.latency
        if latency == UNKNOWN_LATENCY_S:
            latency = usual
        elif latency > usual:
            # A slow target gets few requests, so its estimate would stay as it
            # was for ever. It fades towards the usual, and is tried again.
            fading = 0.5 ** ((now - self.latency_at) / memory)
            latency = usual + (latency - usual) * fading
        if self.starts:
            waiting = now - self.starts[0]
            if waiting > latency:
                return waiting
        return latency

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent += 1
        self.starts.append(now)

    def note_ended(self, started: float) -> None:
        """Count a request that ended."""
        self.in_flight -= 1
        self.starts.remove(started)

    def note_latency(self, sample: float, gain: float, now: float) -> None:
        """Take in an answer time in seconds."""
        if self.latency == UNKNOWN_LATENCY_S:
            self.latency = sample
        else:
            self.latency += gain * (sample - self.latency)
        self.latency_at = now

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take in a report that came with an answer.

        The answered request has already been counted out on both sides.
        """
        self.others_in_use = max(0.0, report.in_use - self.in_flight)
        self.reported_at = now
