"""Model of a service at a crest: uneven zones, waves, and targets that hang when full.

`CrestWorld` adds to `World` what the deployments of docs/HARD-LOAD.md have: a zone with
more callers than its share of the targets, targets that never answer a request that
they cannot queue, hedges, and callers
that honour Retry-After or retry at once.
"""

import attrs

from bench.model._crest_sites import CrestSite
from bench.model._loads import Load
from bench.model._result import LATE_WORTH, Outcome, Result
from bench.model._target import Job
from bench.model._world import NEAR_S, WORK_SIGMA, World
from cairnferry.policy import (
    Answered,
    Call,
    CheckStatus,
    Lost,
    PolicySettings,
    Send,
    TargetRefused,
)

# Part of a wave's amplitude above which a moment is at the crest, below minus which it
# is in the trough.
PHASE_LEVEL = 0.5


@attrs.define
class KindResult:
    """Outcomes of one kind of request in one phase."""

    outcomes: dict[Outcome, int] = attrs.field(
        factory=lambda: dict.fromkeys(Outcome, 0)
    )

    def share(self, outcome: Outcome) -> float:
        """Return the share of an outcome."""
        return self.outcomes[outcome] / max(1, sum(self.outcomes.values()))


@attrs.define
class CrestResult(Result):
    """Result with outcomes by phase ("crest", "trough", "slope") and by kind.

    Attributes
    ----------
    by_phase, by_kind, by_zone : dict of str to KindResult
        Outcomes by the moment at which the caller sent its first request, by its kind,
        and by its zone.
    hung : int
        Attempts that reached a target which could not queue them.
    hedges : int
        Hedges sent.
    """

    by_phase: dict[str, KindResult] = attrs.field(factory=dict)
    by_kind: dict[str, KindResult] = attrs.field(factory=dict)
    by_zone: dict[str, KindResult] = attrs.field(factory=dict)
    hung: int = 0
    hedges: int = 0

    @property
    def benefit(self) -> float:
        """Mean worth of the outcomes without costs."""
        return self.share(Outcome.IN_TIME) + LATE_WORTH * self.share(Outcome.LATE)


class CrestWorld(World):
    """One service of a `CrestSite`; parameters as in `World`."""

    def __init__(self, deployment: CrestSite, settings: PolicySettings, seed, length):
        self.deployment = deployment
        site = deployment.site
        self._target_zones = _spread(site.targets, deployment.target_shares)
        self._jobs = {}
        super().__init__(Load(retries=2), settings, seed, length, site)
        self.result = CrestResult()
        self._by_zone = {
            zone: [each for each in self.instances if each.zone == zone]
            for zone in self._zones
        }

    def _apply_load_faults(self):
        for target, zone in zip(self.targets.values(), self._target_zones, strict=True):
            target.zone = self._zones[zone]
        super()._apply_load_faults()

    def _arrive(self):
        for zone in range(len(self._zones)):
            self._arrive_in(zone)

    def _arrive_in(self, zone, is_first=True):
        now = self.clock.now
        if now >= self.length:
            return
        rate = self.deployment.rate_at(zone, now, self.length)
        wait = self.rng.expovariate(rate)
        self.clock.after(wait, lambda: self._arrive_in(zone, False))
        if is_first:
            return
        kinds = self.site.kinds
        (kind,) = self.rng.choices(kinds, [kind.share for kind in kinds])
        caller = _Caller(kind, now, self.load.retries)
        caller.zone = self._zones[zone]
        caller.retries_at_once = self.rng.random() < self.deployment.impatient
        self._send_request(caller)

    def _send_request(self, caller):
        now = self.clock.now
        kind = caller.kind
        call = Call(
            arrived=now,
            deadline=caller.started_at + kind.deadline,
            idempotent=kind.idempotent,
            objective=now + kind.objective,
            rank=kind.rank,
            route=kind.name,
        )
        self.result.requests.append(now)
        instance = self.rng.choice(self._by_zone[caller.zone])
        instance.open_requests[call] = caller
        self._when_running(instance, lambda: self._arrived(instance, caller, call))

    def _retry_later(self, caller, after, outcome):
        left = caller.started_at + caller.kind.deadline - self.clock.now
        if caller.retries_left == 0 or left <= 0.02:
            self._count(caller, outcome)
            return
        caller.retries_left -= 1
        wait = 0.0 if caller.retries_at_once else min(after, left / 3)
        self.clock.after(wait + 0.016, lambda: self._send_request(caller))

    def _count(self, caller, outcome):
        super()._count(caller, outcome)
        phase = self.deployment.phase(caller.started_at)
        name = "slope"
        if abs(phase) >= PHASE_LEVEL:
            name = "crest" if phase > 0 else "trough"
        result = self.result
        for table, key in (
            (result.by_phase, name),
            (result.by_kind, caller.kind.name),
            (result.by_zone, caller.zone),
        ):
            table.setdefault(key, KindResult()).outcomes[outcome] += 1

    # -- attempts ------------------------------------------------------------------

    def _send(self, instance, caller, attempt):
        target = self.targets[attempt.target_name]
        one_way_s = NEAR_S
        if self._is_far(instance, attempt.target_name):
            self.result.far_attempts += 1
            one_way_s = self.site.far_s
        self.result.attempts += 1
        self.result.retries += len(attempt.call.attempts) > 1
        work = caller.kind.work * self.rng.lognormvariate(
            -(WORK_SIGMA**2) / 2, WORK_SIGMA
        )

        def done(succeeded):
            result = Answered(failed=not succeeded, report=target.report())
            self._deliver_result(instance, caller, attempt, result, one_way_s)

        job = Job(work, attempt.call.deadline, done)
        self._jobs[attempt] = job

        def arrive():
            if not job.is_cancelled and not target.accept(job):
                self._reject(instance, caller, attempt, target, one_way_s)

        self.clock.after(one_way_s, arrive)
        if attempt.call.idempotent:
            self._hedge_later(instance, caller, attempt.call)

    def _reject(self, instance, caller, attempt, target, one_way_s):
        """Refuse a request that cannot be queued, or never answer it."""
        if not self.deployment.hangs:
            refused = TargetRefused(report=target.report())
            self._deliver_result(instance, caller, attempt, refused, one_way_s)
            return
        self.result.hung += 1
        left = max(0.0, attempt.call.deadline - self.clock.now)
        self.clock.after(
            left,
            lambda: self._finished(instance, caller, attempt, Lost(timed_out=True)),
        )

    def _finished(self, instance, caller, attempt, result):
        call = attempt.call
        if attempt.ended or call not in instance.open_requests:
            return
        super()._finished(instance, caller, attempt, result)
        if call in instance.open_requests:
            return
        for other in call.attempts:
            if not other.ended:
                instance.policy.cancelled(other, self.clock.now)
                self.targets[other.target_name].cancel(self._jobs[other])

    def _hedge_later(self, instance, caller, call):
        delay = instance.policy.hedge_delay()
        if delay is not None:
            self.clock.after(delay, lambda: self._hedge(instance, caller, call))

    def _hedge(self, instance, caller, call):
        if call not in instance.open_requests or call.open_attempts != 1:
            return
        match instance.policy.hedge(call, self.clock.now):
            case Send(attempt):
                self.result.hedges += 1
                self._send(instance, caller, attempt)
                return
            case CheckStatus(targets):
                self._check_open_attempt(instance, targets)
        self._hedge_later(instance, caller, call)

    def _check_open_attempt(self, instance, records):
        self.result.checks += len(records)
        for record in records:
            report = self.targets[record.name].report()
            instance.policy.note_check(record.name, report, True, self.clock.now)


class _Caller:
    """A caller with its zone and its way to retry."""

    def __init__(self, kind, started_at, retries_left):
        self.kind = kind
        self.started_at = started_at
        self.retries_left = retries_left
        self.zone = ""
        self.retries_at_once = False


def _spread(count, shares):
    """Return the zone of each of a number of targets, so that zones alternate."""
    filled = [0] * len(shares)
    zones = []
    for total in range(1, count + 1):
        zone = max(range(len(shares)), key=lambda z: shares[z] * total - filled[z])
        filled[zone] += 1
        zones.append(zone)
    return zones


def play_crest(
    deployment: CrestSite,
    settings: PolicySettings,
    seed: int = 1,
    length: float = 30.0,
) -> CrestResult:
    """Run a deployment under a policy, and return the result."""
    return CrestWorld(deployment, settings, seed, length).run()
