"""Which targets may be used, worked out again only when that may differ.

All daemons see the targets of a zone in the same ring, and each begins at a place of
its own. So each asks the same few first, over connections that it has, and what it
learnt of them is of use; together the daemons of a zone begin evenly all around, and go
on to the next ones where those they begin at are busy.
"""

import math
import zlib

import attrs

from cairnferry.policy._target import TargetState


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
    ejected : list of TargetState
        Those out of use that are not draining.
    """

    zone: str
    place: float = 0.0
    ejected: list[TargetState] = attrs.field(factory=list)
    _near: list[TargetState] = attrs.field(factory=list)
    _far: list[TargetState] = attrs.field(factory=list)
    _valid_until: float = -math.inf

    def forget(self) -> None:
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

    def _work_out(self, targets, now):
        self._near = []
        self._far = []
        self.ejected = []
        self._valid_until = math.inf
        ring = sorted(targets.values(), key=_on_ring)
        near = [target for target in ring if target.record.zone == self.zone]
        far = [target for target in ring if target.record.zone != self.zone]
        for target in (*self._from_place(near), *self._from_place(far)):
            self._sort_in(target, now)

    def _from_place(self, ring):
        """Begin at the own place: counted over all, so that a pause moves nobody."""
        first = int(self.place * len(ring))
        return ring[first:] + ring[:first]

    def _sort_in(self, target, now):
        if target.is_draining(now):
            for until in target.draining_until.values():
                self._change_at(until, now)
        elif target.ejected_until:
            self.ejected.append(target)
        elif target.paused_until > now:
            self._change_at(target.paused_until, now)
        elif target.record.zone == self.zone:
            self._near.append(target)
        else:
            self._far.append(target)

    def _change_at(self, time, now):
        if time > now:
            self._valid_until = min(self._valid_until, time)


def _on_ring(target):
    """Spread targets on the ring whatever their names, at each daemon alike."""
    return zlib.crc32(target.identity.encode())
