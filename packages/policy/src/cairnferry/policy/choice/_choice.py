"""Choice of one target among those that may be used."""

import random

import attrs

from cairnferry.policy.targets import ReportTrust, TargetState

IDLE_COST = 0.5
RAMP_LOAD = 0.8


@attrs.frozen
class LoadAware:
    """Least expected cost among a few drawn at random, own zone first.

    Attributes
    ----------
    sample : int
        Targets that are compared.
    spill_load : float
        Estimated load from which other zones are looked at too.
    """

    sample: int = 20
    spill_load: float = 0.5


@attrs.frozen
class TwoChoices:
    """The one with fewer own requests of two drawn at random (a baseline)."""


@attrs.frozen
class LeastInFlight:
    """The one with fewest own requests (a baseline)."""


@attrs.frozen
class RoundRobin:
    """Each in turn (a baseline)."""


@attrs.frozen
class RandomChoice:
    """Any (a baseline)."""


Strategy = LoadAware | TwoChoices | LeastInFlight | RoundRobin | RandomChoice


@attrs.define
class Chooser:
    """Applies a strategy.

    Parameters
    ----------
    strategy : Strategy
        What to apply.
    rng : random.Random
        Source of randomness.
    trust : ReportTrust
        How far reports are believed.
    latency_memory : float
        Age in seconds at which a slow target's latency is half forgotten.
    ramp : float
        Seconds over which a new target gets its full share.
    usual_others : float
        Share of a target's slots that other daemons use on the whole.
    """

    strategy: Strategy
    rng: random.Random
    trust: ReportTrust
    latency_memory: float
    ramp: float
    mean_others_load: float = 0.0
    _turn: int = 0

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
            Those in the own zone and in others; all may be used.
        now : float
            Time in seconds.
        usual_latency : float
            Answer time of the service in seconds, for targets without one.
        max_load : float
            Estimated load from which a target takes nothing more.

        Returns
        -------
        TargetState or None
            None if all that were looked at are full.
        """
        match self.strategy:
            case LoadAware(sample, spill):
                return self._load_aware(
                    near, far, now, usual_latency, max_load, sample, spill
                )
            case TwoChoices():
                drawn = self._draw(near + far, 2)
                return min(drawn, key=_own_in_flight, default=None)
            case LeastInFlight():
                everything = near + far
                self.rng.shuffle(everything)
                return min(everything, key=_own_in_flight, default=None)
            case RoundRobin():
                return self._next_in_turn(near + far)
            case RandomChoice():
                everything = near + far
                return self.rng.choice(everything) if everything else None

    def _next_in_turn(self, targets):
        if not targets:
            return None
        self._turn += 1
        return targets[self._turn % len(targets)]

    def _draw(self, targets, count):
        """Draw some targets; all of them, from a random one on, if they are few.

        Of two that cost the same the first is taken. In a fixed order that would
        be the same one at every daemon.
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
        # The few that were drawn are full; a free one may be among the rest.
        best, _ = self._best_of(near, now, usual, max_load)
        if best is None:
            best, _ = self._best_of(far, now, usual, max_load)
        return best

    def _best_of(self, targets, now, usual, max_load):
        best = None
        best_load = 0.0
        best_cost = 0.0
        for target in targets:
            load = target.load(now, self.trust, self.mean_others_load)
            age = now - target.ready_since
            if age < self.ramp:
                load += self._ramp_load(age)
            if load >= max_load:
                continue
            slowness = target.slowness(now, usual, self.latency_memory)
            cost = slowness * (IDLE_COST + load)
            if best is None or cost < best_cost:
                best = target
                best_load = load
                best_cost = cost
        return best, best_load

    def _ramp_load(self, age):
        """Count a target that has just come as partly in use.

        A cold target is slow at first. A full share at once would queue there.
        """
        return RAMP_LOAD * (1 - age / self.ramp)


def _own_in_flight(target):
    return target.in_flight
