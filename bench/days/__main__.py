"""Play the days of deploy/days and print which rule broke.

    FLEETBENCH=program python -m bench.days SITE [NAME ...]

The program is the users' own and no part of this project.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

FOLDER = pathlib.Path(__file__).parents[2] / "deploy" / "days"
# Days played at the same time, each on a processor or two.
AT_ONCE = 3
# Seconds after which a day is given up; one takes 20 to 90.
LIMIT_S = 600
_BROKEN = re.compile(r"^rules broken: |\bBROKEN\b|^fault: ", re.MULTILINE)
_EXITS = re.compile(r"(\d+(?:\.\d+)?) exits of its own")


def main() -> int:
    """Play the days; give the exit code."""
    program = os.environ.get("FLEETBENCH")
    if not program or len(sys.argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    site, *names = sys.argv[1:]
    days = sorted(FOLDER.glob("*.toml"))
    chosen = [day for day in days if not names or day.stem in names]
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = list(pool.map(lambda day: _play(program, site, day), chosen))
    return 1 if any(results) else 0


def _play(program, site, day):
    """Play one day; tell whether it went wrong."""
    command = [program, "run", site, str(day), "--why", f"own day {day.stem}"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
    faults = find_faults(day.stem, done.stdout)
    if done.returncode:
        faults.append(f"exit code {done.returncode}")
    lines = done.stdout.splitlines()
    row = next((line for line in lines if line.startswith(day.stem)), day.stem)
    print("\n".join([row, *(f"    {fault}" for fault in faults)]), flush=True)
    return bool(faults)


def find_faults(name: str, report: str) -> list[str]:
    """Find in the report of a day what went wrong.

    Parameters
    ----------
    name : str
        Name of the day; its row has the figures.
    report : str
        What the program printed.

    Returns
    -------
    list of str
        Lines that tell of a broken rule or of processes that ended by themselves; a
        report without the day's row is a fault as well.
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
