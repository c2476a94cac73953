"""Which requests may wait for a target here, and until when."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission._queue import WaitingCalls
from cairnferry.policy.admission._room import Room
from cairnferry.policy.requests import Call, Cause
from cairnferry.policy.search import TargetSet
from cairnferry.records import Priority


@attrs.define
class Admission:
    """Lets requests into the queue of one service.

    Parameters
    ----------
    settings : PolicySettings
        Constants.
    targets : TargetSet
        What is known of the targets.
    room : Room
        Limits of what is in flight.

    Attributes
    ----------
    waiting : WaitingCalls
        The queue.
    """

    settings: PolicySettings
    targets: TargetSet
    room: Room
    waiting: WaitingCalls = attrs.field(factory=WaitingCalls)
    _displaced: list[Call] = attrs.field(factory=list)

    def admit(self, call: Call, limit: int, now: float) -> Cause | None:
        """Let a request wait, or give the cause for which it may not.

        Parameters
        ----------
        call : Call
            The request.
        limit : int
            Requests that may wait.
        now : float
            Time in seconds.
        """
        if self.targets.none_left_for(call, self.start_by(call)):
            return self.targets.cause_of_none
        left = self.start_by(call) - now
        if self._expected_wait(call) > self.settings.wait_share * left:
            return Cause.DEADLINE
        if len(self.waiting) >= limit and not self._make_room(call):
            return Cause.OVERLOAD
        self.waiting.push(call)
        return None

    def start_by(self, call: Call) -> float:
        """Give the time by which a request has to be sent to make its deadline."""
        return call.deadline - self.targets.latency.longest

    def take_displaced(self) -> list[Call]:
        """Give the requests that had to leave the queue for more urgent ones."""
        displaced = self._displaced
        self._displaced = []
        return displaced

    def _expected_wait(self, call):
        ahead = self.waiting.ahead_of(call.priority)
        return ahead * self.targets.latency.expected / max(1.0, self.room.limit)

    def _make_room(self, call):
        """Refuse a waiting background request in favour of an interactive one."""
        if call.priority is Priority.BACKGROUND:
            return False
        victim = self.waiting.last_background()
        if victim is None:
            return False
        self.waiting.remove(victim)
        self._displaced.append(victim)
        return True
