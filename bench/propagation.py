"""Measure how long updates take to reach every daemon: `make propagation`.

With 16 daemons in 4 availability zones, measures two times: from the response
"accepted" until a change is in force at all daemons, and from the first sign that a
target is leaving until all daemons list it as draining. All processes use the clock of
one machine.
"""

# gevent must patch the standard library before any module that uses sockets loads.
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
POLL_INTERVAL_S = 0.005
# Faults of the platform stand-in, by the text of the table's row.
FAULTS = {
    "platform healthy": {},
    "platform slow, 300 ms per call": {"delay_ms": 300},
}


def main() -> int:
    """Measure changes and drains, and print a table."""
    size = Size("small", targets=16, slots=4, service_ms=5.0)
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            bench = Bench(system, size)
            bench.start_targets()
            for index in range(DAEMONS):
                system.start_daemon(f"e{index:02}", ZONES[index % len(ZONES)])
            bench.configure()
            _warm_up_daemons(system)
            print("| what | events | median s | longest s |\n| --- | --- | --- | --- |")
            for name, faults in FAULTS.items():
                system.set_faults(**faults)
                _print_row(f"change in force at all, {name}", _time_changes(system))
            system.set_faults(delay_ms=0)
            names = list(system.targets)
            half = len(names) // 2
            # The daemons' note on a draining target stays valid for seconds after
            # the target stops draining, so each kind of drain uses other targets.
            seconds = _time_drains(system, names[:half], _set_health_draining)
            _print_row("drain by health check known to all", seconds)
            seconds = _time_drains(system, names[half:], _set_listed_leaving)
            _print_row("drain by the platform's list known to all", seconds)
    return 0


def _warm_up_daemons(system):
    """Send a request through each daemon until it succeeds.

    Each daemon then holds the state of the service.
    """
    for daemon in system.daemons.values():
        wait_for(lambda d=daemon: d.call("callers", "GET", f"/{SERVICE}").status == 200)


def _print_row(name, seconds):
    median = statistics.median(seconds)
    print(
        f"| {name} | {len(seconds)} | {median:.2f} | {max(seconds):.2f} |", flush=True
    )


def _time_changes(system):
    """Return, for each change, the seconds until it is in force at all daemons."""
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
        receiver = daemons[number % DAEMONS]
        outcome = receiver.call("operators", "POST", "/v1/changes", change)
        accepted = time.monotonic()
        revision = json.loads(outcome.body)["revision"]
        waiters = [
            gevent.spawn(_wait_for_revision, system, d, revision) for d in daemons
        ]
        seconds.append(max(waiter.get() for waiter in waiters) - accepted)
    return seconds


def _time_drains(system, names, set_draining):
    """Return, for each target, the seconds until all daemons list it as draining."""
    seconds = []
    for name in names:
        started = time.monotonic()
        set_draining(system, name, True)
        waiters = [
            gevent.spawn(_wait_until, lambda d=d, n=name: _is_marked_draining(d, n))
            for d in system.daemons.values()
        ]
        seconds.append(max(waiter.get() for waiter in waiters) - started)
        set_draining(system, name, False)
    return seconds


def _set_health_draining(system, name, is_draining):
    system.set_target(name, draining=is_draining)


def _set_listed_leaving(system, name, is_leaving):
    (system.leaving.add if is_leaving else system.leaving.discard)(name)
    system.publish_instances()


def _is_marked_draining(daemon, target):
    document = daemon.read("operators", "/v1/dump")
    states = document["services"][SERVICE]["targets"]
    return any(state["name"] == target and state["draining"] for state in states)


def _wait_for_revision(system, daemon, revision):
    return _wait_until(lambda: system.revision_of(daemon) >= revision)


def _wait_until(condition):
    """Wait until a condition is met; return the time, on the monotonic clock."""
    while not condition():
        gevent.sleep(POLL_INTERVAL_S)
    return time.monotonic()


if __name__ == "__main__":
    sys.exit(main())
