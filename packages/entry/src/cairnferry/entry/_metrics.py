"""Counters and latency histograms of one daemon."""

import collections
import resource
import time

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def _histogram():
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class Metrics:
    """What a daemon counts.

    Attributes
    ----------
    outcomes : Counter
        Answers to callers by service and outcome.
    causes : Counter
        Answers that the system made itself, by cause.
    probes : Counter
        Probes by result.
    latency : dict of str to HdrHistogram
        Microseconds from a request's arrival to its answer, by service.
    """

    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    causes: collections.Counter = attrs.field(factory=collections.Counter)
    probes: collections.Counter = attrs.field(factory=collections.Counter)
    latency: dict[str, HdrHistogram] = attrs.field(factory=dict)
    started: float = attrs.field(factory=time.monotonic)

    def note_answer(self, service: str, outcome: str, seconds: float) -> None:
        """Count an answer to a caller."""
        self.outcomes[service, outcome] += 1
        histogram = self.latency.get(service)
        if histogram is None:
            histogram = self.latency[service] = _histogram()
        histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))

    def note_cause(self, cause: str) -> None:
        """Count an answer that the system made itself."""
        self.causes[cause] += 1

    def snapshot(self) -> dict:
        """Give the state for a dump, as plain values."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "uptime_s": round(time.monotonic() - self.started, 1),
            "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
            "max_rss_kb": usage.ru_maxrss,
            "outcomes": {
                f"{service} {outcome}": count
                for (service, outcome), count in sorted(self.outcomes.items())
            },
            "causes": dict(sorted(self.causes.items())),
            "probes": dict(sorted(self.probes.items())),
            "latency_us": {
                service: _quantiles(histogram)
                for service, histogram in self.latency.items()
            },
        }


def _quantiles(histogram):
    values = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile)
        for quantile in QUANTILES
    }
    return {"count": histogram.get_total_count(), **values}
