"""Rows that targets write of themselves, as they are read one by one."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent
from expression import Ok, Result

from cairnferry.coordination import Row
from cairnferry.entry._ports import DecodeFault
from cairnferry.entry.telemetry import FaultyRows
from cairnferry.records import Target

# Seconds after which a row of an earlier start is believed: several times the interval
# at which a living target writes its row.
DOUBT_S = 5.0
# Names of targets of which the latest start is kept in mind, also after their rows were
# removed: several times the targets of the largest installation.
MAX_STARTS = 20_000

log = logging.getLogger(__name__)


@attrs.define
class TargetRows:
    """Turns rows into targets, each row once.

    Parameters
    ----------
    decode : callable
        Reads a row, by its name and bytes.
    faulty_rows : FaultyRows
        Counts and logs rows that cannot be read.
    take_again : callable
        Called with all rows once one of them is to be read in another way.

    Attributes
    ----------
    in_force : dict of str to Target
        Targets by the names of their rows.
    warm_at : dict of str to float
        Monotonic times in seconds to which those are cold whose rows say so.
    """

    decode: Callable[[str, bytes], Result[Target, DecodeFault]]
    faulty_rows: FaultyRows
    take_again: Callable[[dict[str, Row]], None]
    in_force: dict[str, Target] = attrs.field(factory=dict)
    warm_at: dict[str, float] = attrs.field(factory=dict)
    _rows: dict[str, Row] = attrs.field(factory=dict)
    _starts: dict[str, int] = attrs.field(factory=dict)

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Take in all rows, by name."""
        targets = {}
        for key, row in rows.items():
            if self._rows.get(key) is row:
                target = self.in_force.get(key)
            else:
                target = self._read(key, row.value)
            if target is not None:
                targets[key] = target
        self._log_changes(targets)
        self.warm_at = {k: at for k, at in self.warm_at.items() if k in targets}
        self.in_force = targets
        self._rows = rows

    def _read(self, key, value):
        """Read a row; None if it cannot be read, and names no target to use."""
        decoded = self.decode(key, value)
        if decoded.is_error():
            self.faulty_rows.note("targets", key, str(decoded.error))
            return None
        target = decoded.ok
        known = self._starts.get(key, 0)
        if target.started_ms < known:
            # A write of the earlier start that was under way when it ended. Taken, it
            # would send requests to an address where that start no longer is.
            log.info("row of an earlier start", extra={"target": key, "known": known})
            gevent.spawn_later(DOUBT_S, self._trust, key, target)
            return self.in_force.get(key)
        self._starts[key] = target.started_ms
        self.warm_at.pop(key, None)
        if target.warmup_s:
            self.warm_at[key] = time.monotonic() + target.warmup_s
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        return target

    def _trust(self, key, target):
        """Take a row of an earlier start after all, if it still stands.

        A living target would have written over it by now. One whose clock was set
        back before it started again would else never be used.
        """
        row = self._rows.get(key)
        if row is None or self.decode(key, row.value) != Ok(target):
            return
        self._starts[key] = 0
        rows = dict(self._rows)
        del self._rows[key]
        self.take_again(rows)

    def _log_changes(self, targets):
        before = {target.identity: target for target in self.in_force.values()}
        after = {target.identity: target for target in targets.values()}
        came = sorted(after.keys() - before.keys())
        went = sorted(before.keys() - after.keys())
        changed = sorted(
            identity
            for identity, target in after.items()
            if before.get(identity, target).lifecycle is not target.lifecycle
        )
        if came or went or changed:
            log.info(
                "targets", extra={"came": came, "went": went, "lifecycle": changed}
            )
