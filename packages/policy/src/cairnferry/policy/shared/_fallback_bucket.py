"""Requests of a workspace that a daemon admits while it reaches no owner.

All daemons together admit at most three eighths of the tolerance in this way, which
owners never use.
"""

import math

import attrs

from cairnferry.policy.shared._workspace_bucket import LimitTolerance, WorkspaceLimit

# Share of the tolerance that daemons without an owner use.
FALLBACK_SHARE = 3 / 8
# Requests per window and daemon from which a bucket is used. With fewer, most of the
# daemons have less than one request per window, and take turns.
MIN_BUCKET = 2.0
# Seconds of a daemon's turn, within which it may admit one request.
TURN_S = 1.0


@attrs.define
class FallbackBucket:
    """One daemon's part of the tolerance of one workspace.

    Parameters
    ----------
    tolerance : LimitTolerance
        Tolerance of the limit.

    Notes
    -----
    In a large deployment, a daemon's part is a small fraction of a request per window.
    Tokens must not accumulate: all daemons would use them in the same window. Each
    daemon therefore has a short turn at its own time, and its token expires with it.
    """

    tolerance: LimitTolerance
    _level: float = math.nan
    _updated_at: float = 0.0
    _last_turn: int = -1

    def admit(
        self,
        limit: WorkspaceLimit,
        instances: int,
        position: float,
        now: float,
        wall_time: float,
    ) -> bool:
        """Return whether a request may run, and count it.

        Parameters
        ----------
        limit : WorkspaceLimit
            Limit of the workspace.
        instances : int
            Number of daemons that share the tolerance.
        position : float
            Position of this daemon among them, from 0 to 1.
        now : float
            Monotonic time in seconds.
        wall_time : float
            Time in seconds by a clock that daemons share.
        """
        spare = self.tolerance.spare(limit)
        per_window = FALLBACK_SHARE * spare / instances
        if per_window >= MIN_BUCKET:
            return self._admit_from_level(per_window, now)
        return self._admit_in_turn(per_window, position, wall_time)

    def _admit_from_level(self, per_window, now):
        """Admit from a bucket whose size and gain add up to the part of a window."""
        size = per_window / 2
        if math.isnan(self._level):
            self._level = size
        gained = (now - self._updated_at) * size / self.tolerance.window_s
        self._level = min(size, self._level + gained)
        self._updated_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _admit_in_turn(self, per_window, position, wall_time):
        if per_window <= 0:
            return False
        period = (self.tolerance.window_s + TURN_S) / per_window
        turn, phase = divmod(wall_time + position * period, period)
        if phase >= TURN_S or turn == self._last_turn:
            return False
        self._last_turn = turn
        return True
