"""Measure the latency that a daemon adds to a request: `make overhead`.

The same open-loop load goes directly to the targets, through the minimal forwarder of
`bench.forwarder`, and through one daemon, in turn and several times.
"""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

from bench.cases import Size  # noqa: E402
from bench.runner import SERVICE, Bench  # noqa: E402
from cairnferry.standins import (  # noqa: E402
    LocalSystem,
    free_port,
    start_child,
    wait_for,
)
from cairnferry.wire import Client, Reply  # noqa: E402

# Requests a second.
RATES = (100, 300, 600)
# Seconds of load in each run, and runs for each rate and path.
LOAD_S = 5
REPEATS = 3
US_PER_MS = 1000


def main() -> int:
    """Measure all paths and print a table."""
    size = Size("small", targets=4, slots=8, service_ms=2.0)
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            bench = Bench(system, size)
            bench.start_targets()
            bench.start_group("load-aware", 1)
            bench.configure()
            targets = [t.addresses["http"] for t in system.targets.values()]
            forwarder, address = _start_forwarder(targets)
            try:
                daemon = system.daemons["load-aware-0"].addresses["callers"]
                paths = {
                    "direct": ",".join(targets),
                    "forwarder": address,
                    "daemon": daemon,
                }
                _measure(system, paths)
            finally:
                forwarder.kill()
                forwarder.wait()
    return 0


def _start_forwarder(targets):
    port = free_port()
    address = f"127.0.0.1:{port}"
    command = [sys.executable, "-m", "bench.forwarder", address, *targets]
    process = start_child(command)
    client = Client("127.0.0.1", port)
    wait_for(lambda: isinstance(client.call("GET", "/", timeout=1), Reply))
    return process, address


def _measure(system, paths):
    print("| requests/s | path | p50 ms | p99 ms | added p50 | added p99 |")
    print("| --- | --- | --- | --- | --- | --- |")
    for rate in RATES:
        runs = {path: [] for path in paths}
        for repeat in range(REPEATS):
            for path, entries in paths.items():
                runs[path].append(_run_load(system, entries, rate, repeat))
        medians = {path: _medians(latencies) for path, latencies in runs.items()}
        for path, (p50, p99) in medians.items():
            added50 = p50 - medians["direct"][0]
            added99 = p99 - medians["direct"][1]
            print(
                f"| {rate} | {path} | {p50:.2f} | {p99:.2f} | {added50:.2f} | "
                f"{added99:.2f} |",
                flush=True,
            )


def _run_load(system, entries, rate, seed):
    """Return the 50th and 99th percentile of the latency, in milliseconds."""
    load = system.start_load(
        system.folder / "outcomes.json",
        entries=entries,
        service=SERVICE,
        operations=f"GET /{SERVICE}/x",
        rate=rate,
        seconds=LOAD_S,
        seed=seed + 1,
        steer="no",
    )
    latency = json.loads(load.communicate()[0])["latency_us"]
    return latency["p50"] / US_PER_MS, latency["p99"] / US_PER_MS


def _medians(runs):
    p50 = statistics.median(run[0] for run in runs)
    p99 = statistics.median(run[1] for run in runs)
    return p50, p99


if __name__ == "__main__":
    sys.exit(main())
