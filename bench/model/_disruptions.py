"""Instances that are killed, paused, added and removed, in simulated time."""

import math
from bisect import bisect_left

from bench.model._instance import Instance
from bench.model._result import Outcome
from bench.model._world import World

# Seconds after which instances observe a change of their number.
MEMBERSHIP_DELAY_S = 1.5


class DisruptedWorld(World):
    """A service whose instances and targets are disrupted; parameters as in `World`."""

    def after(self, seconds, method, *args) -> None:
        """Schedule a method call after some seconds."""
        self.clock.after(seconds, lambda: method(*args))

    # -- targets -------------------------------------------------------------------

    def shed_requests(self, share: float, seconds: float) -> None:
        """Let all targets refuse a share of the requests for some seconds."""
        self._set_fault("shedding", share, seconds)

    def lose_responses(self, share: float, seconds: float) -> None:
        """Let all targets lose a share of their responses for some seconds."""
        self._set_fault("losing", share, seconds)

    def _set_fault(self, attribute, share, seconds):
        for target in self.targets.values():
            setattr(target, attribute, share)
        if share:
            self.after(seconds, self._set_fault, attribute, 0.0, 0.0)

    # -- instances -----------------------------------------------------------------

    def kill(self, share: float, down_s: float) -> None:
        """Kill a share of the instances; each restarts after `down_s` seconds."""
        for instance in self._sample_running(share):
            self._kill_process(instance)
            self.after(down_s, self._restart, instance)

    def pause(self, share: float, seconds: float) -> None:
        """Pause the processes of a share of the instances for some seconds."""
        for instance in self._sample_running(share):
            instance.paused_until = self.clock.now + seconds

    def add_instances(self, share: float) -> None:
        """Add instances, as a share of the present number."""
        count = len(self.instances)
        for index in range(count, count + int(share * count)):
            self.instances.append(
                self._create_updated_instance(self._zone(index), self.rng.random())
            )
        self.after(MEMBERSHIP_DELAY_S, self._update_shares)

    def remove_instances(self, share: float) -> None:
        """Remove a share of the instances permanently."""
        for instance in self._sample_running(share):
            self._kill_process(instance)
            self.instances.remove(instance)
        self.after(MEMBERSHIP_DELAY_S, self._update_shares)

    def _sample_running(self, share):
        up = [instance for instance in self.instances if instance.is_up]
        return self.rng.sample(up, min(len(up), round(share * len(up))))

    def _kill_process(self, instance):
        instance.is_up = False
        for caller in instance.open_requests.values():
            if caller.kind.idempotent:
                self._retry_later(caller, 0.0, Outcome.FAILED)
            else:
                self._count(caller, Outcome.FAILED)

    def _restart(self, previous):
        if previous in self.instances:
            index = self.instances.index(previous)
            self.instances[index] = self._create_updated_instance(
                previous.zone, previous.ring_position
            )

    def _create_updated_instance(self, zone, ring_position) -> Instance:
        instance = self._create_instance(zone, ring_position)
        instance.policy.set_instances(len(self.instances), ring_position)
        instance.policy.update(self.service, self._records, self.clock.now)
        return instance

    def _update_shares(self):
        for instance in self.instances:
            instance.policy.set_instances(len(self.instances), instance.ring_position)


def excess_retries(
    requests: list[float],
    extra_arrivals: list[float],
    ratio: float,
    slack: float,
    window: float,
) -> float:
    """Return the arrivals by which the worst window exceeds the retry budget.

    The budget of a window is a share of the requests that callers sent in it, in the
    previous one, or in the one that begins half a window earlier, whichever has most.

    Parameters
    ----------
    requests, extra_arrivals : list of float
        Times in seconds of requests, and of the arrivals at targets beyond the first
        of each request.
    ratio, slack : float
        Extra arrivals allowed for each request, and in addition to that.
    window : float
        Length of a window in seconds.

    Returns
    -------
    float
        Excess of the worst window; negative if all windows are within the budget.
    """
    requests, extra_arrivals = sorted(requests), sorted(extra_arrivals)

    def sent(start):
        return bisect_left(requests, start + window) - bisect_left(requests, start)

    worst = -math.inf
    for start in {*extra_arrivals, *(at - window + 1e-6 for at in extra_arrivals)}:
        arrived = bisect_left(extra_arrivals, start + window) - bisect_left(
            extra_arrivals, start
        )
        base = max(sent(start), sent(start - window), sent(start - window / 2))
        worst = max(worst, arrived - ratio * base - slack)
    return worst
