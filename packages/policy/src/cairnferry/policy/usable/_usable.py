"""Which targets may be used, worked out again only when that may differ.

All daemons see the targets of a zone in the same ring, and each begins at a place of
its own. So each asks the same few first, over connections that it has, and what it
learnt of them is of use; together the daemons of a zone begin evenly all around, and go
on to the next ones where those they begin at are busy.
"""

import enum
import math
import zlib
from collections.abc import Callable

import attrs

from cairnferry.policy.targets import TargetState
from cairnferry.records import Lifecycle


class Reason(enum.StrEnum):
    """Why a target is out of use."""

    DRAINING = "draining"
    EVACUATED = "evacuated"
    BACKING_OFF = "resting"
    EJECTED = "ejected"
    PAUSED = "paused"


@attrs.define
class UsableTargets:
    """Lists of usable targets, kept until an event or a time changes them.

    Parameters
    ----------
    zone : str
        Own availability zone.
    place : float
        Where on the ring this daemon begins, 0 to 1.

    Attributes
    ----------
    evacuated : frozenset of str
        Availability zones whose targets are sent nothing.
    ejected : list of TargetState
        Those out of use that are not draining.
    """

    zone: str
    ring_position: float = 0.0
    evacuated: frozenset[str] = frozenset()
    ejected: list[TargetState] = attrs.field(factory=list)
    _near: list[TargetState] = attrs.field(factory=list)
    _far: list[TargetState] = attrs.field(factory=list)
    _valid_until: float = -math.inf

    def invalidate(self) -> None:
        """Work the lists out again when they are next needed."""
        self._valid_until = -math.inf

    def lists(
        self, targets: dict[str, TargetState], now: float
    ) -> tuple[list[TargetState], list[TargetState]]:
        """Give the usable targets of the own zone, and those of others.

        Both are in the order in which they are to be asked.
        """
        if now >= self._valid_until:
            self._work_out(targets, now)
        return self._near, self._far

    def trial_candidates(
        self, targets: dict[str, TargetState], now: float
    ) -> list[TargetState]:
        """Give the ejected targets that nothing else keeps out of use."""
        self.lists(targets, now)
        return self.ejected

    def _work_out(self, targets, now):
        self._near = []
        self._far = []
        self.ejected = []
        self._valid_until = math.inf
        ring = sorted(targets.values(), key=_on_ring)
        near = [target for target in ring if target.record.zone == self.zone]
        far = [target for target in ring if target.record.zone != self.zone]
        for target in (*self._from_ring_position(near), *self._from_ring_position(far)):
            self._sort_in(target, now)

    def _from_ring_position(self, ring):
        """Begin at the own place: counted over all, so that a pause moves nobody."""
        first = int(self.ring_position * len(ring))
        return ring[first:] + ring[:first]

    def _sort_in(self, target, now):
        for reason, until_of in _REASONS.items():
            until = until_of(target, self)
            if until > now:
                self._change_at(until, now)
                if reason is Reason.EJECTED:
                    self.ejected.append(target)
                return
        if target.record.zone == self.zone:
            self._near.append(target)
        else:
            self._far.append(target)

    def is_out_until(self, target: TargetState, time: float) -> bool:
        """Tell whether a target takes no request before a time, as is known now."""
        return any(_REASONS[reason](target, self) > time for reason in _LASTING)

    def out_of_use_reason(self, target: TargetState, now: float) -> str | None:
        """Give the first reason for which a target is out of use; None if it is not."""
        reasons = (r for r, until in _REASONS.items() if until(target, self) > now)
        return next(reasons, None)

    def _change_at(self, time, now):
        if time > now:
            self._valid_until = min(self._valid_until, time)


def _draining_until(target, _usable):
    if target.record.lifecycle is Lifecycle.DRAINING:
        return math.inf
    return max(target.draining_until.values(), default=-math.inf)


def _evacuated_until(target, usable):
    return math.inf if target.record.zone in usable.evacuated else -math.inf


def _resting_until(target, _usable):
    return target.back_off_until


def _ejected_until(target, _usable):
    # It comes back by a trial, not by time.
    return math.inf if target.ejected_until else -math.inf


def _paused_until(target, _usable):
    return target.paused_until


# For each reason the time in seconds to which it holds. The first that does decides: an
# ejected target is not tried while any of those above keeps it out of use.
_REASONS: dict[Reason, Callable[[TargetState, UsableTargets], float]] = {
    Reason.DRAINING: _draining_until,
    Reason.EVACUATED: _evacuated_until,
    Reason.BACKING_OFF: _resting_until,
    Reason.EJECTED: _ejected_until,
    Reason.PAUSED: _paused_until,
}
# Reasons whose end is not waited for, unless it is known to come in time.
_LASTING = (Reason.DRAINING, Reason.EVACUATED, Reason.BACKING_OFF)


def _on_ring(target):
    """Spread targets on the ring whatever their names, at each daemon alike."""
    return zlib.crc32(target.identity.encode())
