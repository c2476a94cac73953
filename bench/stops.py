"""Stop real daemons while callers use them, and count by the rule LOST: `make stops`.

    python -m bench.stops [--way WAY ...] [--seed N] [--seeds N] [--jobs N]

Prints one JSON line for each run and a table; exits with 1 if a run found a fault. What
the columns count is said in `bench.stopping._counting.Counts`.

Whether a daemon had read a request that got no answer is asked of the kernel: each
0.02 s, how many bytes of the connection the process has not taken. A request that is
taken within the last look before its connection ends counts as unread.
"""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402

import attrs  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from bench.stopping import FAULTS, WAYS, Counts, Setup, run_stop  # noqa: E402
from cairnferry.standins import start_child  # noqa: E402

COLUMNS = [
    name for name in attrs.fields_dict(Counts) if name != "excused_by_first_byte"
]


def main() -> int:
    """Run what the command line asks for; return the exit code."""
    options = _parse_options()
    if options.only:
        setup = json.loads(options.only)
        work_s = setup.pop("work_s")
        result = run_stop(Setup(**setup, work_s=work_s and tuple(work_s)))
        print(json.dumps(result.document()), flush=True)
        return 0
    setups = [
        Setup(
            way,
            seed,
            options.grace,
            options.ttl_max,
            options.timeout,
            options.deadline_ms and options.deadline_ms / 1000,
            options.work,
            options.history,
        )
        for seed in range(options.seed, options.seed + options.seeds)
        for way in options.way or WAYS
    ]
    found = list(Pool(options.jobs).imap_unordered(_run_in_process, setups))
    results = [each for each in found if each is not None]
    print(table(results))
    has_fault = any(each["counts"][name] for each in results for name in FAULTS)
    return 1 if has_fault or len(results) < len(setups) else 0


def _parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--way", choices=WAYS, action="append", help="one of the ways")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=2, help="runs at the same time")
    parser.add_argument("--grace", type=float, default=6.0, help="seconds")
    parser.add_argument("--ttl-max", type=float, default=5.0, help="seconds")
    parser.add_argument("--timeout", type=float, help="timeout of routes in seconds")
    parser.add_argument("--deadline-ms", type=float, help="time of callers")
    parser.add_argument("--work", type=_bounds, help="seconds of work, as MIN,MAX")
    parser.add_argument("--history", type=int, default=0, help="requests before")
    parser.add_argument("--only", help=argparse.SUPPRESS)
    return parser.parse_args()


def _bounds(text):
    low, high = text.split(",")
    return float(low), float(high)


def _run_in_process(setup):
    """Run a setup in a process of its own; print and return its result, or None.

    A process has loopback addresses of its own, and a seed gives the same requests
    whatever else runs.
    """
    process = start_child(
        [
            sys.executable,
            "-m",
            "bench.stops",
            "--only",
            json.dumps(attrs.asdict(setup)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    output, _ = process.communicate()
    if process.returncode:
        print(f"{setup.way}, seed {setup.seed}: no result", file=sys.stderr)
        return None
    print(output, end="", flush=True)
    return json.loads(output)


def table(results: list[dict]) -> str:
    """Return a table with one row for each way, from results as they are printed."""
    rows = [["way", "runs", *COLUMNS, "exit s", "codes"]]
    for way in dict.fromkeys(each["way"] for each in results):
        own = [each for each in results if each["way"] == way]
        exits = [exit for each in own for exit in each["exits"]]
        seconds = [exit["after_s"] for exit in exits]
        codes = sorted({exit["code"] for exit in exits})
        rows.append(
            [
                way,
                str(len(own)),
                *(str(sum(each["counts"][name] for each in own)) for name in COLUMNS),
                f"{min(seconds):.2f} to {max(seconds):.2f}",
                " ".join(f"{code}:{_times(exits, code)}" for code in codes),
            ]
        )
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _times(exits, code):
    return sum(exit["code"] == code for exit in exits)


if __name__ == "__main__":
    sys.exit(main())
