"""Targets that name limits or are cold, at many daemons in simulated time."""

import attrs

from bench.model._fleet import Daemon, Fleet
from cairnferry.entry.targets import DefaultTargetConvention
from cairnferry.policy import (
    NO_LIMIT,
    Answered,
    Call,
    CheckStatus,
    LoadReport,
    Pause,
    Send,
)
from cairnferry.records import Lifecycle, Priority, Route, Service, Target
from cairnferry.wire import Reply

# Requests a second that a cold target takes.
COLD_PER_S = 3.1
SERVICE = Service(
    "s",
    1000,
    0.2,
    False,
    8,
    retry_slack=6,
    retry_window_s=10.0,
    warmup_per_s=COLD_PER_S,
)
ROUTE = Route("r", "/", "s", frozenset(["GET"]), 1000, Priority.INTERACTIVE)
SLOTS = 6
# Seconds for which a target runs a request.
RUN_S = 0.05


@attrs.define
class NeedyTarget:
    """A target that may name a limit or be cold, and what it got.

    Attributes
    ----------
    record : Target
        Its record.
    limit : float
        What it names; `NO_LIMIT` for none.
    cold_until : float
        Time in seconds to which it is cold.
    arrivals : list of float
        Times in seconds at which requests came.
    in_use : int
        Requests that it runs.
    """

    record: Target
    limit: float = NO_LIMIT
    cold_until: float = 0.0
    arrivals: list[float] = attrs.field(factory=list)
    in_use: int = 0

    def warmup_s(self, now: float) -> float:
        """Give the seconds for which it is still cold."""
        return max(0.0, self.cold_until - now)

    def between(self, first: float, last: float) -> int:
        """Count what came in a span of time."""
        return sum(first <= at < last for at in self.arrivals)


@attrs.define
class Need:
    """Requests at all daemons of a fleet, for targets of which some name limits.

    Parameters
    ----------
    fleet : Fleet
        The daemons.
    targets : dict of str to NeedyTarget
        By name.
    """

    fleet: Fleet
    targets: dict[str, NeedyTarget]
    served: int = 0
    refused: list[Call] = attrs.field(factory=list)

    @classmethod
    def begin(
        cls, fleet: Fleet, zones: int, count: int, per_s: float, seconds: float
    ) -> "Need":
        """Let requests come, so many a second at each daemon."""
        records = [_record(number, zones) for number in range(count)]
        need = cls(fleet, {record.name: NeedyTarget(record) for record in records})
        with fleet._clock():
            for daemon in fleet.daemons.values():
                daemon.services.install_rules(1, [SERVICE], [ROUTE])
                daemon.services.install_targets(records)
                daemon.services.runtime("s")
        for daemon in fleet.daemons.values():
            for _ in range(round(per_s * seconds)):
                fleet.after(fleet.rng.random() * seconds, need.arrive, daemon)
        return need

    def arrive(self, daemon: Daemon) -> None:
        """Let a request come to a daemon."""
        if not daemon.is_up:
            return
        now = self.fleet.now
        call = Call(now, now + 1.0, True, objective=now + 0.4, route="r")
        policy = daemon.services.runtime("s").policy
        self._act_on(daemon, call, policy.arrive(call, now))

    def _go_on(self, daemon, call):
        """Go on with a request that was let wait."""
        if daemon.is_up:
            policy = daemon.services.runtime("s").policy
            self._act_on(daemon, call, policy.resume(call, self.fleet.now))

    def _act_on(self, daemon, call, decision):
        now = self.fleet.now
        policy = daemon.services.runtime("s").policy
        while isinstance(decision, CheckStatus):
            for record in decision.targets:
                target = self.targets[record.name]
                report = LoadReport(target.in_use)
                warmup_s = target.warmup_s(now)
                daemon.limiter.cold.note_check(record, warmup_s, SERVICE, now)
                policy.note_check(record.identity, report, True, now)
            decision = policy.resume(call, now)
        match decision:
            case Send(attempt):
                self._run(daemon, attempt)
            case Pause(seconds):
                self.fleet.after(seconds, self._go_on, daemon, call)
            case _:
                self.refused.append(call)

    def _run(self, daemon, attempt):
        target = self.targets[attempt.target.name]
        target.arrivals.append(self.fleet.now)
        target.in_use += 1
        self.fleet.after(RUN_S, self._end, daemon, attempt, target)

    def _end(self, daemon, attempt, target):
        target.in_use -= 1
        if not daemon.is_up:
            return
        named = target.limit
        headers = [] if named == NO_LIMIT else [("Server-Limit", f"{named:g}")]
        daemon.limiter.note_outcome(
            attempt, Reply(200, headers, b""), DefaultTargetConvention()
        )
        policy = daemon.services.runtime("s").policy
        policy.finished(
            attempt, Answered(report=LoadReport(target.in_use)), self.fleet.now
        )
        self.served += 1


def _record(number, zones):
    zone = f"z{number % zones}"
    name = f"i-{number}"
    return Target(name, "s", zone, "10.0.0.1", 80, SLOTS, Lifecycle.ACTIVE, "/h", None)
