"""Tell where the worth of a played day is lost, from the reports of its runs.

    python -m bench.losses REPORT [REPORT ...]

A report is what the users' program prints of one day. The table has a row a class of
requests and a row a price, in the order of what they cost.
"""

import pathlib
import re
import sys

import attrs

from bench.model._result import LATE_WORTH

# Prices below this part of a day's worth are left out.
LEAST_PRICE = 0.002
_PRICE = re.compile(r"^  -(-?\d+\.\d+)  (-?[\d.]+) (.+)$")
_WORTH = re.compile(r"^worth (-?[\d.]+) = (.*) less prices$")
_PART = re.compile(r"([a-z ]+) (-?[\d.]+) \(weight ([\d.]+)\)")
_COUNTS = ("asked", "in_aim", "late", "refused", "failed")


@attrs.frozen
class ClassLoss:
    """What a class of requests lost.

    Attributes
    ----------
    name : str
        The class.
    asked, in_aim, late, refused, failed : int
        Requests, and how they fared.
    p50_ms : float
        Median time to the answer in milliseconds.
    """

    name: str
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float

    @property
    def lost(self) -> float:
        """Worth lost by the class, in requests."""
        return (1 - LATE_WORTH) * self.late + self.refused + self.failed


@attrs.frozen
class DayLoss:
    """What a day lost.

    Attributes
    ----------
    worth : float
        What is left of 1.
    parts : dict of str to float
        Worth lost by each part of the measure, by its weight.
    prices : dict of str to float
        Worth paid.
    classes : tuple of ClassLoss
        The classes of requests.
    """

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    classes: tuple[ClassLoss, ...]


class NoReport(ValueError):
    """A text that is no report of a day."""


def read(report: str) -> DayLoss:
    """Read a report.

    Raises
    ------
    NoReport
        If it has no line that tells the day's worth.
    """
    worth, parts, prices = None, {}, {}
    for line in report.splitlines():
        if found := _WORTH.match(line):
            worth = float(found.group(1))
            parts = {
                name.strip(): (1 - float(share)) * float(weight)
                for name, share, weight in _PART.findall(found.group(2))
            }
        elif found := _PRICE.match(line):
            prices[found.group(3)] = float(found.group(1))
    if worth is None:
        raise NoReport("no line tells the day's worth")
    return DayLoss(worth, parts, prices, tuple(_classes(report)))


def _classes(report):
    _, _, table = report.partition("\nclass  ")
    for line in table.splitlines()[1:]:
        cells = line.split()
        if len(cells) < 9:
            return
        counts = dict(zip(_COUNTS, map(int, cells[1:6]), strict=True))
        yield ClassLoss(cells[0], **counts, p50_ms=float(cells[-2]))


def table(loss: DayLoss) -> list[str]:
    """Write a day's losses as lines of a table."""
    rows = [f"| worth | {loss.worth:.3f} | |"]
    rows += [f"| {name} | -{lost:.3f} | |" for name, lost in _sorted(loss.parts)]
    rows += [
        f"| price: {name} | -{paid:.3f} | |"
        for name, paid in _sorted(loss.prices)
        if paid >= LEAST_PRICE
    ]
    for each in sorted(loss.classes, key=lambda each: -each.lost):
        share = each.lost / max(1, each.asked)
        cause = f"late {each.late}, refused {each.refused}, failed {each.failed}"
        of = f"of {each.asked}, p50 {each.p50_ms:.0f} ms"
        rows.append(f"| class {each.name} | -{share:.3f} of its own | {cause} {of} |")
    return rows


def _sorted(figures):
    return sorted(figures.items(), key=lambda item: -item[1])


def main() -> int:
    """Print the table of each report; give the exit code."""
    if len(sys.argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    for name in sys.argv[1:]:
        path = pathlib.Path(name)
        try:
            rows = table(read(path.read_text()))
        except (NoReport, OSError) as exc:
            print(f"{path.name}: {exc}", file=sys.stderr)
            return 1
        print("\n".join([f"## {path.stem}", *rows]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
