"""Measure latency and CPU use by number of daemons of a service: `make shards`."""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import gevent  # noqa: E402

from bench.cases import GRANITE_REEL, Case  # noqa: E402
from bench.runner import Bench  # noqa: E402
from cairnferry.standins import LocalSystem  # noqa: E402

# Numbers of daemons.
GROUP_SIZES = (2, 4, 8, 16)
# Share of the targets' capacity.
LOAD = 0.7
# Seconds from the start of a run to the suspension of a daemon.
SUSPEND_AT_S = 2.0


def main() -> int:
    """Measure each number of daemons and print a table."""
    print("| daemons | event | p50 ms | p99 ms | refused | failed | daemon us |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in GROUP_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            with LocalSystem(pathlib.Path(folder)) as system:
                bench = Bench(system, GRANITE_REEL)
                bench.start_targets()
                bench.start_group("load-aware", count)
                bench.configure()
                _print_row(count, "-", bench.run(Case("steady", LOAD), "load-aware", 1))
                suspension = gevent.spawn_later(SUSPEND_AT_S, _suspend_one, bench)
                figures = bench.run(Case("steady", LOAD), "load-aware", 2)
                suspension.join()
                _print_row(count, "one suspended for 1 s", figures)
    return 0


def _suspend_one(bench):
    """Suspend a daemon by SIGSTOP for one second; callers continue to send to it."""
    daemon = bench.groups["load-aware"][0]
    daemon.signal(signal.SIGSTOP)
    gevent.sleep(1.0)
    daemon.signal(signal.SIGCONT)


def _print_row(count, event, figures):
    print(
        f"| {count} | {event} | {figures['p50_ms']} | {figures['p99_ms']} | "
        f"{figures['refused']} | {figures['failed']} | {figures['cpu_us']:.0f} |",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main())
