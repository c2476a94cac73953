"""Rows of followed tables that cannot be read: counted, and told up to a rate."""

import logging

import attrs

from cairnferry.entry.telemetry._logs import RateLimit
from cairnferry.entry.telemetry._metrics import Metrics

log = logging.getLogger(__name__)


@attrs.define
class FaultyRows:
    """Takes note of rows that another writer has made, or that are damaged.

    Such a row names nothing to use, and the others hold. It shows in the log and in
    the metrics alone; a line for each of many would fill the log.

    Parameters
    ----------
    metrics : Metrics
        Counts them.
    """

    metrics: Metrics
    _limit: RateLimit = attrs.field(factory=RateLimit)

    def note(self, table: str, row: str, why: str) -> None:
        """Count a row, and write a line if the rate allows it."""
        self.metrics.faulty_rows[table] += 1
        if self._limit.allows():
            left_out = self._limit.take_left_out()
            extra = {"table": table, "row": row, "why": why, "left_out": left_out}
            log.warning("row cannot be read", extra=extra)
