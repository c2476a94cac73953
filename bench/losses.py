"""Show what lowers the worth of a simulated day, from reports of its runs.

    python -m bench.losses REPORT [REPORT ...]

A report is the output of the users' benchmark program for one day. The worth is the
program's score of the day. The table has one row for each part of the score, each
price and each class of requests; within each group the largest loss comes first.
"""

import pathlib
import re
import sys

import attrs

from bench.model._result import LATE_WORTH

# Prices below this share of a full day's worth (1.0) are not shown.
MIN_PRICE = 0.002
_PRICE = re.compile(r"^  -(-?\d+\.\d+)  (-?[\d.]+) (.+)$")
_WORTH = re.compile(r"^worth (-?[\d.]+) = (.*) less prices$")
_SCORE_PART = re.compile(r"([a-z ]+) (-?[\d.]+) \(weight ([\d.]+)\)")
_COUNTS = ("asked", "in_aim", "late", "refused", "failed")


@attrs.frozen
class ClassLoss:
    """Loss of one class of requests.

    Attributes
    ----------
    name : str
        Name of the class.
    asked : int
        Number of requests.
    in_aim, late, refused, failed : int
        Number of requests by outcome: answered in time, answered late, refused, or
        failed.
    p50_ms : float
        Median time to the response in milliseconds.
    """

    name: str
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float

    @property
    def lost_worth(self) -> float:
        """Worth lost by the class, in requests answered in time."""
        return (1 - LATE_WORTH) * self.late + self.refused + self.failed


@attrs.frozen
class DayLoss:
    """Losses of one day.

    Attributes
    ----------
    worth : float
        Worth of the day; 1 is a day without losses.
    parts : dict of str to float
        Worth lost by each part of the score, weighted.
    prices : dict of str to float
        Worth deducted for each price, such as machine time or traffic.
    classes : tuple of ClassLoss
        Losses by class of requests.
    """

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    classes: tuple[ClassLoss, ...]


class NoReport(ValueError):
    """Raised if a text is not the report of a day."""


def parse_report(report: str) -> DayLoss:
    """Parse the report of one day.

    Parameters
    ----------
    report : str
        Output of the users' benchmark program.

    Returns
    -------
    DayLoss
        Losses of the day.

    Raises
    ------
    NoReport
        If the report has no line with the day's worth.
    """
    worth, parts, prices = None, {}, {}
    for line in report.splitlines():
        if match := _WORTH.match(line):
            worth = float(match.group(1))
            parts = {
                name.strip(): (1 - float(share)) * float(weight)
                for name, share, weight in _SCORE_PART.findall(match.group(2))
            }
        elif match := _PRICE.match(line):
            prices[match.group(3)] = float(match.group(1))
    if worth is None:
        raise NoReport("the report has no line with the day's worth")
    return DayLoss(worth, parts, prices, tuple(_parse_classes(report)))


def _parse_classes(report):
    _, _, rows = report.partition("\nclass  ")
    for line in rows.splitlines()[1:]:
        cells = line.split()
        if len(cells) < 9:
            return
        counts = dict(zip(_COUNTS, map(int, cells[1:6]), strict=True))
        yield ClassLoss(cells[0], **counts, p50_ms=float(cells[-2]))


def format_table(loss: DayLoss) -> list[str]:
    """Return the rows of a Markdown table of a day's losses."""
    rows = [f"| worth | {loss.worth:.3f} | |"]
    rows += [
        f"| {name} | -{lost:.3f} | |" for name, lost in _sorted_by_size(loss.parts)
    ]
    rows += [
        f"| price: {name} | -{price:.3f} | |"
        for name, price in _sorted_by_size(loss.prices)
        if price >= MIN_PRICE
    ]
    for class_loss in sorted(
        loss.classes, key=lambda class_loss: -class_loss.lost_worth
    ):
        share = class_loss.lost_worth / max(1, class_loss.asked)
        counts = (
            f"late {class_loss.late}, refused {class_loss.refused}, "
            f"failed {class_loss.failed}"
        )
        details = f"of {class_loss.asked}, p50 {class_loss.p50_ms:.0f} ms"
        rows.append(
            f"| class {class_loss.name} | -{share:.3f} of its own | "
            f"{counts} {details} |"
        )
    return rows


def _sorted_by_size(figures):
    return sorted(figures.items(), key=lambda item: -item[1])


def main() -> int:
    """Print the table of each report; return the exit code."""
    if len(sys.argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    for name in sys.argv[1:]:
        path = pathlib.Path(name)
        try:
            rows = format_table(parse_report(path.read_text()))
        except (NoReport, OSError) as exc:
            print(f"{path.name}: {exc}", file=sys.stderr)
            return 1
        print("\n".join([f"## {path.stem}", *rows]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
