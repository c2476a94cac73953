"""Conversion of a state dump to metrics in the Prometheus text format."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class Sample:
    """One sample of a metric family.

    Attributes
    ----------
    value : float
        Value of the sample.
    labels : dict of str to str
        Labels of the sample.
    suffix : str
        Suffix of the family's name, used by histograms.
    """

    value: float
    labels: dict[str, str] = attrs.field(factory=dict)
    suffix: str = ""


def render_metrics(document: dict) -> str:
    """Convert a state dump to the text format.

    Parameters
    ----------
    document : dict
        State dump, as returned by `StateView.dump`.
    """
    lines = []
    for name, metric_type, samples in _families(document):
        rows = [_line(name, sample) for sample in samples]
        if rows:
            lines += [f"# TYPE cairnferry_{name} {metric_type}", *rows]
    return "\n".join(lines) + "\n"


def _line(name, sample):
    labels = ",".join(f'{key}="{_escape(v)}"' for key, v in sample.labels.items())
    braces = f"{{{labels}}}" if labels else ""
    return f"cairnferry_{name}{sample.suffix}{braces} {sample.value!r}"


def _escape(value):
    return str(value).replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _families(document):
    """Yield name, type and samples of each family."""
    metrics = document["metrics"]
    targets = document["connections"]["targets"]
    yield (
        "requests_total",
        "counter",
        _counted(metrics["requests"], "service", "repeats", "outcome", "cause"),
    )
    yield (
        "answers_total",
        "counter",
        _counted(metrics["outcomes"], "service", "outcome"),
    )
    yield "given_up_total", "counter", _counted(metrics["causes"], "cause")
    yield "probes_total", "counter", _counted(metrics["probes"], "result")
    yield (
        "store_calls_total",
        "counter",
        _counted(metrics["store_calls"], "kind", "result"),
    )
    yield "store_era", "gauge", [Sample(metrics["store_era"])]
    faulty = _counted(metrics["faulty_rows"], "table")
    yield "faulty_rows_total", "counter", faulty
    crashes = _counted(metrics["target_ends"], "service")
    yield "targets_ended_total", "counter", crashes
    events = _counted(metrics["quarantine"], "event")
    yield "quarantine_events_total", "counter", events
    limit_events = _counted(metrics["limits"], "event")
    yield "limit_events_total", "counter", limit_events
    limits = document["limits"]
    yield "target_limit", "gauge", _by_target(limits, "per_s")
    yield "limited_requests_total", "counter", _by_target(limits, "sent")
    workspaces = document["workspace_limits"]
    yield "workspace_requests_total", "counter", _by_workspace(workspaces["requests"])
    yield "limit_calls_total", "counter", _counted(workspaces["calls"], "outcome")
    yield "token_wait_seconds", "histogram", _token_waits(workspaces["wait_s"])
    advisory_counts = _counted(metrics["target_words"], "word")
    yield "target_words_total", "counter", advisory_counts
    advisories = document["target_words"]
    backing_off = [Sample(s, {"target": t}) for t, s in advisories["resting_s"].items()]
    yield "target_resting_seconds", "gauge", backing_off
    leaving = [Sample(1, {"target": target}) for target in advisories["leaving"]]
    yield "target_leaving", "gauge", leaving
    zones = [Sample(1, {"zone": zone}) for zone in document["evacuated"]]
    yield "zone_evacuated", "gauge", zones
    yield "request_seconds", "histogram", _histograms(metrics["latency_s"])
    yield "wait_seconds", "histogram", _histograms(metrics["wait_s"])
    yield "attempts_total", "counter", _attempts(document["services"])
    services = document["services"]
    yield "repeats_denied_total", "counter", _by_service(services, "repeats_denied")
    yield "reported_load", "gauge", _by_service(services, "reported_load")
    zones = _by_service_and(services, "zones", "zone")
    yield "zone_attempts_total", "counter", zones
    ranks = _by_service_and(services, "overload_by_rank", "rank")
    yield "overload_refusals_total", "counter", ranks
    yield "hung_attempts_total", "counter", _by_service(services, "hung")
    yield "repeats_left", "gauge", _by_service(services, "retry_tokens")
    detours = _counted(metrics["detours"], "direction", "outcome")
    yield "detours_total", "counter", detours
    yield "requests_cut_total", "counter", _counted(metrics["cut"], "stage")
    yield "paths_broken_seconds", "gauge", _by_paths(services, "broken_s")
    yield "paths_quiet_seconds", "gauge", _by_paths(services, "quiet_s")
    yield "target_connections_opened_total", "counter", [Sample(targets["opened"])]
    yield "target_connections_lost_total", "counter", [Sample(targets["lost"])]
    yield "target_connections_idle", "gauge", [Sample(targets["idle"])]
    callers = document["connections"]["callers"]
    yield "caller_connections", "gauge", [Sample(callers)]
    refused = document["connections"]["callers_refused"]
    yield "caller_connections_refused_total", "counter", [Sample(refused)]
    ahead = document["connections"]["requests_ahead"]
    yield "requests_ahead_total", "counter", [Sample(ahead)]
    memory = document["memory"]
    yield "bodies_bytes", "gauge", [Sample(memory["held"]["body"])]
    yield "bodies_refused_total", "counter", [Sample(memory["refused"]["body"])]
    yield "held_bytes", "gauge", _counted(memory["held"], "kind")
    limit = memory["limit"]
    yield "held_limit_bytes", "gauge", [] if limit is None else [Sample(limit)]
    yield "held_peak_bytes", "gauge", [Sample(memory["peak"])]
    refused = _counted(memory["refused"], "kind")
    yield "memory_refusals_total", "counter", refused
    yield "callers_closed_total", "counter", _counted(memory["closed"], "cause")
    yield "members", "gauge", _counted(_by_state(document["members"]), "state")
    for name, count in document["peers"].items():
        yield f"peer_{name}_total", "counter", [Sample(count)]
    called = _counted(document["called_bytes"], "kind", "zone")
    yield "peer_called_bytes_total", "counter", called
    table_ages = _counted(document["table_ages_s"], "table")
    yield "table_age_seconds", "gauge", table_ages
    restarts = _counted(metrics["task_restarts"], "task")
    yield "task_restarts_total", "counter", restarts
    age = document["confirmed_head_age_s"]
    yield "rules_age_seconds", "gauge", [] if age is None else [Sample(age)]
    yield "cpu_seconds_total", "counter", [Sample(metrics["cpu_s"])]
    yield "memory_peak_bytes", "gauge", [Sample(metrics["max_rss_kb"] * 1024)]
    yield "blocked_requests", "gauge", [Sample(len(document["blocked_requests"]))]
    dropped = document["log_lines_dropped"]
    yield "log_lines_dropped_total", "counter", [Sample(dropped)]
    yield "revision", "gauge", [Sample(document["revision"])]


def _counted(counts, *names) -> Iterator[Sample]:
    """Yield a sample for each key, whose parts are separated by spaces."""
    for key, count in counts.items():
        yield Sample(count, dict(zip(names, key.split(" "), strict=True)))


def _attempts(services):
    for service, state in services.items():
        for kind, count in state["attempts"].items():
            yield Sample(count, {"service": service, "kind": kind})


def _by_service(services, field):
    for service, state in services.items():
        yield Sample(state[field], {"service": service})


def _by_service_and(services, field, label):
    """Yield a sample for each service and each key of one of its fields."""
    for service, state in services.items():
        for key, count in state[field].items():
            yield Sample(count, {"service": service, label: key})


def _by_paths(services, field):
    for service, state in services.items():
        yield Sample(state["paths"][field] or 0, {"service": service})


def _by_target(limits, field):
    for target, state in limits.items():
        yield Sample(state[field], {"target": target})


def _histograms(by_service):
    for service, histogram in by_service.items():
        for bound, count in histogram["buckets"].items():
            yield Sample(count, {"service": service, "le": bound}, "_bucket")
        yield Sample(histogram["sum"], {"service": service}, "_sum")
        yield Sample(histogram["count"], {"service": service}, "_count")


def _by_workspace(rows):
    for row in rows:
        labels = {"workspace": row["workspace"], "outcome": row["outcome"]}
        yield Sample(row["count"], labels)


def _token_waits(histogram):
    if not histogram["count"]:
        return
    for bound, count in histogram["buckets"].items():
        yield Sample(count, {"le": bound}, "_bucket")
    yield Sample(histogram["sum"], {}, "_sum")
    yield Sample(histogram["count"], {}, "_count")


def _by_state(members):
    counts = {}
    for member in members:
        counts[member["state"]] = counts.get(member["state"], 0) + 1
    return counts
