"""Instances that are killed, held up, added and taken away, in simulated time."""

import math
from bisect import bisect_left

from bench.model._instance import Instance
from bench.model._result import Outcome
from bench.model._world import World

# Seconds after which instances know how many there are.
VIEW_S = 1.5


class DisruptedWorld(World):
    """A service whose instances and targets are disrupted; parameters as `World`."""

    def after(self, seconds, event, *args) -> None:
        """Let a method be called after some seconds."""
        self.clock.after(seconds, lambda: event(*args))

    # -- targets -------------------------------------------------------------------

    def shed(self, part: float, seconds: float) -> None:
        """Let all targets refuse a part of the requests for some seconds."""
        self._spoil("shedding", part, seconds)

    def lose_answers(self, part: float, seconds: float) -> None:
        """Let all targets lose a part of their answers for some seconds."""
        self._spoil("losing", part, seconds)

    def _spoil(self, trait, part, seconds):
        for target in self.targets.values():
            setattr(target, trait, part)
        if part:
            self.after(seconds, self._spoil, trait, 0.0, 0.0)

    # -- instances -----------------------------------------------------------------

    def kill(self, share: float, down_s: float) -> None:
        """Kill a share of the instances; each is back after some seconds."""
        for instance in self._some(share):
            self._end_process(instance)
            self.after(down_s, self._restart, instance)

    def hold(self, share: float, seconds: float) -> None:
        """Let the processes of a share of the instances not run for some seconds."""
        for instance in self._some(share):
            instance.held_until = self.clock.now + seconds

    def add(self, share: float) -> None:
        """Add instances, as a share of those there are."""
        count = len(self.instances)
        for index in range(count, count + int(share * count)):
            self.instances.append(self._new(self._zone(index), self.rng.random()))
        self.after(VIEW_S, self._share_out)

    def remove(self, share: float) -> None:
        """Take a share of the instances away for good."""
        for instance in self._some(share):
            self._end_process(instance)
            self.instances.remove(instance)
        self.after(VIEW_S, self._share_out)

    def _some(self, share):
        up = [instance for instance in self.instances if instance.is_up]
        return self.rng.sample(up, min(len(up), round(share * len(up))))

    def _end_process(self, instance):
        instance.is_up = False
        for caller in instance.open.values():
            if caller.kind.idempotent:
                self._come_back(caller, 0.0, Outcome.FAILED)
            else:
                self._count(caller, Outcome.FAILED)

    def _restart(self, before):
        if before in self.instances:
            index = self.instances.index(before)
            self.instances[index] = self._new(before.zone, before.place)

    def _new(self, zone, place) -> Instance:
        instance = self._start(zone, place)
        instance.policy.set_instances(len(self.instances), place)
        instance.policy.update(self.service, self._records, self.clock.now)
        return instance

    def _share_out(self):
        for instance in self.instances:
            instance.policy.set_instances(len(self.instances), instance.place)


def excess_of_repeats(
    requests: list[float],
    further: list[float],
    ratio: float,
    slack: float,
    window: float,
) -> float:
    """Give by how many the fullest window exceeds what may be repeated.

    A window allows its share of the requests that callers sent in it, in the one
    before, or in the one that begins half a window earlier, whichever has most.

    Parameters
    ----------
    requests, further : list of float
        Times in seconds of requests, and of the arrivals at targets beyond the first
        of each request.
    ratio, slack : float
        Arrivals allowed for each request, and beyond that.
    window : float
        Length in seconds.
    """
    requests, further = sorted(requests), sorted(further)

    def sent(start):
        return bisect_left(requests, start + window) - bisect_left(requests, start)

    worst = -math.inf
    for start in {*further, *(at - window + 1e-6 for at in further)}:
        found = bisect_left(further, start + window) - bisect_left(further, start)
        base = max(sent(start), sent(start - window), sent(start - window / 2))
        worst = max(worst, found - ratio * base - slack)
    return worst
