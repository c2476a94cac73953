"""Run the benchmark of the strategies: `make bench`."""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

from bench.cases import CASES, SIZES  # noqa: E402
from bench.report import write_report  # noqa: E402
from bench.runner import Bench  # noqa: E402
from cairnferry.policy import STRATEGY_NAMES  # noqa: E402
from cairnferry.standins import LocalSystem  # noqa: E402

RESULTS = pathlib.Path("docs/bench/results.json")


def main() -> int:
    """Run every case under every strategy in turn, and write the report."""
    args = _parse_arguments()
    results = json.loads(RESULTS.read_text()) if RESULTS.exists() else []
    for size in SIZES:
        if args.size in ("all", size.name):
            results = [row for row in results if row["size"] != size.name]
            results += _run_size(size, args)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    write_report(results, RESULTS.parent)
    return 0


def _parse_arguments():
    parser = argparse.ArgumentParser(prog="make bench")
    parser.add_argument("--size", default="all")
    parser.add_argument(
        "--cases",
        default="",
        help="comma-separated parts of case names; all cases if empty",
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=4)
    return parser.parse_args()


def _run_size(size, args):
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            bench = Bench(system, size)
            bench.start_targets()
            for strategy in STRATEGY_NAMES:
                bench.start_group(strategy, args.daemons)
            bench.configure()
            for repeat in range(args.repeats):
                rows += _run_cases(bench, size, args, repeat)
    return rows


def _run_cases(bench, size, args, repeat):
    rows = []
    for index, case in enumerate(_select_cases(args.cases)):
        # Rotate the order, so that each strategy runs first equally often.
        turn = (index + repeat) % len(STRATEGY_NAMES)
        order = [*STRATEGY_NAMES[turn:], *STRATEGY_NAMES[:turn]]
        for strategy in order:
            figures = bench.run(case, strategy, seed=100 + repeat)
            row = {
                "size": size.name,
                "case": case.name,
                "strategy": strategy,
                "repeat": repeat,
                "daemons": args.daemons,
                **figures,
            }
            rows.append(row)
            print(size.name, case.name, strategy, figures["p99_ms"], flush=True)
    return rows


def _select_cases(names):
    parts = [part for part in names.split(",") if part]
    return [c for c in CASES if not parts or any(part in c.name for part in parts)]


if __name__ == "__main__":
    sys.exit(main())
