"""A page of charts on what happened, drawn from the log lines of all instances."""

import collections
import math
from datetime import datetime

import attrs
import pygal
from pygal.style import CleanStyle

from cairnferry.ctl._explain import Log, LogLine

WIDTH = 1000
CHART_HEIGHT = 260
# Points of a chart; more cannot be told apart at this width.
MOST_STEPS = 120
QUANTILES = (0.5, 0.99)
# Messages on requests that ended, and what they are called in the chart.
ENDED = {
    "request answered": "answered",
    "request sent more than once": "sent more than once",
    "request given up": "given up",
    "request rejected": "rejected",
    "caller gone": "caller gone",
}


@attrs.define
class Step:
    """What happened in one step of time.

    Attributes
    ----------
    ended : Counter
        Requests by how they ended; lines that were left out are counted too, in the
        step of the line that tells of them.
    times_ms : list of float
        Milliseconds of the requests that have a line.
    serving : int
        Instances that serve and do not leave, at the end of the step.
    revisions : tuple of int
        The lowest and the highest revision in force there; empty if there is none.
    """

    ended: collections.Counter = attrs.field(factory=collections.Counter)
    times_ms: list[float] = attrs.field(factory=list)
    serving: int = 0
    revisions: tuple[int, ...] = ()


@attrs.frozen
class Timeline:
    """Steps of equal length.

    Attributes
    ----------
    begin : datetime
        Time at which the first one begins.
    step_s : float
        Length in seconds.
    steps : list of Step
        All steps, also those in which nothing happened.
    """

    begin: datetime
    step_s: float
    steps: list[Step]


@attrs.define
class _Instances:
    """Which instances serve, and at which revision."""

    revisions: dict[str, int] = attrs.field(factory=dict)

    def take(self, line: LogLine) -> None:
        match line.message:
            case "serving":
                # It has no rules yet, whatever an earlier process had.
                self.revisions.pop(line.instance, None)
            case "in force":
                self.revisions[line.instance] = line.facts["revision"]
            case "leaving":
                self.revisions.pop(line.instance, None)

    def show(self, step: Step) -> None:
        step.serving = len(self.revisions)
        if self.revisions:
            known = self.revisions.values()
            step.revisions = (min(known), max(known))


def timeline(log: Log) -> Timeline | None:
    """Sum the lines up by steps of time; None if there are no lines."""
    if not log.lines:
        return None
    begin = log.lines[0].time
    length = (log.lines[-1].time - begin).total_seconds()
    step_s = max(1.0, math.ceil(length / MOST_STEPS))
    steps = [Step() for _ in range(int(length / step_s) + 1)]
    instances = _Instances()
    by_step = collections.defaultdict(list)
    for line in log.lines:
        by_step[int((line.time - begin).total_seconds() / step_s)].append(line)
    for index, step in enumerate(steps):
        for line in by_step[index]:
            instances.take(line)
            _count(step, line)
        instances.show(step)
    return Timeline(begin, step_s, steps)


def _count(step, line):
    ended = ENDED.get(line.message)
    if ended is None:
        return
    step.ended[ended] += 1 + line.facts.get("left_out", 0)
    if "after_ms" in line.facts:
        step.times_ms.append(line.facts["after_ms"])


def draw(shown: Timeline) -> str:
    """Draw a page of charts as SVG."""
    charts = [
        _chart(shown, "Requests a second, by how they ended", _ended(shown), True),
        _chart(shown, "Milliseconds of requests that have a line", _times(shown)),
        _chart(shown, "Instances that serve", {"serving": _serving(shown)}),
        _chart(shown, "Revision in force", _revisions(shown)),
    ]
    height = CHART_HEIGHT * len(charts)
    inner = "".join(
        f'<svg x="0" y="{CHART_HEIGHT * index}" width="{WIDTH}" '
        f'height="{CHART_HEIGHT}">{chart}</svg>'
        for index, chart in enumerate(charts)
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" '
        f'xmlns:xlink="http://www.w3.org/1999/xlink" viewBox="0 0 {WIDTH} {height}" '
        f'width="{WIDTH}" height="{height}">{inner}</svg>\n'
    )


def _chart(shown, title, series, is_stacked=False):
    sort = pygal.StackedLine if is_stacked else pygal.Line
    chart = sort(
        title=title,
        width=WIDTH,
        height=CHART_HEIGHT,
        style=CleanStyle,
        fill=is_stacked,
        show_dots=False,
        show_minor_x_labels=False,
        x_labels_major_every=max(1, len(shown.steps) // 10),
        include_x_axis=True,
        disable_xml_declaration=True,
        js=(),
    )
    chart.x_labels = [f"{i * shown.step_s:g} s" for i in range(len(shown.steps))]
    for name, values in series.items():
        chart.add(name, values)
    return chart.render(is_unicode=True)


def _ended(shown):
    return {
        name: [step.ended[name] / shown.step_s for step in shown.steps]
        for name in ENDED.values()
    }


def _times(shown):
    return {
        f"{part * 100:g} in 100 within": [
            _quantile(step.times_ms, part) for step in shown.steps
        ]
        for part in QUANTILES
    }


def _quantile(values, part):
    ordered = sorted(values)
    return ordered[int(part * (len(ordered) - 1))] if ordered else None


def _serving(shown):
    return [step.serving for step in shown.steps]


def _revisions(shown):
    return {
        name: [pick(step.revisions) if step.revisions else None for step in shown.steps]
        for name, pick in (("lowest", min), ("highest", max))
    }
