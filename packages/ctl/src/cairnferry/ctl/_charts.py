"""Draw charts of a timeline as one SVG page.

Only this module imports the chart library, because the library installs an import
hook that breaks other code, such as the test runner.
"""

import pygal
from pygal.style import CleanStyle

from cairnferry.ctl._report import OUTCOME_BY_MESSAGE, Timeline

WIDTH = 1000
CHART_HEIGHT = 260
QUANTILES = (0.5, 0.99)


def draw(timeline: Timeline) -> str:
    """Return a page of charts as SVG."""
    charts = [
        _chart(
            timeline, "Requests per second by outcome", _outcome_rates(timeline), True
        ),
        _chart(
            timeline,
            "Milliseconds of logged requests",
            _durations(timeline),
        ),
        _chart(timeline, "Serving instances", {"serving": _serving(timeline)}),
        _chart(timeline, "Revision in force", _revisions(timeline)),
    ]
    height = CHART_HEIGHT * len(charts)
    charts_svg = "".join(
        f'<svg x="0" y="{CHART_HEIGHT * index}" width="{WIDTH}" '
        f'height="{CHART_HEIGHT}">{chart}</svg>'
        for index, chart in enumerate(charts)
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" '
        f'xmlns:xlink="http://www.w3.org/1999/xlink" viewBox="0 0 {WIDTH} {height}" '
        f'width="{WIDTH}" height="{height}">{charts_svg}</svg>\n'
    )


def _chart(timeline, title, series, is_stacked=False):
    chart_type = pygal.StackedLine if is_stacked else pygal.Line
    chart = chart_type(
        title=title,
        width=WIDTH,
        height=CHART_HEIGHT,
        style=CleanStyle,
        fill=is_stacked,
        show_dots=False,
        show_minor_x_labels=False,
        x_labels_major_every=max(1, len(timeline.steps) // 10),
        include_x_axis=True,
        truncate_label=-1,
        truncate_legend=-1,
        disable_xml_declaration=True,
        js=(),
    )
    chart.x_labels = [f"{i * timeline.step_s:g} s" for i in range(len(timeline.steps))]
    for name, values in series.items():
        chart.add(name, values)
    return chart.render(is_unicode=True)


def _outcome_rates(timeline):
    return {
        name: [step.outcomes[name] / timeline.step_s for step in timeline.steps]
        for name in OUTCOME_BY_MESSAGE.values()
    }


def _durations(timeline):
    return {
        f"p{quantile * 100:g}": [
            _quantile(step.durations_ms, quantile) for step in timeline.steps
        ]
        for quantile in QUANTILES
    }


def _quantile(values, quantile):
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))] if ordered else None


def _serving(timeline):
    return [step.serving for step in timeline.steps]


def _revisions(timeline):
    return {
        name: [
            select(step.revisions) if step.revisions else None
            for step in timeline.steps
        ]
        for name, select in (("lowest", min), ("highest", max))
    }
