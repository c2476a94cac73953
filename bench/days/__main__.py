"""Run the days in deploy/days and print which rules each one broke.

    FLEETBENCH=program python -m bench.days SITE [NAME ...]

FLEETBENCH is the users' own benchmark program, which is not part of this project.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

DAYS_FOLDER = pathlib.Path(__file__).parents[2] / "deploy" / "days"
# Days that run at the same time; each uses one or two processors.
CONCURRENT_DAYS = 3
# Timeout of a day in seconds; a day takes 20 to 90 s.
DAY_TIMEOUT_S = 600
_BROKEN = re.compile(r"^rules broken: |\bBROKEN\b|^fault: ", re.MULTILINE)
_EXITS = re.compile(r"(\d+(?:\.\d+)?) exits of its own")


def main() -> int:
    """Run the days; return the exit code."""
    program = os.environ.get("FLEETBENCH")
    if not program or len(sys.argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    site, *names = sys.argv[1:]
    days = sorted(DAYS_FOLDER.glob("*.toml"))
    selected = [day for day in days if not names or day.stem in names]
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_DAYS) as pool:
        results = list(pool.map(lambda day: _run_day(program, site, day), selected))
    return 1 if any(results) else 0


def _run_day(program, site, day):
    """Run one day and print its result; return whether it had faults."""
    command = [program, "run", site, str(day), "--why", f"own day {day.stem}"]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=DAY_TIMEOUT_S
    )
    faults = find_faults(day.stem, completed.stdout)
    if completed.returncode:
        faults.append(f"exit code {completed.returncode}")
    lines = completed.stdout.splitlines()
    row = next((line for line in lines if line.startswith(day.stem)), day.stem)
    print("\n".join([row, *(f"    {fault}" for fault in faults)]), flush=True)
    return bool(faults)


def find_faults(name: str, report: str) -> list[str]:
    """Return the faults that the report of a day lists.

    Parameters
    ----------
    name : str
        Name of the day, which the row with its figures begins with.
    report : str
        Output of the benchmark program.

    Returns
    -------
    list of str
        Lines that report a broken rule or processes that exited by themselves. A
        report without the day's row is a fault too.
    """
    lines = report.splitlines()
    faults = [line for line in lines if _BROKEN.search(line)]
    for line in lines:
        exits = _EXITS.search(line)
        if exits and float(exits.group(1)):
            faults.append(line.strip())
    if not any(line.startswith(name) for line in lines):
        faults.append("no result")
    return faults


if __name__ == "__main__":
    sys.exit(main())
