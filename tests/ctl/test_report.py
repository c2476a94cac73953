"""Page of charts from log lines."""

import xml.etree.ElementTree as ET

from cairnferry.ctl import _report
from cairnferry.ctl._explain import read_log

from .test_explain import line, run

SVG = "{http://www.w3.org/2000/svg}svg"
TEXTS = [
    line(0.0, "serving", callers="10.0.0.1:80"),
    line(0.1, "in force", revision=3, before=0),
    line(0.2, "serving", instance="front-2", callers="10.0.0.2:80"),
    line(0.3, "in force", instance="front-2", revision=3, before=0),
    line(1.1, "request answered", request_id="a", after_ms=100.0, left_out=0),
    line(1.2, "request answered", request_id="b", after_ms=300.0, left_out=4),
    line(2.5, "request given up", request_id="c", after_ms=5.0, left_out=0),
    line(3.1, "in force", revision=4, before=3),
    line(5.0, "leaving"),
]


def test_log_lines_are_summarised_by_time_step():
    timeline = _report.build_timeline(read_log(TEXTS))
    assert timeline.step_s == 1.0
    assert [dict(step.outcomes) for step in timeline.steps] == [
        {},
        {"answered": 6},
        {"given up": 1},
        {},
        {},
        {},
    ]
    assert timeline.steps[1].durations_ms == [100.0, 300.0]
    assert [step.serving for step in timeline.steps] == [2, 2, 2, 2, 2, 1]
    assert [step.revisions for step in timeline.steps] == [(3, 3)] * 3 + [
        (3, 4),
        (3, 4),
        (3, 3),
    ]


def test_a_restarted_instance_has_no_rules_until_it_logs_them():
    texts = [
        line(0.0, "in force", revision=9, before=0),
        line(2.0, "serving", callers="10.0.0.1:80"),
        line(4.0, "in force", revision=9, before=0),
    ]
    timeline = _report.build_timeline(read_log(texts))
    assert [step.serving for step in timeline.steps] == [1, 1, 0, 0, 1]


def test_a_long_log_has_a_bounded_number_of_steps():
    texts = [line(0, "serving"), line(59.9, "leaving")]
    texts.append(texts[-1].replace("10:00:59", "15:00:59"))
    timeline = _report.build_timeline(read_log(texts))
    assert len(timeline.steps) <= _report.MAX_STEPS + 1


def test_the_page_contains_four_charts(tmp_path):
    page = tmp_path / "page.svg"
    done = run("report", str(page), text="\n".join(TEXTS))
    assert (done.returncode, done.stderr) == (0, "")
    root = ET.fromstring(page.read_text())
    assert root.tag == SVG
    assert len(root.findall(SVG)) == 4


def test_empty_input_and_unwritable_output_are_reported(tmp_path):
    empty = run("report", str(tmp_path / "page.svg"), text="words\n")
    assert empty.returncode == 3
    assert "no log lines" in empty.stderr
    assert not (tmp_path / "page.svg").exists()
    nowhere = run("report", str(tmp_path / "no" / "page.svg"), text=TEXTS[0])
    assert nowhere.returncode == 2
    assert "No such file" in nowhere.stderr
