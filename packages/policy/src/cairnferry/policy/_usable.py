"""Which targets may be used, worked out again only when that may differ."""

import math

import attrs

from cairnferry.policy._target import TargetState


@attrs.define
class UsableTargets:
    """Lists of usable targets, kept until an event or a time changes them.

    Parameters
    ----------
    zone : str
        Own availability zone.

    Attributes
    ----------
    ejected : list of TargetState
        Those out of use that are not draining.
    """

    zone: str
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
        """Give the usable targets of the own zone, and those of others."""
        if now >= self._valid_until:
            self._work_out(targets, now)
        return self._near, self._far

    def _work_out(self, targets, now):
        self._near = []
        self._far = []
        self.ejected = []
        self._valid_until = math.inf
        for target in targets.values():
            self._sort_in(target, now)

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
