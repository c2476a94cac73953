"""Measure how resource use grows, for docs/CAPACITY.md: `make capacity`."""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import resource  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from thrift.protocol.TCompactProtocol import (  # noqa: E402
    TCompactProtocolAcceleratedFactory,
)
from thrift.transport.TTransport import TMemoryBuffer  # noqa: E402

from bench.cases import Size  # noqa: E402
from bench.runner import SERVICE, Bench  # noqa: E402
from cairnferry.coordination import LogRow, Member, MemberState  # noqa: E402
from cairnferry.entry.changelog._configuration import Configuration  # noqa: E402
from cairnferry.entry.targets._services import Services  # noqa: E402
from cairnferry.peers import Heartbeat  # noqa: E402
from cairnferry.peers._generated.peer import ttypes  # noqa: E402
from cairnferry.peers._messages import heartbeat_from_wire, heartbeat_to_wire  # noqa: E402
from cairnferry.policy import (  # noqa: E402
    Answered,
    Call,
    LoadReport,
    Send,
    ServicePolicy,
)
from cairnferry.records import Change, Put, RecordSet, parse_record  # noqa: E402
from cairnferry.standins import (  # noqa: E402
    LocalSystem,
    service_v2,
    target_v1,
    target_v2,
)

# Seconds over which idle daemons are measured.
IDLE_S = 10.0
# Requests a second, and seconds of load at each rate.
RATES = (100, 300, 600)
LOAD_S = 6
# Numbers of daemons.
GROUP_SIZES = (2, 4, 8, 16)
# Idle connections that are opened to measure the memory of one.
CONNECTIONS = 400
# Bytes of a kilobyte in the tables.
KB = 1024
US_PER_S = 1e6


def main() -> int:
    """Measure records, decisions, heartbeats and daemons; print a table for each."""
    _measure_records()
    _measure_decisions()
    _measure_heartbeats()
    _measure_daemons()
    return 0


def _own_rss_bytes():
    """Return the resident memory of this process in bytes."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def _target_document(index):
    make = target_v1 if index % 2 else target_v2
    service = f"s{index % 300}"
    return make(f"target-{index}", service, "zone-a", f"10.0.{index % 250}.1:80")


def _record_set(count):
    edits = [Put(service_v2(f"s{i}", 500), 0) for i in range(300)]
    edits += [Put(_target_document(i), 0) for i in range(count)]
    return RecordSet().apply(1, (Change("c", tuple(edits)),)).ok


def _measure_records():
    print("| records held | memory KB | apply one change ms | snapshot KB, load ms |")
    print("| --- | --- | --- | --- |")
    for count in (100, 1000, 3100, 6200):
        before = _own_rss_bytes()
        records = _record_set(count)
        memory = (_own_rss_bytes() - before) / KB
        services = Services("zone-a", random.Random(1), lambda policy: None)
        configuration = Configuration(services.install, records)
        seconds = []
        for number in range(20):
            change = {
                "change_id": f"x{number}",
                "edits": [{"op": "submit", "record": service_v2(f"new{number}", 1)}],
            }
            started = time.perf_counter()
            configuration.apply(LogRow(records.revision + 1 + number, (change,)))
            seconds.append(time.perf_counter() - started)
        data = records.to_snapshot()
        started = time.perf_counter()
        RecordSet.from_snapshot(data)
        load = time.perf_counter() - started
        print(
            f"| {count} | {memory:.0f} | {statistics.median(seconds) * 1000:.2f} | "
            f"{len(data) / KB:.0f}, {load * 1000:.0f} |",
            flush=True,
        )


def _measure_decisions():
    print("\n| targets of a service | us a request's decisions | memory KB a target |")
    print("| --- | --- | --- |")
    for count in (20, 200):
        targets = [parse_record(_target_document(i)).ok for i in range(count)]
        service = parse_record(service_v2("s0", 1000)).ok
        before = _own_rss_bytes()
        policies = []
        for _ in range(50):
            policy = ServicePolicy(service, "zone-a", random.Random(1))
            policy.update(service, targets, 0.0)
            policies.append(policy)
        memory = (_own_rss_bytes() - before) / KB / 50 / count
        microseconds = _time_decisions(policies[0])
        print(f"| {count} | {microseconds:.1f} | {memory:.2f} |", flush=True)


def _time_decisions(policy):
    """Return the microseconds for a request's decisions, with ten requests in flight.

    A request's decisions are `arrive`, `finished` and `release`.
    """
    now = 100.0
    rounds = 20_000
    in_flight = []
    started = time.perf_counter()
    for _ in range(rounds):
        now += 0.001
        decision = policy.arrive(Call(now, now + 1, True), now)
        if isinstance(decision, Send):
            in_flight.append(decision.attempt)
        if len(in_flight) > 10:
            attempt = in_flight.pop(0)
            policy.finished(attempt, Answered(report=LoadReport(2.0)), now)
            policy.release(now)
    return (time.perf_counter() - started) / rounds * US_PER_S


def _measure_heartbeats():
    print("\n| member updates | bytes a heartbeat | us to encode and decode |")
    print("| --- | --- | --- |")
    factory = TCompactProtocolAcceleratedFactory()
    for updates in (0, 4, 12):
        members = tuple(
            Member(f"entry-{i}", "zone-a", "10.0.0.1:80", "10.0.0.1:81", 10**12, state)
            for i, state in enumerate([MemberState.ALIVE] * (updates + 1))
        )
        heartbeat = Heartbeat(members[0], 10**6, 1.0, 500, members[1:])
        rounds = 5000
        started = time.perf_counter()
        for _ in range(rounds):
            buffer = TMemoryBuffer()
            heartbeat_to_wire(heartbeat).write(factory.getProtocol(buffer))
            data = buffer.getvalue()
            message = ttypes.Heartbeat()
            message.read(factory.getProtocol(TMemoryBuffer(data)))
            heartbeat_from_wire(message)
        microseconds = (time.perf_counter() - started) / rounds * US_PER_S
        print(f"| {updates} | {len(data)} | {microseconds:.0f} |", flush=True)


def _measure_daemons():
    """Measure the cost of idle daemons, of requests and of connections."""
    print(
        "\n| daemons | control cpu ms/s | peer bytes/s sent | platform reads/s of all |"
    )
    print("| --- | --- | --- | --- |")
    for count in GROUP_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            with LocalSystem(pathlib.Path(folder)) as system:
                bench = _start_bench(system, count)
                _print_idle(system, count)
                if count == GROUP_SIZES[0]:
                    rows = _measure_requests(system, bench)
    print("\n| requests/s | daemon cpu ms/s |\n| --- | --- |")
    for rate, cpu in rows["requests"]:
        print(f"| {rate:.0f} | {cpu:.1f} |")
    print(
        f"\nmemory: {rows['rss_kb']} KB a daemon, {rows['conn_kb']:.1f} KB a connection"
    )


def _start_bench(system, count):
    bench = Bench(system, Size("small", targets=4, slots=8, service_ms=2.0))
    bench.start_targets()
    bench.start_group("load-aware", count)
    bench.configure()
    return bench


def _read_dumps(system):
    return [d.read("operators", "/v1/dump") for d in system.daemons.values()]


def _print_idle(system, count):
    gevent.sleep(3.0)
    before = _read_dumps(system)
    gevent.sleep(IDLE_S)
    after = _read_dumps(system)

    def mean(read):
        deltas = [read(b) - read(a) for a, b in zip(before, after, strict=True)]
        return statistics.mean(deltas) / IDLE_S

    cpu = mean(lambda d: d["metrics"]["cpu_s"]) * 1000
    sent = mean(lambda d: d["peers"]["sent_bytes"])
    reads = mean(lambda d: sum(part["reads"] for part in d["platform"].values()))
    print(f"| {count} | {cpu:.1f} | {sent:.0f} | {reads * count:.1f} |", flush=True)


def _measure_requests(system, bench):
    """Return a daemon's CPU use by request rate, and its memory.

    Returns
    -------
    dict
        "requests": pairs of requests a second and CPU milliseconds a second;
        "rss_kb": resident memory in KB; "conn_kb": KB for each idle connection.
    """
    daemon = next(iter(system.daemons.values()))
    rows = []
    for rate in RATES:
        before = daemon.read("operators", "/v1/dump")["metrics"]["cpu_s"]
        load = system.start_load(
            system.folder / "outcomes.json",
            entries=daemon.addresses["callers"],
            service=SERVICE,
            operations=f"GET /{SERVICE}/x",
            rate=rate,
            seconds=LOAD_S,
            steer="no",
        )
        sent = json.loads(load.communicate()[0])["sent"]
        after = daemon.read("operators", "/v1/dump")["metrics"]["cpu_s"]
        rows.append((sent / LOAD_S, (after - before) / LOAD_S * 1000))
    rss = _daemon_rss_kb(daemon)
    host, _, port = daemon.addresses["callers"].partition(":")
    socks = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
    gevent.sleep(1.0)
    per_connection = (_daemon_rss_kb(daemon) - rss) / CONNECTIONS
    for sock in socks:
        sock.close()
    return {"requests": rows, "rss_kb": rss, "conn_kb": per_connection}


def _daemon_rss_kb(daemon):
    """Return the resident memory of a daemon in KB."""
    path = pathlib.Path(f"/proc/{daemon.popen.pid}/statm")
    return int(path.read_text().split()[1]) * resource.getpagesize() // KB


if __name__ == "__main__":
    sys.exit(main())
