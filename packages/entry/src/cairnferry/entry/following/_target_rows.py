"""Decoding of the rows that targets write about themselves."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent
from expression import Ok, Result

from cairnferry.coordination import Row
from cairnferry.entry._ports import DecodeFault
from cairnferry.entry.telemetry import FaultyRowLog
from cairnferry.records import Target

# Seconds after which a row with an earlier start time is accepted: several times the
# interval at which a live target writes its row.
EARLIER_START_S = 5.0
# Targets whose latest start time is remembered, including those whose rows were
# removed: several times the number of targets of the largest installation.
MAX_STARTS = 20_000

log = logging.getLogger(__name__)


@attrs.define
class TargetRows:
    """Decodes rows into targets, each row once.

    Parameters
    ----------
    decode : callable
        Decodes a row, given its name and bytes.
    faulty_rows : FaultyRowLog
        Counts and logs rows that cannot be read.
    reapply : callable
        Called with all rows once a row with an earlier start time is accepted.

    Attributes
    ----------
    in_force : dict of str to Target
        Targets in force, by the names of their rows.
    warm_at : dict of str to float
        Monotonic times in seconds at which targets with a warm-up time become warm, by
        the names of their rows.
    """

    decode: Callable[[str, bytes], Result[Target, DecodeFault]]
    faulty_rows: FaultyRowLog
    reapply: Callable[[dict[str, Row]], None]
    in_force: dict[str, Target] = attrs.field(factory=dict)
    warm_at: dict[str, float] = attrs.field(factory=dict)
    _rows: dict[str, Row] = attrs.field(factory=dict)
    _starts: dict[str, int] = attrs.field(factory=dict)

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Apply all rows, by name."""
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
        """Decode a row; return None if it yields no target to use."""
        decoded = self.decode(key, value)
        if decoded.is_error():
            self.faulty_rows.note("targets", key, str(decoded.error))
            return None
        target = decoded.ok
        latest_start = self._starts.get(key, 0)
        if target.started_ms < latest_start:
            # The row is a late write from before the target's restart. Its address may
            # no longer be in use.
            log.info(
                "ignored a target row with an earlier start time",
                extra={"target": key, "known": latest_start},
            )
            gevent.spawn_later(EARLIER_START_S, self._accept_earlier_start, key, target)
            return self.in_force.get(key)
        self._starts[key] = target.started_ms
        self.warm_at.pop(key, None)
        if target.warmup_s:
            self.warm_at[key] = time.monotonic() + target.warmup_s
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        return target

    def _accept_earlier_start(self, key, target):
        """Accept a row with an earlier start time if the store still lists it.

        A live target with the later start time would have overwritten it by now. So
        the target's clock was set back before a restart, and the target would
        otherwise never be used.
        """
        row = self._rows.get(key)
        if row is None or self.decode(key, row.value) != Ok(target):
            return
        self._starts[key] = 0
        rows = dict(self._rows)
        del self._rows[key]
        self.reapply(rows)

    def _log_changes(self, targets):
        before = {target.identity: target for target in self.in_force.values()}
        after = {target.identity: target for target in targets.values()}
        added = sorted(after.keys() - before.keys())
        removed = sorted(before.keys() - after.keys())
        changed = sorted(
            identity
            for identity, target in after.items()
            if before.get(identity, target).lifecycle is not target.lifecycle
        )
        if added or removed or changed:
            log.info(
                "targets", extra={"came": added, "went": removed, "lifecycle": changed}
            )
