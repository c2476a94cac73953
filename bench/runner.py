"""Runs a case through a group of daemons and measures it."""

import collections
import json
import math
import time

import attrs
import gevent

from bench.cases import EVENT_AT_S, HEALTHY, JUDGED_FROM_S, SECONDS
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
SETTLE_S = 0.7
LOST_MS = 9999.0


@attrs.define
class Bench:
    """Targets, and a group of daemons for each strategy in front of them.

    Parameters
    ----------
    system : LocalSystem
        The processes.
    size : Size
        Targets.
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
        """Start daemons that use a strategy."""
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

    def serve(self) -> None:
        """Publish everything and submit the records."""
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

    def run(self, case, strategy: str, seed: int, seconds: float = SECONDS) -> dict:
        """Run a case; give its figures as plain values."""
        for target in self.system.targets.values():
            target.read("http", "/_control", HEALTHY)
        gevent.sleep(SETTLE_S)
        group = self.groups[strategy]
        before = self._counters(group)
        loads = self._start_loads(case, group, seed, seconds)
        events = gevent.spawn(self._play, case)
        summaries = [json.loads(load.communicate()[0]) for load in loads]
        events.kill()
        after = self._counters(group)
        paths = [self._timeline(index) for index in range(len(loads))]
        return figures(case, paths, summaries, before, after, seconds)

    def _timeline(self, index):
        return self.system.folder / f"timeline-{index}.json"

    def _start_loads(self, case, group, seed, seconds):
        """Start callers in each zone; background ones are a load of their own."""
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
            timeline=self._timeline(index),
        )

    def _play(self, case):
        start = time.monotonic() + LOAD_START_S
        for event in case.events:
            gevent.sleep(max(0.0, start + event.at - time.monotonic()))
            for target in list(self.system.targets.values())[event.targets]:
                target.read("http", "/_control", event.behaviour)

    def _counters(self, group):
        """Add up what daemons and targets have counted so far."""
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


LOAD_START_S = 0.35


def figures(case, paths, summaries, before, after, seconds) -> dict:
    """Work out the figures of a run.

    Latencies are those of requests that were due one second after the events of
    the case, or after the warm-up, and later.
    """
    interactive = [_read(path) for path in paths[:2]]
    judged_from = JUDGED_FROM_S if case.events else EVENT_AT_S
    records = [r for part in interactive for r in part if r[0] >= judged_from]
    good = sorted(elapsed for _, elapsed, told in records if told == "ok")
    refused = sorted(elapsed for _, elapsed, told in records if told == "not-run")
    # A request that failed never got its answer. Left out, a strategy that loses
    # the slow ones would show the shortest tail.
    failed = len(records) - len(good) - len(refused)
    answered = good + [math.inf] * failed
    sent = sum(summary["sent"] for summary in summaries)
    delta = {key: after[key] - before[key] for key in after}
    attempts = sum(v for k, v in delta.items() if k.startswith("attempts"))
    seen = {k[5:]: v for k, v in delta.items() if k.startswith("seen")}
    return {
        "requests": sent,
        "judged": len(records),
        "p50_ms": _quantile(answered, 0.5),
        "p99_ms": _quantile(answered, 0.99),
        "p999_ms": _quantile(answered, 0.999),
        "goodput": len(good) / (seconds - judged_from),
        "failed": failed,
        "refused": len(refused),
        "refused_p99_ms": _quantile(refused, 0.99),
        "attempts": attempts / max(1, sent),
        "probes": delta["target_probes"] / max(1, sent),
        "measuring_bytes": delta["measuring_bytes"] / max(1, sent),
        "cpu_us": delta["cpu_s"] / max(1, sent) * 1e6,
        "first_target_share": seen.get("t00", 0) / max(1, sum(seen.values())),
        "without_retry_after": sum(
            s["given_up_without_retry_after"] for s in summaries
        ),
    }


def _read(path):
    return json.loads(path.read_text())


def _quantile(values, share):
    """Give a quantile of sorted seconds, in milliseconds.

    LOST_MS stands for the time of requests that were never answered.
    """
    if not values:
        return None
    index = min(len(values) - 1, math.ceil(share * len(values)) - 1)
    value = values[max(0, index)]
    return LOST_MS if math.isinf(value) else round(value * 1000, 2)
