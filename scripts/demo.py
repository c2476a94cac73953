"""Run the whole system as separate processes on loopback.

Starts the stand-in of the platform, targets of two services and four daemons in two
availability zones. Submits records of both schema versions and sends a few thousand
requests. Meanwhile, stops a target and drains a daemon. Then checks that no request
was lost, received the response to another request, or ran twice. The exit code is 0
only if all checks pass.
"""

import collections
import json
import pathlib
import signal
import sys
import tempfile
import time

from cairnferry.standins import (
    LocalSystem,
    route_v1,
    route_v2,
    service_v1,
    service_v2,
    target_v1,
    target_v2,
    wait_for,
)

ZONES = ("zone-a", "zone-b")
DAEMONS = 4
CATALOGUE_TARGETS = 4
BOOKING_TARGETS = 4
# Requests a second to each service.
REQUESTS_PER_S = 150
# Lookups that a caller pipelines on one connection.
PIPELINED_REQUESTS = 2
# Availability zone of the callers of each service.
CALLER_ZONES = {"catalogue": ZONES[1], "booking": ZONES[0]}
# Seconds of load, and from the start of the load to each disturbance.
LOAD_S = 14
STOP_TARGET_AT_S = 3
DRAIN_DAEMON_AT_S = 6
LOADS = {
    "catalogue": "GET /catalogue/titles 9, POST /catalogue/orders 1",
    "booking": "GET /booking/sessions 8, POST /booking/passes 2",
}


def main() -> int:
    """Run the demo; return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    # A shell that starts the demo in the background makes it ignore SIGINT. Without
    # this handler, Ctrl-C would terminate only the demo's processes, and the demo
    # would report the lost requests as faults.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            try:
                return _run(system, pathlib.Path(folder))
            except KeyboardInterrupt:
                print("interrupted; terminating all processes")
                return 1


def _run(system, folder):
    _start(system)
    _submit(system, folder)
    loads = _start_loads(system, folder)
    _stop_and_drain(system)
    summaries = {name: json.loads(p.communicate()[0]) for name, p in loads.items()}
    faults = _find_faults(system, folder)
    _print_report(system, summaries, faults)
    return 1 if faults else 0


def _start(system):
    print("starting the platform, 8 targets and 4 daemons")
    system.start_platform()
    for index in range(CATALOGUE_TARGETS):
        system.start_target(f"film-{index}", ZONES[index % 2], slots=6, service_ms=4)
    for index in range(BOOKING_TARGETS):
        system.start_target(f"bath-{index}", ZONES[index % 2], slots=4, service_ms=6)
    for index in range(DAEMONS):
        system.start_daemon(f"entry-{index}", ZONES[index % 2])
    wait_for(lambda: system.platform.read("http", "/_control") is not None)
    system.publish_instances()
    system.await_serving()
    system.await_members(DAEMONS)


def _submit(system, folder):
    """Submit the catalogue in schema version 1 and the bookings in version 2."""
    old = [
        service_v1("catalogue", timeout_s=1.0),
        route_v1("catalogue", "/catalogue", "catalogue"),
    ]
    new = [
        service_v2("booking", deadline_ms=1000, hedging={"enabled": True}),
        route_v2("booking", "/booking", "booking"),
    ]
    for name, process in system.targets.items():
        address = process.addresses["http"]
        if name.startswith("film"):
            old.append(target_v1(name, "catalogue", process.zone, address))
        else:
            new.append(target_v2(name, "booking", process.zone, address))
    for version, records in (("old", old), ("new", new)):
        path = folder / f"{version}.json"
        path.write_text(json.dumps(records))
        result = system.run_ctl("submit", str(path))
        print(
            f"cairnferry submit {version}.json: {result.stdout or result.stderr}",
            end="",
        )
    system.await_revision(2)
    print(system.run_ctl("status", "--wait", "2").stdout, end="")


def _start_loads(system, folder):
    entries = ",".join(d.addresses["callers"] for d in system.daemons.values())
    print(
        f"sending {2 * REQUESTS_PER_S} requests a second for {LOAD_S} s, "
        f"{PIPELINED_REQUESTS} pipelined"
    )
    return {
        service: system.start_load(
            folder / f"{service}.outcomes.json",
            entries=entries,
            service=service,
            operations=operations,
            rate=REQUESTS_PER_S / PIPELINED_REQUESTS,
            ahead=PIPELINED_REQUESTS,
            seconds=LOAD_S,
            prefix=service,
            zone=CALLER_ZONES[service],
        )
        for service, operations in LOADS.items()
    }


def _stop_and_drain(system):
    time.sleep(STOP_TARGET_AT_S)
    print("stopping target film-1")
    system.targets["film-1"].signal(signal.SIGTERM)
    time.sleep(DRAIN_DAEMON_AT_S - STOP_TARGET_AT_S)
    print("draining daemon entry-0")
    system.run_ctl("drain", daemon=system.daemons["entry-0"])


def _find_faults(system, folder):
    """Return the faults: compare the outcomes at callers with what targets ran."""
    runs = collections.Counter()
    for name in system.targets:
        for _, method, request_id in system.target_events(name)["ran"]:
            runs[method, request_id] += 1
    faults = []
    for service in LOADS:
        outcomes = json.loads((folder / f"{service}.outcomes.json").read_text())
        for request_id, (method, outcome) in outcomes.items():
            fault = _find_fault(method, outcome, runs[method, request_id])
            if fault:
                faults.append(f"{method} {request_id}: {fault}")
    wait_for(lambda: not system.daemons["entry-0"].alive)
    if system.daemons["entry-0"].popen.returncode:
        faults.append("entry-0 exited with unanswered requests")
    return faults


def _find_fault(method, outcome, count):
    if outcome != "ok":
        return f"the caller received the outcome {outcome}"
    if count == 0:
        return "answered, but no target ran it"
    if method == "POST" and count > 1:
        return f"ran {count} times"
    return None


def _print_report(system, summaries, faults):
    for service, summary in summaries.items():
        latency = summary["latency_us"]
        print(
            f"{service}: {summary['sent']} requests, {summary['outcomes']}, "
            f"p50 {latency['p50'] / 1000:.1f} ms, p99 {latency['p99'] / 1000:.1f} ms"
        )
    for name, process in system.targets.items():
        state = "up" if process.alive else "left"
        print(f"  {name} ({state}): ran {len(system.target_events(name)['ran'])}")
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    if faults:
        print(f"{len(faults)} faults")
    else:
        print("no request was lost, mixed up with another, or run twice")


if __name__ == "__main__":
    sys.exit(main())
