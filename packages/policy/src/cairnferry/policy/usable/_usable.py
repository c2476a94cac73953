"""Lists of usable targets, rebuilt only when they may change.

All daemons order the targets of a zone in the same ring, and each daemon starts at its
own position. Each daemon thus checks the same few targets first, over existing
connections and with recent data about them. The daemons of a zone start at evenly
spread positions, and continue along the ring if the targets there are busy.
"""

import enum
import math
import zlib
from collections.abc import Callable

import attrs

from cairnferry.policy.targets import TargetState
from cairnferry.records import Lifecycle


class Reason(enum.StrEnum):
    """Reason why a target is out of use."""

    DRAINING = "draining"
    EVACUATED = "evacuated"
    BACKING_OFF = "resting"
    EJECTED = "ejected"
    PAUSED = "paused"


@attrs.define
class UsableTargets:
    """Lists of usable targets, cached until an event or a time changes them.

    Parameters
    ----------
    zone : str
        Own availability zone.
    ring_position : float
        Position on the ring where this daemon starts, 0 to 1.

    Attributes
    ----------
    evacuated : frozenset of str
        Availability zones whose targets get no requests.
    ejected : list of TargetState
        Targets that are out of use because they are ejected, for no earlier reason.
    """

    zone: str
    ring_position: float = 0.0
    evacuated: frozenset[str] = frozenset()
    ejected: list[TargetState] = attrs.field(factory=list)
    _near: list[TargetState] = attrs.field(factory=list)
    _far: list[TargetState] = attrs.field(factory=list)
    _valid_until: float = -math.inf

    def invalidate(self) -> None:
        """Rebuild the lists at the next use."""
        self._valid_until = -math.inf

    def lists(
        self, targets: dict[str, TargetState], now: float
    ) -> tuple[list[TargetState], list[TargetState]]:
        """Return the usable targets of the own zone, and those of other zones.

        Both are in the order of their status checks.
        """
        if now >= self._valid_until:
            self._rebuild(targets, now)
        return self._near, self._far

    def trial_candidates(
        self, targets: dict[str, TargetState], now: float
    ) -> list[TargetState]:
        """Return the ejected targets that are out of use for no other reason."""
        self.lists(targets, now)
        return self.ejected

    def _rebuild(self, targets, now):
        self._near = []
        self._far = []
        self.ejected = []
        self._valid_until = math.inf
        ring = sorted(targets.values(), key=_ring_key)
        near = [target for target in ring if target.record.zone == self.zone]
        far = [target for target in ring if target.record.zone != self.zone]
        for target in (*self._from_position(near), *self._from_position(far)):
            self._classify(target, now)

    def _from_position(self, ring):
        """Rotate a ring to the own position, counted over all targets, used or not.

        A target that is out of use for a moment thus does not move any position.
        """
        first = int(self.ring_position * len(ring))
        return ring[first:] + ring[:first]

    def _classify(self, target, now):
        for reason, until_of in _REASONS.items():
            until = until_of(target, self)
            if until > now:
                self._rebuild_at(until, now)
                if reason is Reason.EJECTED:
                    self.ejected.append(target)
                return
        if target.record.zone == self.zone:
            self._near.append(target)
        else:
            self._far.append(target)

    def is_out_until(self, target: TargetState, time: float) -> bool:
        """Return whether a target is known to be out of use until after a time."""
        return any(_REASONS[reason](target, self) > time for reason in _LONG_REASONS)

    def out_of_use_reason(self, target: TargetState, now: float) -> str | None:
        """Return the first reason why a target is out of use; None if it is in use."""
        reasons = (r for r, until in _REASONS.items() if until(target, self) > now)
        return next(reasons, None)

    def _rebuild_at(self, time, now):
        if time > now:
            self._valid_until = min(self._valid_until, time)


def _draining_until(target, _usable):
    if target.record.lifecycle is Lifecycle.DRAINING:
        return math.inf
    return max(target.draining_until.values(), default=-math.inf)


def _evacuated_until(target, usable):
    return math.inf if target.record.zone in usable.evacuated else -math.inf


def _back_off_until(target, _usable):
    return target.back_off_until


def _ejected_until(target, _usable):
    # An ejected target returns after a trial, not at a fixed time.
    return math.inf if target.ejected_until else -math.inf


def _paused_until(target, _usable):
    return target.paused_until


# Time in seconds until which each reason applies. The first one that applies decides:
# an ejected target gets no trial while a reason listed before keeps it out of use.
_REASONS: dict[Reason, Callable[[TargetState, UsableTargets], float]] = {
    Reason.DRAINING: _draining_until,
    Reason.EVACUATED: _evacuated_until,
    Reason.BACKING_OFF: _back_off_until,
    Reason.EJECTED: _ejected_until,
    Reason.PAUSED: _paused_until,
}
# Reasons that a request does not wait for, unless their end is known to come in time.
_LONG_REASONS = (Reason.DRAINING, Reason.EVACUATED, Reason.BACKING_OFF)


def _ring_key(target):
    """Return the sort key on the ring: independent of names, equal at each daemon."""
    return zlib.crc32(target.identity.encode())
