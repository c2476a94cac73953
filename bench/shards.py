"""Tail and cost against the number of daemons that share a service: `make shards`."""

# The patches must come before any module that uses sockets is imported.
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

SIZES = (2, 4, 8, 16)
LOAD = 0.7
LOST_AT_S = 2.0


def main() -> int:
    """Measure and print a table."""
    print("| daemons | event | p50 ms | p99 ms | refused | failed | daemon us |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            with LocalSystem(pathlib.Path(folder)) as system:
                bench = Bench(system, GRANITE_REEL)
                bench.start_targets()
                bench.start_group("load-aware", count)
                bench.serve()
                _print(count, "-", bench.run(Case("steady", LOAD), "load-aware", 1))
                lost = gevent.spawn_later(LOST_AT_S, _lose_one, bench)
                figures = bench.run(Case("steady", LOAD), "load-aware", 2)
                lost.join()
                _print(count, "one frozen for 1 s", figures)
    return 0


def _lose_one(bench):
    """Freeze a daemon for a second; callers keep sending to it."""
    daemon = bench.groups["load-aware"][0]
    daemon.signal(signal.SIGSTOP)
    gevent.sleep(1.0)
    daemon.signal(signal.SIGCONT)


def _print(count, event, figures):
    print(
        f"| {count} | {event} | {figures['p50_ms']} | {figures['p99_ms']} | "
        f"{figures['refused']} | {figures['failed']} | {figures['cpu_us']:.0f} |",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main())
