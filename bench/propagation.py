"""How long news takes to reach every daemon: `make propagation`.

Measures, over 16 daemons in 4 availability zones: from the answer "accepted"
to a change's being in force at each daemon, and from a target's first sign of leaving
to each daemon's knowing it. The clock of one machine serves all processes.
"""

# The patches must come before any module that uses sockets is imported.
from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from bench.cases import Size  # noqa: E402
from bench.runner import SERVICE, Bench  # noqa: E402
from cairnferry.standins import LocalSystem, service_v2, wait_for  # noqa: E402

DAEMONS = 16
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
CHANGES = 20
LOOK_S = 0.005
FAULTS = {
    "platform well": {},
    "platform slow, 300 ms a call": {"delay_ms": 300},
}


def main() -> int:
    """Measure and print a table."""
    size = Size("small", targets=16, slots=4, service_ms=5.0)
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            bench = Bench(system, size)
            bench.start_targets()
            for index in range(DAEMONS):
                system.start_daemon(f"e{index:02}", ZONES[index % len(ZONES)])
            bench.serve()
            _touch_all(system)
            print("| what | events | median s | longest s |\n| --- | --- | --- | --- |")
            for name, faults in FAULTS.items():
                system.set_faults(**faults)
                _print(f"change in force at all, {name}", _changes(system))
            system.set_faults(delay_ms=0)
            names = list(system.targets)
            half = len(names) // 2
            # A note outlasts its cause by seconds, so that each way has targets
            # of its own.
            seconds = _drains(system, names[:half], _by_health)
            _print("drain by health answer known to all", seconds)
            seconds = _drains(system, names[half:], _by_list)
            _print("drain by the platform's list known to all", seconds)
    return 0


def _touch_all(system):
    """Send one request through each daemon, so that each holds the service."""
    for daemon in system.daemons.values():
        wait_for(lambda d=daemon: d.call("callers", "GET", f"/{SERVICE}").status == 200)


def _print(name, seconds):
    median = statistics.median(seconds)
    print(
        f"| {name} | {len(seconds)} | {median:.2f} | {max(seconds):.2f} |", flush=True
    )


def _changes(system):
    daemons = list(system.daemons.values())
    seconds = []
    for number in range(CHANGES):
        entry = daemons[0].read("operators", f"/v1/records/service/{SERVICE}")
        document = service_v2(SERVICE, 1000 + number)
        edit = {
            "op": "replace",
            "record": document,
            "expected_revision": entry["revision"],
        }
        change = {"change_id": f"c{time.time_ns()}", "edits": [edit]}
        at = daemons[number % DAEMONS]
        outcome = at.call("operators", "POST", "/v1/changes", change)
        accepted = time.monotonic()
        revision = json.loads(outcome.body)["revision"]
        waits = [gevent.spawn(_until_revision, system, d, revision) for d in daemons]
        seconds.append(max(wait.get() for wait in waits) - accepted)
    return seconds


def _drains(system, names, begin):
    seconds = []
    for name in names:
        started = time.monotonic()
        begin(system, name, True)
        waits = [
            gevent.spawn(_until, lambda d=d, n=name: _knows(d, n))
            for d in system.daemons.values()
        ]
        seconds.append(max(wait.get() for wait in waits) - started)
        begin(system, name, False)
    return seconds


def _by_health(system, name, on):
    system.set_target(name, draining=on)


def _by_list(system, name, on):
    (system.leaving.add if on else system.leaving.discard)(name)
    system.publish_instances()


def _knows(daemon, target):
    document = daemon.read("operators", "/v1/dump")
    states = document["services"][SERVICE]["targets"]
    return any(state["name"] == target and state["draining"] for state in states)


def _until_revision(system, daemon, revision):
    return _until(lambda: system.revision_of(daemon) >= revision)


def _until(condition):
    while not condition():
        gevent.sleep(LOOK_S)
    return time.monotonic()


if __name__ == "__main__":
    sys.exit(main())
