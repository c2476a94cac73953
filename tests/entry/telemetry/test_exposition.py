"""Metrics in the Prometheus text format, read by the parser of its client."""

import random

import pytest
from prometheus_client.parser import text_string_to_metric_families

from cairnferry.entry.telemetry import _exposition
from cairnferry.entry.telemetry._metrics import BOUNDS_S, Durations, Metrics


def service(**attempts):
    return {
        "attempts": attempts,
        "repeats_denied": 2,
        "hung": 3,
        "retry_tokens": 1.5,
        "reported_load": 0.7,
        "zones": {"hall": 3, "yard": 2},
        "overload_by_rank": {"1": 6},
        "paths": {"broken_s": None, "quiet_s": 0.25},
    }


@pytest.fixture
def document():
    """Return a state dump with entries in each part."""
    metrics = Metrics()
    for number in range(1000):
        metrics.note_answer("svc", "relayed", 0.001 * number)
    metrics.note_request("svc", True, "relayed", "-")
    metrics.note_request("svc", False, "not-run", "overload")
    metrics.note_wait("svc", 0.002)
    metrics.note_cause("overload")
    metrics.note_store_call("rules-feed", "nothing")
    metrics.probes["healthy"] = 12_345_678
    metrics.faulty_rows["targets"] = 6
    metrics.target_crashes["svc"] = 4
    metrics.quarantine["blocked"] = 2
    metrics.limits["named"] = 3
    metrics.cut["at-target"] = 9
    metrics.task_restarts["Follower.run"] = 2
    waits = Durations()
    waits.record(0.01)
    return {
        "metrics": metrics.snapshot(),
        "connections": {
            "callers": 7,
            "callers_refused": 15,
            "requests_ahead": 5,
            "targets": {"idle": 1, "opened": 2, "lost": 3},
        },
        "table_ages_s": {"targets": 21.5},
        "memory": {
            "held": {"body": 11, "answer": 13},
            "refused": {"body": 12, "answer": 14},
            "limit": 99,
            "peak": 25,
            "closed": {"memory": 3},
        },
        "members": [{"state": "alive"}, {"state": "alive"}, {"state": "gone"}],
        "peers": {"sent_bytes": 10},
        "called_bytes": {"heartbeat far": 8, "heartbeat near": 9},
        "services": {"svc": service(first=4, hedge=1)},
        "confirmed_head_age_s": 0.5,
        "blocked_requests": [{"content": "c"}],
        "evacuated": ["hall"],
        "limits": {"i-1": {"per_s": 2.6, "sent": 7}},
        "workspace_limits": {
            "owned": [],
            "requests": [{"workspace": "a b", "outcome": "over-limit", "count": 8}],
            "calls": {"answered": 11},
            "wait_s": waits.buckets(),
        },
        "target_words": {"resting_s": {"i-2": 1.5}, "leaving": ["i-3"]},
        "log_lines_dropped": 0,
        "revision": 9,
    }


def read(document):
    families = text_string_to_metric_families(_exposition.render_metrics(document))
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in families
        for sample in family.samples
    }


def test_exported_values_equal_the_counters(document):
    values = read(document)
    expected = {
        ("requests_total", "-", "allowed", "relayed", "svc"): 1,
        ("requests_total", "never", "not-run", "overload", "svc"): 1,
        ("given_up_total", "overload"): 1,
        ("targets_ended_total", "svc"): 4,
        ("quarantine_events_total", "blocked"): 2,
        ("blocked_requests",): 1,
        ("limit_events_total", "named"): 3,
        ("target_limit", "i-1"): 2.6,
        ("limited_requests_total", "i-1"): 7,
        ("workspace_requests_total", "a b", "over-limit"): 8,
        ("limit_calls_total", "answered"): 11,
        ("token_wait_seconds_count",): 1,
        ("probes_total", "healthy"): 12_345_678,
        ("store_calls_total", "nothing", "rules-feed"): 1,
        ("attempts_total", "hedge", "svc"): 1,
        ("repeats_denied_total", "svc"): 2,
        ("hung_attempts_total", "svc"): 3,
        ("reported_load", "svc"): 0.7,
        ("zone_attempts_total", "svc", "yard"): 2,
        ("overload_refusals_total", "1", "svc"): 6,
        ("bodies_bytes",): 11,
        ("bodies_refused_total",): 12,
        ("held_bytes", "body"): 11,
        ("held_bytes", "answer"): 13,
        ("held_limit_bytes",): 99,
        ("caller_connections_refused_total",): 15,
        ("held_peak_bytes",): 25,
        ("memory_refusals_total", "body"): 12,
        ("memory_refusals_total", "answer"): 14,
        ("callers_closed_total", "memory"): 3,
        ("paths_broken_seconds", "svc"): 0,
        ("paths_quiet_seconds", "svc"): 0.25,
        ("repeats_left", "svc"): 1.5,
        ("requests_cut_total", "at-target"): 9,
        ("target_connections_opened_total",): 2,
        ("target_connections_lost_total",): 3,
        ("caller_connections",): 7,
        ("requests_ahead_total",): 5,
        ("faulty_rows_total", "targets"): 6,
        ("members", "alive"): 2,
        ("members", "gone"): 1,
        ("peer_sent_bytes_total",): 10,
        ("peer_called_bytes_total", "far", "heartbeat"): 8,
        ("peer_called_bytes_total", "heartbeat", "near"): 9,
        ("rules_age_seconds",): 0.5,
        ("revision",): 9,
        ("wait_seconds_count", "svc"): 1,
    }
    for (name, *labels), value in expected.items():
        assert values[f"cairnferry_{name}", *labels] == value


def test_rules_age_is_omitted_without_rules(document):
    document["confirmed_head_age_s"] = None
    assert ("cairnferry_rules_age_seconds",) not in read(document)


def test_special_characters_in_labels_are_escaped(document):
    name = 'odd"name\\with\nall'
    document["services"] = {name: service(first=4)}
    assert ("cairnferry_attempts_total", "first", name) in read(document)


def test_buckets_count_durations_up_to_their_bound():
    """The histogram keeps two digits, so a bound is off by at most one hundredth."""
    durations = Durations()
    rng = random.Random(1)
    samples = [rng.expovariate(3.0) for _ in range(2000)]
    for sample in samples:
        durations.record(sample)
    shown = durations.buckets()
    for bound in BOUNDS_S:
        below = sum(sample <= bound * 0.99 for sample in samples)
        above = sum(sample <= bound * 1.01 for sample in samples)
        assert below <= shown["buckets"][f"{bound:g}"] <= above
    assert shown["buckets"]["+Inf"] == shown["count"] == len(samples)
    assert shown["sum"] == pytest.approx(sum(samples), abs=1e-5)


def test_duration_above_the_histogram_range_counts_as_maximum():
    durations = Durations()
    durations.record(3600.0)
    assert durations.buckets()["buckets"] == {
        **{f"{bound:g}": 0 for bound in BOUNDS_S},
        "+Inf": 1,
    }
