"""Decision on the requests that arrive while a daemon stops."""

import math

import attrs

from cairnferry.policy.departure._longest_times import LongestTimes
from cairnferry.policy.requests import Call

# Seconds before the end by which a request has to be finished, so that its answer is
# still written.
ANSWER_S = 0.1
# Seconds after the listener has closed in which the first request of a connection is
# not late: the connection was opened just before.
FIRST_REQUEST_S = 0.1


@attrs.frozen
class LeavingTimes:
    """Durations of the phases of a daemon's departure.

    Attributes
    ----------
    serve_s : float
        Seconds for which it still accepts new connections, as callers have cached old
        steering answers.
    limit_s : float
        Further seconds for requests in progress to finish.
    """

    serve_s: float
    limit_s: float


@attrs.define
class Departure:
    """Decides which requests a daemon that stops still takes.

    A request that is taken and then cut has cost its caller all of that time, and one
    that is not idempotent cannot be repeated. A request that is refused can be sent to
    another daemon at once.

    ===================  =======================================================
    request              is taken if it is finished in time
    ===================  =======================================================
    not idempotent       even if it takes until its deadline
    late                 even if it takes until its deadline
    any other            judged by the longest time that its route took lately
    ===================  =======================================================

    Parameters
    ----------
    times : LeavingTimes
        Durations of the phases.
    longest : LongestTimes, optional
        Times that the requests of each route took.

    Attributes
    ----------
    began_at : float
        Time in seconds at which the daemon was told to stop; infinite before.
    has_ended : bool
        Whether the last request is finished, so that the daemon ends before its time.
    """

    times: LeavingTimes
    longest: LongestTimes = attrs.field(factory=LongestTimes)
    began_at: float = math.inf
    has_ended: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether the daemon was told to stop."""
        return self.began_at < math.inf

    @property
    def serves_until(self) -> float:
        """Time in seconds at which the listener closes."""
        return self.began_at + self.times.serve_s

    @property
    def ends_at(self) -> float:
        """Time in seconds at which the requests that are left are cut."""
        return self.serves_until + self.times.limit_s

    def begin(self, now: float) -> None:
        """Begin to stop; a second call changes nothing.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        self.began_at = min(self.began_at, now)

    def end(self) -> None:
        """Take no further request."""
        self.has_ended = True

    def is_late(self, is_first: bool, now: float) -> bool:
        """Return whether a request that was read now is late.

        Parameters
        ----------
        is_first : bool
            Whether it is the first one of its connection.
        now : float
            Time in seconds.
        """
        return now > self.serves_until + (FIRST_REQUEST_S if is_first else 0.0)

    def takes(self, call: Call, now: float) -> bool:
        """Return whether a request is taken, or sent to its first target.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Time in seconds.
        """
        if self.has_ended:
            return False
        if not self.has_begun:
            return True
        finish_by = self.ends_at - ANSWER_S
        if call.deadline <= finish_by:
            return True
        if call.is_late or not call.idempotent:
            return False
        return now + self.longest.seconds(call.route) <= finish_by
