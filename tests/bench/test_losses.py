# ruff: noqa: E501 (the report is as the program writes it)
"""Losses of a day, as read from its report."""

import pytest

from bench.losses import NoReport, format_table, parse_report

REPORT = """\
day                  own/srv  score  worth served refused failed  weakest part
scale-1                13/32   1.00  0.577  0.835   0.037  0.003  worst windows 0.53

worth 0.577 = whole day 0.835 (weight 0.28), worst windows 0.530 (weight 0.4), worst \
class 0.765 (weight 0.12), served at all 0.960 (weight 0.2) less prices
  -0.0381  843.873 machine-seconds
  -0.0918  0.023 GB between zones
  -0.0001  1.606 processor seconds
  --0.0000  -0.0 worth broken off midway

class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
fault-lookup          5702    4249   1158     284     11        0  0.765    117.4    642.1
part-dispatch          553     534     14       0      5        0  0.968     70.3    468.2

clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
ahm                   2915    2152    649      65     49        0  0.785    145.4    977.5
"""


def test_a_report_is_read():
    loss = parse_report(REPORT)
    assert loss.worth == 0.577
    assert loss.parts["worst windows"] == pytest.approx(0.47 * 0.4)
    assert loss.prices["GB between zones"] == 0.0918
    assert [each.name for each in loss.classes] == ["fault-lookup", "part-dispatch"]
    assert loss.classes[0].lost_worth == pytest.approx(0.9 * 1158 + 284 + 11)
    assert loss.classes[0].p50_ms == 117.4


def test_the_largest_loss_of_each_kind_comes_first():
    rows = format_table(parse_report(REPORT))
    assert rows[1].startswith("| worst windows | -0.188")
    prices = [row for row in rows if "price" in row]
    assert prices[0].startswith("| price: GB between zones")
    assert len(prices) == 2
    assert rows[-2].startswith("| class fault-lookup")


def test_a_text_that_is_no_report_raises_an_error():
    with pytest.raises(NoReport):
        parse_report("fault: no request is served")
