"""Counting and rate-limited logging of table rows that cannot be decoded."""

import logging

import attrs

from cairnferry.entry.telemetry._logs import RateLimit
from cairnferry.entry.telemetry._metrics import Metrics

log = logging.getLogger(__name__)


@attrs.define
class FaultyRowLog:
    """Counts and logs rows that are damaged or come from another writer.

    Such a row is skipped, and the other rows stay in force. Only the log and the
    metrics show it. Log lines are limited in rate, so that many such rows don't flood
    the log.

    Parameters
    ----------
    metrics : Metrics
        Metrics in which the rows are counted.
    """

    metrics: Metrics
    _limit: RateLimit = attrs.field(factory=RateLimit)

    def note(self, table: str, row: str, why: str) -> None:
        """Count a row, and log it if the rate limit allows it."""
        self.metrics.faulty_rows[table] += 1
        if self._limit.allows():
            suppressed = self._limit.take_suppressed()
            extra = {"table": table, "row": row, "why": why, "left_out": suppressed}
            log.warning("row cannot be read", extra=extra)
