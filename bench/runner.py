"""Run a case against a group of daemons and measure it."""

import collections
import json
import math
import time

import attrs
import gevent

from bench.cases import EVENT_AT_S, HEALTHY_BEHAVIOUR, MEASURED_FROM_S, RUN_S
from cairnferry.standins import (
    LocalSystem,
    Process,
    route_v2,
    service_v2,
    target_v2,
    wait_for,
)

SERVICE = "s"
ARCHIVE_PATH = "/archive"
DEADLINE_MS = 1000
ZONES = ("zone-a", "zone-b")
# Seconds between the reset of the targets and the start of the load.
SETTLE_S = 0.7
# Latency that stands for requests without a response, in milliseconds.
UNANSWERED_MS = 9999.0


@attrs.define
class Bench:
    """Targets, and one group of daemons for each strategy.

    Parameters
    ----------
    system : LocalSystem
        System that starts the processes.
    size : Size
        Number and capacity of the targets.
    groups : dict of str to list of Process
        Daemons by strategy.
    """

    system: LocalSystem
    size: object
    groups: dict[str, list[Process]] = attrs.field(factory=dict)

    def start_targets(self) -> None:
        """Start the platform and the targets."""
        self.system.start_platform()
        for index in range(self.size.targets):
            self.system.start_target(
                f"t{index:02}",
                ZONES[index % 2],
                slots=self.size.slots,
                service_ms=self.size.service_ms,
                max_queue=100000,
            )

    def start_group(self, strategy: str, daemons: int, **settings) -> None:
        """Start daemons that use a strategy.

        Parameters
        ----------
        strategy : str
            Name of the strategy, which is also the name of the group.
        daemons : int
            Number of daemons; the availability zones are used in turn.
        **settings
            Further settings of the daemons.
        """
        group = [
            self.system.start_daemon(
                f"{strategy}-{index}",
                ZONES[index % 2],
                policy__strategy=strategy,
                policy__seed=index + 1,
                **settings,
            )
            for index in range(daemons)
        ]
        self.groups[strategy] = group

    def configure(self) -> None:
        """Publish the instances, wait for the daemons and submit the records."""
        wait_for(lambda: self.system.platform.read("http", "/_control") is not None)
        self.system.publish_instances()
        self.system.await_serving()
        self.system.await_members(len(self.system.daemons))
        documents = [
            service_v2(
                SERVICE, DEADLINE_MS, queueLimit=1000, hedging={"enabled": True}
            ),
            route_v2(SERVICE, f"/{SERVICE}", SERVICE),
            route_v2("archive", ARCHIVE_PATH, SERVICE, priority="background"),
        ]
        for target in self.system.targets.values():
            documents.append(
                target_v2(
                    target.name,
                    SERVICE,
                    target.zone,
                    target.addresses["http"],
                    slots=self.size.slots,
                )
            )
        edits = [{"op": "submit", "record": document} for document in documents]
        daemon = next(iter(self.system.daemons.values()))
        change = {"change_id": "bench", "edits": edits}
        daemon.call("operators", "POST", "/v1/changes", change)
        self.system.await_revision(1)

    def run(self, case, strategy: str, seed: int, seconds: float = RUN_S) -> dict:
        """Run a case; return its figures as plain values.

        Parameters
        ----------
        case : Case
            Load and events.
        strategy : str
            Strategy of the group of daemons that receives the load.
        seed : int
            Seed of the load.
        seconds : float
            Duration of the load.
        """
        for target in self.system.targets.values():
            target.read("http", "/_control", HEALTHY_BEHAVIOUR)
        gevent.sleep(SETTLE_S)
        group = self.groups[strategy]
        before = self._counters(group)
        loads = self._start_loads(case, group, seed, seconds)
        events = gevent.spawn(self._apply_events, case)
        summaries = [json.loads(load.communicate()[0]) for load in loads]
        events.kill()
        after = self._counters(group)
        paths = [self._timeline_path(index) for index in range(len(loads))]
        return compute_figures(case, paths, summaries, before, after, seconds)

    def _timeline_path(self, index):
        return self.system.folder / f"timeline-{index}.json"

    def _start_loads(self, case, group, seed, seconds):
        """Start one load in each zone, and a separate one for background requests."""
        rate = case.load * self.size.capacity / len(ZONES)
        loads = []
        for index, zone in enumerate(ZONES):
            entries = [d for d in group if d.zone == zone] or group
            loads.append(
                self._start_load(
                    index, entries, f"GET /{SERVICE}/x", rate, seed + index, seconds
                )
            )
        if case.background:
            rate = case.background * self.size.capacity
            loads.append(
                self._start_load(2, group, f"GET {ARCHIVE_PATH}/x", rate, seed, seconds)
            )
        return loads

    def _start_load(self, index, entries, operations, rate, seed, seconds):
        addresses = ",".join(daemon.addresses["callers"] for daemon in entries)
        return self.system.start_load(
            self.system.folder / f"outcomes-{index}.json",
            entries=addresses,
            service=SERVICE,
            operations=operations,
            rate=round(rate, 2),
            seconds=seconds,
            timeout_ms=DEADLINE_MS,
            seed=seed,
            prefix=f"l{index}",
            steer="no",
            timeline=self._timeline_path(index),
        )

    def _apply_events(self, case):
        start = time.monotonic() + LOAD_STARTUP_S
        for event in case.events:
            gevent.sleep(max(0.0, start + event.at - time.monotonic()))
            for target in list(self.system.targets.values())[event.targets]:
                target.read("http", "/_control", event.behaviour)

    def _counters(self, group):
        """Return the sums of the counters of the daemons and of the targets."""
        total = collections.Counter()
        for daemon in group:
            document = daemon.read("operators", "/v1/dump")
            total["cpu_s"] += document["metrics"]["cpu_s"]
            state = document["services"].get(SERVICE, {})
            for kind, count in state.get("attempts", {}).items():
                total[f"attempts {kind}"] += count
            total["probes"] += sum(document["metrics"]["probes"].values())
        for target in self.system.targets.values():
            document = target.read("http", "/_control")
            total[f"seen {target.name}"] = document["seen"]
            total["measuring_bytes"] += document["measuring_bytes"]
            total["target_probes"] += document["probes"]
        return total


# Assumed seconds from the start of a load process to its first request.
LOAD_STARTUP_S = 0.35


def compute_figures(case, paths, summaries, before, after, seconds) -> dict:
    """Compute the figures of a run.

    Latencies and outcomes are those of interactive requests that were due at
    MEASURED_FROM_S, one second after the events, or later. In a case without events
    they are those of interactive requests that were due after the warm-up.

    Parameters
    ----------
    case : Case
        Case that was run.
    paths : list of pathlib.Path
        Timelines of the loads; the first two are interactive.
    summaries : list of dict
        Summaries of the loads.
    before, after : collections.Counter
        Counters of daemons and targets before and after the run.
    seconds : float
        Duration of the load.

    Returns
    -------
    dict
        Figures by name.
    """
    interactive = [_read_timeline(path) for path in paths[:2]]
    measured_from = MEASURED_FROM_S if case.events else EVENT_AT_S
    records = [r for part in interactive for r in part if r[0] >= measured_from]
    good = sorted(elapsed for _, elapsed, outcome in records if outcome == "ok")
    refused = sorted(elapsed for _, elapsed, outcome in records if outcome == "not-run")
    # A failed request received no response and counts as infinitely slow. If failed
    # requests were skipped, a strategy that loses slow requests would show the lowest
    # tail latency.
    failed = len(records) - len(good) - len(refused)
    latencies = good + [math.inf] * failed
    sent = sum(summary["sent"] for summary in summaries)
    deltas = {key: after[key] - before[key] for key in after}
    attempts = sum(v for k, v in deltas.items() if k.startswith("attempts"))
    seen = {k[5:]: v for k, v in deltas.items() if k.startswith("seen")}
    return {
        "requests": sent,
        "judged": len(records),
        "p50_ms": _quantile_ms(latencies, 0.5),
        "p99_ms": _quantile_ms(latencies, 0.99),
        "p999_ms": _quantile_ms(latencies, 0.999),
        "goodput": len(good) / (seconds - measured_from),
        "failed": failed,
        "refused": len(refused),
        "refused_p99_ms": _quantile_ms(refused, 0.99),
        "attempts": attempts / max(1, sent),
        "probes": deltas["target_probes"] / max(1, sent),
        "measuring_bytes": deltas["measuring_bytes"] / max(1, sent),
        "cpu_us": deltas["cpu_s"] / max(1, sent) * 1e6,
        "first_target_share": seen.get("t00", 0) / max(1, sum(seen.values())),
        "without_retry_after": sum(
            s["given_up_without_retry_after"] for s in summaries
        ),
    }


def _read_timeline(path):
    return json.loads(path.read_text())


def _quantile_ms(values, share):
    """Return a quantile of sorted durations, in milliseconds; None without values.

    Durations are in seconds. UNANSWERED_MS stands for an infinite one, that is, a
    request without a response.
    """
    if not values:
        return None
    index = min(len(values) - 1, math.ceil(share * len(values)) - 1)
    value = values[max(0, index)]
    return UNANSWERED_MS if math.isinf(value) else round(value * 1000, 2)
