"""Choice of one target among the usable ones, by estimated load."""

import random

import attrs

from cairnferry.policy.targets import ReportWeighting, TargetState

# Part of a target's cost that does not depend on its load, so that the latencies of
# idle targets are compared too.
IDLE_COST = 0.5
# Load that a target is assumed to have in addition at the start of its ramp.
RAMP_LOAD = 0.8


@attrs.frozen
class LoadAware:
    """Lowest expected cost among a random sample, own zone first.

    Attributes
    ----------
    sample : int
        Number of targets that are compared.
    spill_load : float
        Estimated load of the best target from which other zones are compared too.
    """

    sample: int = 20
    spill_load: float = 0.5


@attrs.frozen
class TwoChoices:
    """Fewer own requests in flight among two random targets (baseline)."""


@attrs.frozen
class LeastInFlight:
    """Fewest own requests in flight (baseline)."""


@attrs.frozen
class RoundRobin:
    """Each target in turn (baseline)."""


@attrs.frozen
class RandomChoice:
    """Random target (baseline)."""


Strategy = LoadAware | TwoChoices | LeastInFlight | RoundRobin | RandomChoice


@attrs.define
class Chooser:
    """Chooses targets by a strategy.

    Parameters
    ----------
    strategy : Strategy
        The strategy.
    rng : random.Random
        Source of randomness.
    weighting : ReportWeighting
        Weight of load reports by their age.
    latency_half_life : float
        Age in seconds at which the weight of a slow target's latency has halved.
    ramp : float
        Time in seconds over which a new target ramps up to its full share.
    mean_others_load : float
        Mean share of a target's slots that other daemons use.
    """

    strategy: Strategy
    rng: random.Random
    weighting: ReportWeighting
    latency_half_life: float
    ramp: float
    mean_others_load: float = 0.0
    _next_index: int = 0

    def choose(
        self,
        near: list[TargetState],
        far: list[TargetState],
        now: float,
        usual_latency: float,
        max_load: float,
    ) -> TargetState | None:
        """Choose a target.

        Parameters
        ----------
        near, far : list of TargetState
            Usable targets in the own zone and in other zones.
        now : float
            Time in seconds.
        usual_latency : float
            Usual response time of the service in seconds, for targets without samples.
        max_load : float
            Estimated load from which a target counts as full.

        Returns
        -------
        TargetState or None
            None if all targets are full or there are none.
        """
        match self.strategy:
            case LoadAware(sample, spill):
                return self._load_aware(
                    near, far, now, usual_latency, max_load, sample, spill
                )
            case TwoChoices():
                pair = self._draw(near + far, 2)
                return min(pair, key=_own_in_flight, default=None)
            case LeastInFlight():
                targets = near + far
                self.rng.shuffle(targets)
                return min(targets, key=_own_in_flight, default=None)
            case RoundRobin():
                return self._next_round_robin(near + far)
            case RandomChoice():
                targets = near + far
                return self.rng.choice(targets) if targets else None

    def _next_round_robin(self, targets):
        if not targets:
            return None
        self._next_index += 1
        return targets[self._next_index % len(targets)]

    def _draw(self, targets, count):
        """Draw a random sample, or all targets in a random rotation if there are few.

        The first of several targets with the same cost is chosen. In a fixed order,
        every daemon would choose the same target.
        """
        if len(targets) > count:
            return self.rng.sample(targets, count)
        start = int(self.rng.random() * len(targets))
        return targets[start:] + targets[:start]

    def _load_aware(self, near, far, now, usual, max_load, sample, spill):
        best, load = self._best_of(self._draw(near, sample), now, usual, max_load)
        if best is not None and load < spill:
            return best
        other, other_load = self._best_of(self._draw(far, sample), now, usual, max_load)
        if other is not None and (best is None or other_load < load):
            return other
        if best is not None:
            return best
        # All targets of the samples are full; others may have free slots.
        best, _ = self._best_of(near, now, usual, max_load)
        if best is None:
            best, _ = self._best_of(far, now, usual, max_load)
        return best

    def _best_of(self, targets, now, usual, max_load):
        best = None
        best_load = 0.0
        best_cost = 0.0
        for target in targets:
            load = target.load(now, self.weighting, self.mean_others_load)
            age = now - target.ready_since
            if age < self.ramp:
                load += self._ramp_load(age)
            if load >= max_load:
                continue
            slowness = target.slowness(now, usual, self.latency_half_life)
            cost = slowness * (IDLE_COST + load)
            if best is None or cost < best_cost:
                best = target
                best_load = load
                best_cost = cost
        return best, best_load

    def _ramp_load(self, age):
        """Return the extra load that a new target is assumed to have at an age.

        A cold target is slow at first, and a full share of requests would queue there.
        """
        return RAMP_LOAD * (1 - age / self.ramp)


def _own_in_flight(target):
    return target.in_flight
