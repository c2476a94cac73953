"""Charts of what happened over time, as one SVG page.

The drawing library is imported here alone: it adds an importer to the interpreter that
others, such as the test runner, stumble over.
"""

import pygal
from pygal.style import CleanStyle

from cairnferry.ctl._report import ENDED, Timeline

WIDTH = 1000
CHART_HEIGHT = 260
QUANTILES = (0.5, 0.99)


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
        truncate_label=-1,
        truncate_legend=-1,
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
        f"p{part * 100:g}": [_quantile(step.times_ms, part) for step in shown.steps]
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
