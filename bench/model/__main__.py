"""Compare policies over load patterns, and print a table (`make model`)."""

import sys

from bench.model import LOADS, Outcome, play
from cairnferry.policy import settings_for

STRATEGIES = ("random", "two-choices", "least-in-flight", "load-aware", "ask-first")
SEEDS = (1, 2)
COLUMNS = "load,policy,in time,late,refused,failed,p50 ms,p99 ms,checks,retries"


def main() -> None:
    """Print a row for each load pattern and strategy."""
    print("| " + " | ".join(COLUMNS.split(",")) + " |")
    print("| " + " | ".join("---" for _ in COLUMNS.split(",")) + " |")
    chosen = sys.argv[1:] or STRATEGIES
    for name, load in LOADS.items():
        for strategy in chosen:
            results = [play(load, settings_for(strategy), seed) for seed in SEEDS]
            print(_row(name, strategy, results), flush=True)


def _row(name, strategy, results):
    def mean(value):
        return sum(value(result) for result in results) / len(results)

    cells = [name, strategy]
    cells += [f"{mean(lambda r, o=o: r.share(o)):.3f}" for o in Outcome]
    cells += [f"{1000 * mean(lambda r, q=q: r.quantile(q)):.0f}" for q in (0.5, 0.99)]
    cells.append(f"{mean(lambda r: r.checks / r.callers):.1f}")
    cells.append(f"{mean(lambda r: r.retries / r.callers):.3f}")
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
