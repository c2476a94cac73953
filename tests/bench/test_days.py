"""Detection of failed days by the runner of the project's own days."""

import tomllib

import pytest

from bench.days.__main__ import DAYS_FOLDER, find_faults

GOOD = """\
day                  own/srv  score  worth served refused failed  weakest part
store-silent           18/36   0.88  0.881  0.996   0.000  0.001  worst windows 0.99
  -0.0000  0.0 worth broken off early
  -0.0000  0.0 worth broken off midway
  -0.0000  0.0 exits of its own
"""


def test_a_good_day_has_no_fault():
    assert find_faults("store-silent", GOOD) == []


@pytest.mark.parametrize(
    "line",
    [
        "rules broken: CONFIG 291, DENIED 36",
        "store-silent  18/36  0.00  0.890  worst windows 0.99  BROKEN: CONFIG 291",
        "fault: no request is served",
        "  -0.0100  2.0 exits of its own",
    ],
)
def test_a_fault_is_found(line):
    """Guards against a day with a broken rule that is printed like a good one.

    This happens if no report contains the pattern that is searched for.
    """
    assert find_faults("store-silent", GOOD + line) == [line.strip()]


def test_a_day_without_a_row_is_a_fault():
    assert find_faults("kills", GOOD) == ["no result"]
    assert find_faults("kills", "") == ["no result"]


@pytest.mark.parametrize(
    "file", sorted(DAYS_FOLDER.glob("*.toml")), ids=lambda f: f.stem
)
def test_a_day_has_the_name_of_its_file(file):
    """Guards against a day without result, as its row in the report has its name."""
    day = tomllib.loads(file.read_text())
    assert day["name"] == file.stem
    assert day.get("plan") or day.get("faults")
