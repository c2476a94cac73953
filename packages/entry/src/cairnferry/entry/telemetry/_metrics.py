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
# Upper bounds in seconds under which requests are counted together when they are shown:
# from an answer without any work to the longest time that the users' callers give.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0, 12.0)


@attrs.define
class Durations:
    """How long something took, in a histogram of fixed size."""

    total_s: float = 0.0
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def note(self, seconds: float) -> None:
        """Take in one duration."""
        self.total_s += seconds
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_S)))
        self.histogram.record_value(value)

    def quantiles(self) -> dict:
        """Give the count and the usual quantiles in microseconds."""
        values = {
            f"p{quantile:g}": self.histogram.get_value_at_percentile(quantile)
            for quantile in QUANTILES
        }
        return {"count": self.histogram.get_total_count(), **values}

    def buckets(self) -> dict:
        """Give the count up to each bound, the count of all, and the sum in seconds."""
        counts = dict.fromkeys((f"{bound:g}" for bound in BOUNDS_S), 0)
        for item in self.histogram.get_recorded_iterator():
            for bound in BOUNDS_S:
                if item.value_iterated_to <= bound * US_PER_S:
                    counts[f"{bound:g}"] += item.count_at_value_iterated_to
        total = self.histogram.get_total_count()
        counts["+Inf"] = total
        return {"buckets": counts, "count": total, "sum": round(self.total_s, 6)}


def _by_service():
    """Make a histogram for a service when it is first needed."""
    return collections.defaultdict(Durations)


@attrs.define
class Metrics:
    """What a daemon counts.

    Attributes
    ----------
    requests : Counter
        Requests by service, whether they may be repeated, outcome, and cause where
        the answer is one of the system's own.
    outcomes : Counter
        Answers to callers by service and outcome.
    causes : Counter
        Answers that the system made itself, by cause.
    probes : Counter
        Probes by result.
    store_calls : Counter
        Calls to the platform's store by kind and result.
    faulty_rows : Counter
        Rows of the platform's store that could not be read, by table.
    target_ends : Counter
        Targets that ended under requests of this daemon, by service.
    quarantine : Counter
        What was done about requests that end targets, by event.
    limits : Counter
        Limits that targets name, by what happened to them.
    target_words : Counter
        What targets said of themselves: that they want rest or are leaving, and what
        could not be read.
    latency : dict of str to Durations
        From a request's arrival to its answer, by service.
    waits : dict of str to Durations
        From a request's arrival to its first sending, by service.
    store_era : int
        Latest era of the platform's store; 0 if it named none.
    """

    requests: collections.Counter = attrs.field(factory=collections.Counter)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    causes: collections.Counter = attrs.field(factory=collections.Counter)
    probes: collections.Counter = attrs.field(factory=collections.Counter)
    store_calls: collections.Counter = attrs.field(factory=collections.Counter)
    faulty_rows: collections.Counter = attrs.field(factory=collections.Counter)
    target_ends: collections.Counter = attrs.field(factory=collections.Counter)
    quarantine: collections.Counter = attrs.field(factory=collections.Counter)
    limits: collections.Counter = attrs.field(factory=collections.Counter)
    target_words: collections.Counter = attrs.field(factory=collections.Counter)
    latency: dict[str, Durations] = attrs.field(factory=_by_service)
    waits: dict[str, Durations] = attrs.field(factory=_by_service)
    store_era: int = 0
    started: float = attrs.field(factory=time.monotonic)

    def note_answer(self, service: str, outcome: str, seconds: float) -> None:
        """Count an answer to a caller."""
        self.outcomes[service, outcome] += 1
        self.latency[service].note(seconds)

    def note_request(
        self, service: str, idempotent: bool, outcome: str, cause: str
    ) -> None:
        """Count a request that ended; the cause is "-" for an answer of a target."""
        repeats = "allowed" if idempotent else "never"
        self.requests[service, repeats, outcome, cause] += 1

    def note_wait(self, service: str, seconds: float) -> None:
        """Take in how long a request had to wait for its first sending."""
        self.waits[service].note(seconds)

    def note_cause(self, cause: str) -> None:
        """Count an answer that the system made itself."""
        self.causes[cause] += 1

    def note_store_call(self, kind: str, result: str) -> None:
        """Count a call to the platform's store."""
        self.store_calls[kind, result] += 1

    def note_era(self, era: int) -> None:
        """Take in that the platform's store has come back from a copy of itself."""
        self.store_era = era

    def snapshot(self) -> dict:
        """Give the state for a dump, as plain values."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "uptime_s": round(time.monotonic() - self.started, 1),
            "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
            "max_rss_kb": usage.ru_maxrss,
            "requests": _named(self.requests),
            "outcomes": _named(self.outcomes),
            "causes": dict(sorted(self.causes.items())),
            "probes": dict(sorted(self.probes.items())),
            "store_calls": _named(self.store_calls),
            "store_era": self.store_era,
            "faulty_rows": dict(sorted(self.faulty_rows.items())),
            "target_ends": dict(sorted(self.target_ends.items())),
            "quarantine": dict(sorted(self.quarantine.items())),
            "limits": dict(sorted(self.limits.items())),
            "target_words": dict(sorted(self.target_words.items())),
            "latency_us": {
                service: durations.quantiles()
                for service, durations in self.latency.items()
            },
            "latency_s": _buckets(self.latency),
            "wait_s": _buckets(self.waits),
        }


def _named(counter):
    return {" ".join(key): count for key, count in sorted(counter.items())}


def _buckets(by_service):
    return {service: each.buckets() for service, each in by_service.items()}
