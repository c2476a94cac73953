"""Admission of requests to the queue of a service."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission._capacity import Capacity
from cairnferry.policy.admission._queue import WaitingCalls
from cairnferry.policy.requests import Call, Cause
from cairnferry.policy.search import TargetSet
from cairnferry.records import Priority


@attrs.define
class Admission:
    """Admits requests to the queue of one service.

    Parameters
    ----------
    settings : PolicySettings
        Constants of the policy.
    targets : TargetSet
        Targets of the service.
    capacity : Capacity
        Concurrency limits of this daemon.

    Attributes
    ----------
    waiting : WaitingCalls
        Queue of the service.
    """

    settings: PolicySettings
    targets: TargetSet
    capacity: Capacity
    waiting: WaitingCalls = attrs.field(factory=WaitingCalls)
    _displaced: list[Call] = attrs.field(factory=list)

    def admit(self, call: Call, limit: int, now: float) -> Cause | None:
        """Add a request to the queue, or return the cause for refusing it.

        Parameters
        ----------
        call : Call
            The request.
        limit : int
            Largest number of requests in the queue.
        now : float
            Time in seconds.

        Returns
        -------
        Cause or None
            None if the request is in the queue.
        """
        if self.targets.none_left_for(call, self.start_by(call)):
            return self.targets.no_target_cause
        time_left = self.start_by(call) - now
        if self._expected_wait(call) > self.settings.max_wait_share * time_left:
            return Cause.DEADLINE
        if len(self.waiting) >= limit and not self._displace_background(call):
            return Cause.OVERLOAD
        self.waiting.push(call)
        return None

    def start_by(self, call: Call) -> float:
        """Return the latest time to send a request so that it meets its deadline."""
        return call.deadline - self.targets.latency.longest

    def take_displaced(self) -> list[Call]:
        """Return the requests that were displaced since the last call."""
        displaced = self._displaced
        self._displaced = []
        return displaced

    def _expected_wait(self, call):
        ahead = self.waiting.count_ahead_of(call.priority)
        return ahead * self.targets.latency.expected / max(1.0, self.capacity.limit)

    def _displace_background(self, call):
        """Displace a waiting background request in favour of an interactive one."""
        if call.priority is Priority.BACKGROUND:
            return False
        victim = self.waiting.last_background()
        if victim is None:
            return False
        self.waiting.remove(victim)
        self._displaced.append(victim)
        return True
