"""Model of instances, targets and callers of one service in simulated time."""

import math
import random

from bench.model._clock import Clock
from bench.model._instance import Caller, Instance
from bench.model._loads import SIX_SLOTS, Load, Site
from bench.model._result import Outcome, Result
from bench.model._target import Job, ModelTarget
from cairnferry.policy import (
    Answered,
    AwaitOthers,
    Call,
    CheckStatus,
    GiveUp,
    Lost,
    PolicySettings,
    Refuse,
    Relay,
    Send,
    ServicePolicy,
    TargetRefused,
    Wait,
)
from cairnferry.records import Lifecycle, Service, Target

# Latency in seconds one way between an instance and a target of its zone.
NEAR_S = 0.0002
# Duration in seconds of a status check within a zone.
CHECK_DURATION_S = 0.001
# Seconds between two releases of waiting requests.
RELEASE_INTERVAL_S = 0.004
# Standard deviation of the logarithm of the work of a request.
WORK_SIGMA = 0.3
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0


class World:
    """One service under load.

    Parameters
    ----------
    load : Load
        Load pattern.
    settings : PolicySettings
        Settings of the policy.
    seed : int
        Seed of all random choices.
    length : float
        Duration of the load in seconds.
    site : Site, optional
        Machines and requests of the service.
    """

    def __init__(
        self,
        load: Load,
        settings: PolicySettings,
        seed: int,
        length: float,
        site: Site = SIX_SLOTS,
    ):
        self.clock = Clock()
        self.site = site
        self._zones = [f"z{number}" for number in range(site.zones)]
        self.rng = random.Random(seed)
        self.load = load
        self.length = length
        self.result = Result()
        self._checks_status = settings.status_checks is not None
        self.service = Service(
            "s",
            1000,
            RETRY_RATIO,
            False,
            512,
            retry_slack=site.retry_slack,
            retry_window_s=RETRY_WINDOW_S,
        )
        self.targets = {
            f"t{i}": ModelTarget(
                f"t{i}",
                self._zone(i),
                self.clock,
                self.rng,
                site.slots,
                site.queue,
                site.noise,
            )
            for i in range(site.targets)
        }
        self.settings = settings
        in_zone = math.ceil(site.instances / len(self._zones))
        self.instances = [
            self._create_instance(
                self._zone(index), index // len(self._zones) / in_zone
            )
            for index in range(site.instances)
        ]
        self._apply_load_faults()

    def _zone(self, index):
        return self._zones[index % len(self._zones)]

    def _create_instance(self, zone, ring_position):
        policy = ServicePolicy(self.service, zone, self.rng, self.settings)
        return Instance(policy, zone, ring_position)

    def _is_far(self, instance, target_name):
        return self.targets[target_name].zone != instance.zone

    # -- setup -------------------------------------------------------------------

    def _apply_load_faults(self):
        names = list(self.targets)
        for target in self.targets.values():
            target.start()
        for name in names[: int(self.load.slow * len(names))]:
            self.targets[name].slow = 5.0
        for name in names[: int(self.load.failing * len(names))]:
            self.targets[name].failing = 0.5
        for instance in self.instances:
            instance.policy.set_instances(len(self.instances), instance.ring_position)
        self._update_records(Lifecycle.ACTIVE)
        if self.load.leaving:
            third = self.length / 3
            self.clock.after(third, lambda: self._update_records(Lifecycle.DRAINING))
            self.clock.after(2 * third, lambda: self._update_records(Lifecycle.ACTIVE))

    def _update_records(self, lifecycle):
        leaving = int(self.load.leaving * len(self.targets))
        self._records = [
            Target(
                t.name,
                "s",
                t.zone,
                "10.0.0.1",
                80,
                t.slots,
                lifecycle if index < leaving else Lifecycle.ACTIVE,
                "/",
                None,
            )
            for index, t in enumerate(self.targets.values())
        ]
        for instance in self.instances:
            instance.policy.update(self.service, self._records, self.clock.now)

    def run(self) -> Result:
        """Run the load, and return its result."""
        self.clock.after(0.0, self._arrive)
        if not self._checks_status:
            self.clock.after(RELEASE_INTERVAL_S, self._release_waiting)
        self.clock.run(self.length + 3.0)
        return self.result

    # -- callers -----------------------------------------------------------------

    def _arrive(self):
        now = self.clock.now
        if now >= self.length:
            return
        rate = self.site.rate * self.load.rate_at(now, self.length)
        self.clock.after(self.rng.expovariate(rate), self._arrive)
        kinds = self.site.kinds
        (kind,) = self.rng.choices(kinds, [kind.share for kind in kinds])
        self._send_request(Caller(kind, now, self.load.retries))

    def _send_request(self, caller):
        now = self.clock.now
        kind = caller.kind
        call = Call(
            arrived=now,
            deadline=caller.started_at + kind.deadline,
            idempotent=kind.idempotent,
            max_attempts=2,
            objective=now + kind.objective,
            rank=kind.rank,
            route=kind.name,
        )
        self.result.requests.append(now)
        up = [instance for instance in self.instances if instance.is_up]
        if not up:
            self._retry_later(caller, 0.0, Outcome.FAILED)
            return
        instance = self.rng.choice(up)
        instance.open_requests[call] = caller
        self._when_running(instance, lambda: self._arrived(instance, caller, call))

    def _arrived(self, instance, caller, call):
        decision = instance.policy.arrive(call, self.clock.now)
        self._apply_decision(instance, caller, call, decision)

    def _finish_call(self, caller, decision):
        now = self.clock.now
        match decision:
            case Relay():
                elapsed = now - caller.started_at
                in_time = elapsed <= caller.kind.objective
                self._count(caller, Outcome.IN_TIME if in_time else Outcome.LATE)
                self.result.times.append(elapsed)
            case Refuse(retry_after=after):
                self._retry_later(caller, after, Outcome.REFUSED)
            case GiveUp():
                if caller.kind.idempotent:
                    self._retry_later(caller, 0.0, Outcome.FAILED)
                else:
                    self._count(caller, Outcome.FAILED)

    def _retry_later(self, caller, after, outcome):
        left = caller.started_at + caller.kind.deadline - self.clock.now
        if caller.retries_left == 0 or left <= 0.02:
            self._count(caller, outcome)
            return
        caller.retries_left -= 1
        wait = 0.0 if self.load.retry_at_once else min(after, left / 3)
        self.clock.after(wait + 0.004, lambda: self._send_request(caller))

    def _count(self, caller, outcome):
        self.result.outcomes[outcome] += 1

    # -- instances -----------------------------------------------------------------

    def _when_running(self, instance, event):
        """Run an event at an instance once its process is not paused, unless killed."""
        wait = instance.paused_until - self.clock.now
        if wait > 0:
            self.clock.after(wait, lambda: self._when_running(instance, event))
        elif instance.is_up:
            event()

    def _apply_decision(self, instance, caller, call, decision):
        match decision:
            case Send(attempt):
                self._send(instance, caller, attempt)
            case CheckStatus(targets):
                self._check_targets(instance, caller, call, targets)
            case Wait():
                instance.waiting[call] = caller
            case AwaitOthers():
                pass
            case _:
                del instance.open_requests[call]
                self._finish_call(caller, decision)

    def _check_targets(self, instance, caller, call, records):
        policy = instance.policy
        far = sum(self._is_far(instance, record.name) for record in records)
        self.result.checks += len(records)
        self.result.far_checks += far

        def deliver():
            now = self.clock.now
            for record in records:
                report = self.targets[record.name].report()
                policy.note_check(record.name, report, True, now)
            self._apply_decision(instance, caller, call, policy.resume(call, now))

        wait = CHECK_DURATION_S + 2 * self.site.far_s * bool(far)
        self.clock.after(wait, lambda: self._when_running(instance, deliver))

    def _send(self, instance, caller, attempt):
        target = self.targets[attempt.target_name]
        one_way_s = NEAR_S
        if self._is_far(instance, attempt.target_name):
            self.result.far_attempts += 1
            one_way_s = self.site.far_s
        self.result.attempts += 1
        is_further = len(attempt.call.attempts) > 1
        self.result.retries += is_further
        work = caller.kind.work * self.rng.lognormvariate(
            -(WORK_SIGMA**2) / 2, WORK_SIGMA
        )

        def done(succeeded):
            result = Answered(failed=not succeeded, report=target.report())
            if target.losing and self.rng.random() < target.losing:
                result = Lost()
            self._deliver_result(instance, caller, attempt, result, one_way_s)

        def arrive():
            if is_further:
                self.result.extra_arrivals.append(self.clock.now)
            if not target.accept(Job(work, attempt.call.deadline, done)):
                refused = TargetRefused(report=target.report())
                self._deliver_result(instance, caller, attempt, refused, one_way_s)

        self.clock.after(one_way_s, arrive)

    def _deliver_result(self, instance, caller, attempt, result, one_way_s):
        def deliver():
            self._finished(instance, caller, attempt, result)

        self.clock.after(one_way_s, lambda: self._when_running(instance, deliver))

    def _finished(self, instance, caller, attempt, result):
        decision = instance.policy.finished(attempt, result, self.clock.now)
        self._apply_decision(instance, caller, attempt.call, decision)
        self._release(instance)

    def _release_waiting(self):
        for instance in self.instances:
            if instance.is_up and instance.paused_until <= self.clock.now:
                self._release(instance)
        if self.clock.now < self.length + 2:
            self.clock.after(RELEASE_INTERVAL_S, self._release_waiting)

    def _release(self, instance):
        waiting = instance.waiting
        if not waiting:
            return
        for call, decision in instance.policy.release(self.clock.now):
            caller = waiting.pop(call, None)
            if caller is not None:
                self._apply_decision(instance, caller, call, decision)


def play(
    load: Load,
    settings: PolicySettings,
    seed: int = 1,
    length: float = 12.0,
    site: Site = SIX_SLOTS,
) -> Result:
    """Run a load under a policy, and return the result; parameters as in `World`."""
    return World(load, settings, seed, length, site).run()
