"""Wait for the answers to status checks, without the delays of this instance."""

import math

import attrs

from cairnferry.wire import Link

# Longest wait in seconds for the answers to one round of status checks. A healthy
# target answers many times faster; a slower one would not be chosen anyway.
ANSWER_WAIT_S = 0.03
# Seconds after which the delays of this instance are examined, and the shortest wait.
SLICE_S = 0.01
MIN_SLICE_S = 0.001
# Seconds by which the event loop may be late without counting as stalled.
MAX_LATE_S = 0.005
# Late waits that do not count. A check takes two turns of the event loop to connect and
# to send; answers arrive also while the process is stalled, and are read after it.
MAX_LATE_SLICES = 3
# Seconds of the wait in which the link was occupied from which the link counts as in
# use. The checks of a round take some milliseconds themselves on a slow link.
IN_USE_S = 0.015


@attrs.define
class AnswerWait:
    """Measures how long targets could have answered.

    Time in which this daemon's own data occupied the link, or in which its event loop
    was late, does not count: the answers of healthy targets are then late as well.

    Parameters
    ----------
    link : Link
        Link of this instance.
    started : float
        Time in seconds at which the checks were made.
    latest : float
        Time in seconds at which the wait ends although targets could not answer. The
        wait is never shorter than `ANSWER_WAIT_S`.
    """

    link: Link
    started: float
    latest: float = math.inf
    _elapsed: float = attrs.field(default=0.0, init=False)
    _late_slices: int = attrs.field(default=0, init=False)
    _busy: float = attrs.field(default=0.0, init=False)
    _seen_at: float = attrs.field(init=False)
    _seen_busy: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._seen_at = self.started
        self._seen_busy = self.link.busy_seconds(self.started)

    def next_slice(self) -> float:
        """Return the seconds to wait before the next call of `advance`."""
        left = min(SLICE_S, ANSWER_WAIT_S - self._elapsed)
        return max(MIN_SLICE_S, left)

    def advance(self, planned: float, now: float) -> None:
        """Record a wait that has ended.

        Parameters
        ----------
        planned : float
            Seconds that it was to take.
        now : float
            Time in seconds.
        """
        seconds = now - self._seen_at
        busy = self.link.busy_seconds(now)
        is_late = seconds > planned + MAX_LATE_S
        if is_late and self._late_slices < MAX_LATE_SLICES:
            self._late_slices += 1
        else:
            seconds = min(seconds, planned + MAX_LATE_S)
            self._elapsed += max(0.0, seconds - (busy - self._seen_busy))
        self._busy += busy - self._seen_busy
        self._seen_at = now
        self._seen_busy = busy

    @property
    def is_conclusive(self) -> bool:
        """Whether a target that has not answered by now is silent."""
        return self._elapsed >= ANSWER_WAIT_S

    def is_over(self, now: float, any_answered: bool) -> bool:
        """Return whether to wait no longer.

        Parameters
        ----------
        now : float
            Time in seconds.
        any_answered : bool
            Whether the request can be sent to a target that has answered.
        """
        if self.is_conclusive:
            return True
        link_is_in_use = self._busy >= IN_USE_S
        may_end = (any_answered and link_is_in_use) or now >= self.latest
        return may_end and now >= self.started + ANSWER_WAIT_S
