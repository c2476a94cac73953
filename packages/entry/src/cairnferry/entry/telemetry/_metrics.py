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
# Upper bounds in seconds of the exported histogram buckets, from an answer without any
# work up to the longest time limit that callers set.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0, 12.0)


@attrs.define
class Durations:
    """Durations in a histogram of fixed size."""

    total_s: float = 0.0
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self.total_s += seconds
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_S)))
        self.histogram.record_value(value)

    def quantiles(self) -> dict:
        """Return the count and the quantiles in microseconds."""
        values = {
            f"p{quantile:g}": self.histogram.get_value_at_percentile(quantile)
            for quantile in QUANTILES
        }
        return {"count": self.histogram.get_total_count(), **values}

    def buckets(self) -> dict:
        """Return the count up to each bound, the total, and the sum in seconds."""
        counts = dict.fromkeys((f"{bound:g}" for bound in BOUNDS_S), 0)
        for item in self.histogram.get_recorded_iterator():
            for bound in BOUNDS_S:
                if item.value_iterated_to <= bound * US_PER_S:
                    counts[f"{bound:g}"] += item.count_at_value_iterated_to
        total = self.histogram.get_total_count()
        counts["+Inf"] = total
        return {"buckets": counts, "count": total, "sum": round(self.total_s, 6)}


def _by_service():
    """Return a mapping that creates a service's histogram on first use."""
    return collections.defaultdict(Durations)


@attrs.define
class Metrics:
    """Counters and histograms of a daemon.

    Attributes
    ----------
    requests : Counter
        Requests by service, whether they may be retried, outcome, and cause if the
        load balancer generated the answer itself.
    outcomes : Counter
        Answers to callers by service and outcome.
    causes : Counter
        Answers that the load balancer generated itself, by cause.
    probes : Counter
        Probes by result.
    store_calls : Counter
        Calls to the platform's store by kind and result.
    faulty_rows : Counter
        Rows of the platform's store that could not be decoded, by table.
    target_crashes : Counter
        Targets that crashed while they ran requests of this daemon, by service.
    quarantine : Counter
        Events about requests that crash targets, by event.
    limits : Counter
        Events about limits that targets advertise, by event.
    target_advisories : Counter
        Advisories of targets by kind: back-off, leaving, or an advisory header that
        cannot be parsed.
    detours : Counter
        Requests passed on to peers, and received from them, by outcome.
    cut : Counter
        Requests that the end of this daemon cut, by how far they were.
    latency : dict of str to Durations
        Time from a request's arrival to its answer, by service.
    waits : dict of str to Durations
        Time from a request's arrival to its first attempt, by service.
    task_restarts : Counter
        Tasks that ended early and were started again, by name.
    store_era : int
        Latest era of the platform's store; 0 if it reported none.
    started : float
        Monotonic time in seconds at which the daemon started.
    """

    requests: collections.Counter = attrs.field(factory=collections.Counter)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    causes: collections.Counter = attrs.field(factory=collections.Counter)
    probes: collections.Counter = attrs.field(factory=collections.Counter)
    store_calls: collections.Counter = attrs.field(factory=collections.Counter)
    faulty_rows: collections.Counter = attrs.field(factory=collections.Counter)
    target_crashes: collections.Counter = attrs.field(factory=collections.Counter)
    quarantine: collections.Counter = attrs.field(factory=collections.Counter)
    limits: collections.Counter = attrs.field(factory=collections.Counter)
    target_advisories: collections.Counter = attrs.field(factory=collections.Counter)
    detours: collections.Counter = attrs.field(factory=collections.Counter)
    cut: collections.Counter = attrs.field(factory=collections.Counter)
    task_restarts: collections.Counter = attrs.field(factory=collections.Counter)
    latency: dict[str, Durations] = attrs.field(factory=_by_service)
    waits: dict[str, Durations] = attrs.field(factory=_by_service)
    store_era: int = 0
    started: float = attrs.field(factory=time.monotonic)

    def note_answer(self, service: str, outcome: str, seconds: float) -> None:
        """Count an answer to a caller."""
        self.outcomes[service, outcome] += 1
        self.latency[service].record(seconds)

    def note_request(
        self, service: str, idempotent: bool, outcome: str, cause: str
    ) -> None:
        """Count a finished request; the cause is "-" for an answer from a target."""
        retries = "allowed" if idempotent else "never"
        self.requests[service, retries, outcome, cause] += 1

    def note_wait(self, service: str, seconds: float) -> None:
        """Record how long a request waited for its first attempt."""
        self.waits[service].record(seconds)

    def note_cause(self, cause: str) -> None:
        """Count an answer that the load balancer generated itself."""
        self.causes[cause] += 1

    def note_store_call(self, kind: str, result: str) -> None:
        """Count a call to the platform's store."""
        self.store_calls[kind, result] += 1

    def note_task_restart(self, name: str) -> None:
        """Count a task that ended early and is started again."""
        self.task_restarts[name] += 1

    def note_era(self, era: int) -> None:
        """Record the store's era, which changes when it is restored from a copy."""
        self.store_era = era

    def snapshot(self) -> dict:
        """Return the state for a dump, as plain values."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "uptime_s": round(time.monotonic() - self.started, 1),
            "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
            "max_rss_kb": usage.ru_maxrss,
            "requests": _joined_keys(self.requests),
            "outcomes": _joined_keys(self.outcomes),
            "causes": dict(sorted(self.causes.items())),
            "probes": dict(sorted(self.probes.items())),
            "store_calls": _joined_keys(self.store_calls),
            "store_era": self.store_era,
            "faulty_rows": dict(sorted(self.faulty_rows.items())),
            "target_ends": dict(sorted(self.target_crashes.items())),
            "quarantine": dict(sorted(self.quarantine.items())),
            "limits": dict(sorted(self.limits.items())),
            "detours": _joined_keys(self.detours),
            "cut": dict(sorted(self.cut.items())),
            "task_restarts": dict(sorted(self.task_restarts.items())),
            "target_words": dict(sorted(self.target_advisories.items())),
            "latency_us": {
                service: durations.quantiles()
                for service, durations in self.latency.items()
            },
            "latency_s": _buckets(self.latency),
            "wait_s": _buckets(self.waits),
        }


def _joined_keys(counter):
    return {" ".join(key): count for key, count in sorted(counter.items())}


def _buckets(by_service):
    return {service: each.buckets() for service, each in by_service.items()}
