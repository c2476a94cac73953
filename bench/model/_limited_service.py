"""Targets that advertise limits or are cold, with many daemons in simulated time."""

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

# Requests per second that a cold target tolerates.
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
class LimitableTarget:
    """A target that may advertise a limit or be cold, and the requests that it got.

    Attributes
    ----------
    record : Target
        Record of the target.
    limit : float
        Requests per second that it advertises; `NO_LIMIT` for none.
    cold_until : float
        Time in seconds until which it is cold.
    arrivals : list of float
        Times in seconds at which requests arrived.
    in_use : int
        Requests that it runs.
    """

    record: Target
    limit: float = NO_LIMIT
    cold_until: float = 0.0
    arrivals: list[float] = attrs.field(factory=list)
    in_use: int = 0

    def warmup_s(self, now: float) -> float:
        """Return the seconds for which the target is still cold."""
        return max(0.0, self.cold_until - now)

    def arrivals_between(self, first: float, last: float) -> int:
        """Return the number of requests that arrived between two times in seconds."""
        return sum(first <= at < last for at in self.arrivals)


@attrs.define
class LimitedService:
    """A service with limited targets, and its requests at all daemons of a fleet.

    Parameters
    ----------
    fleet : Fleet
        The daemons.
    targets : dict of str to LimitableTarget
        Targets by name.

    Attributes
    ----------
    served : int
        Number of requests answered.
    refused : list of Call
        Requests refused.
    """

    fleet: Fleet
    targets: dict[str, LimitableTarget]
    served: int = 0
    refused: list[Call] = attrs.field(factory=list)

    @classmethod
    def start(
        cls, fleet: Fleet, zones: int, count: int, per_s: float, seconds: float
    ) -> "LimitedService":
        """Start a service with `per_s` requests per second at each daemon.

        Parameters
        ----------
        fleet : Fleet
            The daemons.
        zones, count : int
            Numbers of availability zones and of targets.
        per_s : float
            Requests per second at each daemon.
        seconds : float
            Seconds for which requests arrive.
        """
        records = [_record(number, zones) for number in range(count)]
        service = cls(
            fleet, {record.name: LimitableTarget(record) for record in records}
        )
        with fleet._clock():
            for daemon in fleet.daemons.values():
                daemon.services.install_rules(1, [SERVICE], [ROUTE])
                daemon.services.install_targets(records)
                daemon.services.runtime("s")
        for daemon in fleet.daemons.values():
            for _ in range(round(per_s * seconds)):
                fleet.after(fleet.rng.random() * seconds, service.arrive, daemon)
        return service

    def arrive(self, daemon: Daemon) -> None:
        """Handle a request that arrives at a daemon."""
        if not daemon.is_up:
            return
        now = self.fleet.now
        call = Call(now, now + 1.0, True, objective=now + 0.4, route="r")
        policy = daemon.services.runtime("s").policy
        self._apply_decision(daemon, call, policy.arrive(call, now))

    def _resume(self, daemon, call):
        """Resume a request after a pause."""
        if daemon.is_up:
            policy = daemon.services.runtime("s").policy
            self._apply_decision(daemon, call, policy.resume(call, self.fleet.now))

    def _apply_decision(self, daemon, call, decision):
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
                self._run_request(daemon, attempt)
            case Pause(seconds):
                self.fleet.after(seconds, self._resume, daemon, call)
            case _:
                self.refused.append(call)

    def _run_request(self, daemon, attempt):
        target = self.targets[attempt.target.name]
        target.arrivals.append(self.fleet.now)
        target.in_use += 1
        self.fleet.after(RUN_S, self._finish_request, daemon, attempt, target)

    def _finish_request(self, daemon, attempt, target):
        target.in_use -= 1
        if not daemon.is_up:
            return
        advertised = target.limit
        headers = (
            [] if advertised == NO_LIMIT else [("Server-Limit", f"{advertised:g}")]
        )
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
