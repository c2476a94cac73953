"""Bound on the requests at a target that may not answer what it cannot queue."""

import attrs

from cairnferry.policy.targets import LoadReport, TargetState


@attrs.define
class QueueBound:
    """Length of the queues that targets of one service are known to have.

    Some targets never answer a request that they cannot queue, nor any further one on
    its connection. A request is therefore only sent where the slots and a queue of the
    known length have room for it. Targets that refuse such requests need no bound.

    Attributes
    ----------
    length : float
        Largest number of waiting requests that a target has reported.
    hangs : bool
        Whether a target has left a request unanswered. Until then, a queue as long as
        the number of slots is assumed: with none, full targets would get no requests
        of services whose targets queue them, and the length would not be learned.
    refuses_overload : bool
        Whether a full target of the service has refused a request.
    """

    length: float = 0.0
    hangs: bool = False
    refuses_overload: bool = False

    def note_report(self, target: TargetState, report: LoadReport, now: float) -> None:
        """Learn from the load that a target reports.

        The report of a target that hangs is ignored, as the requests that it counts may
        include one that it never answers.
        """
        if now >= target.hanging_until:
            self.length = max(self.length, report.in_use - target.record.slots)

    def note_hang(self) -> None:
        """Learn that targets may leave a request unanswered."""
        self.hangs = True

    def note_refusal(self, target: TargetState) -> None:
        """Learn that a target has refused a request for lack of capacity."""
        if target.expected_in_use() >= target.record.slots:
            self.refuses_overload = True

    def has_room(self, target: TargetState, now: float, max_age: float) -> bool:
        """Return whether a target can run or queue one more request.

        Parameters
        ----------
        target : TargetState
            The target.
        now : float
            Time in seconds.
        max_age : float
            Age in seconds up to which the last report of the target is used. Otherwise
            only the requests of this daemon are known.
        """
        if self.refuses_overload:
            return True
        is_known = now - target.reported_at <= max_age
        in_use = target.expected_in_use() if is_known else target.in_flight
        slots = target.record.slots
        queue = self.length if self.hangs else max(self.length, slots)
        return in_use + 1 <= slots + queue
