"""Tables and plots of the results of the benchmark."""

import pathlib
import statistics

import pygal

from bench.runner import UNANSWERED_MS

# Key in the results, title of the column and format of the value.
COLUMNS = (
    ("p50_ms", "p50 ms", "{:.0f}"),
    ("p99_ms", "p99 ms", "{:.0f}"),
    ("p999_ms", "p99.9 ms", "{:.0f}"),
    ("goodput", "good/s", "{:.0f}"),
    ("failed", "failed", "{:.0f}"),
    ("refused", "refused", "{:.0f}"),
    ("refused_p99_ms", "refused in ms", "{:.1f}"),
    ("attempts", "attempts", "{:.3f}"),
    ("probes", "probes", "{:.4f}"),
    ("measuring_bytes", "measuring B", "{:.0f}"),
    ("cpu_us", "daemon us", "{:.0f}"),
    ("first_target_share", "share of 1st", "{:.3f}"),
)


def write_report(results: list[dict], folder: pathlib.Path) -> None:
    """Write a table and a plot for each size; print the tables.

    Parameters
    ----------
    results : list of dict
        Figures of all runs, as listed in results.json.
    folder : pathlib.Path
        Folder that the files are written to.
    """
    for size in sorted({row["size"] for row in results}):
        rows = [row for row in results if row["size"] == size]
        table = _format_table(rows)
        (folder / f"{size}.md").write_text(table)
        _plot(rows, size).render_to_file(str(folder / f"{size}.svg"))
        print(table)


def _format_table(rows):
    titles = ["case", "strategy", *[title for _, title, _ in COLUMNS]]
    lines = ["| " + " | ".join(titles) + " |", "| --- " * len(titles) + "|"]
    for case, strategy in _cases_and_strategies(rows):
        cells = [case, strategy]
        selected = _select_rows(rows, case, strategy)
        cells += [_format_cell(selected, key, fmt) for key, _, fmt in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _cases_and_strategies(rows):
    return list(dict.fromkeys((row["case"], row["strategy"]) for row in rows))


def _select_rows(rows, case, strategy):
    return [r for r in rows if r["case"] == case and r["strategy"] == strategy]


def _format_cell(rows, key, fmt):
    """Return the median of the repeats; for the p99, also the range of several."""
    values = [row[key] for row in rows if row[key] is not None]
    if not values:
        return "-"
    median = statistics.median(values)
    if median == UNANSWERED_MS:
        return "lost"
    text = fmt.format(median)
    if len(values) > 1 and key == "p99_ms":
        text += f" ({fmt.format(min(values))} to {fmt.format(max(values))})"
    return text


def _plot(rows, size):
    chart = pygal.HorizontalBar(
        title=f"{size}: p99 in ms, logarithmic",
        logarithmic=True,
        height=1400,
        js=[],
        disable_xml_declaration=True,
        no_prefix=True,
    )
    cases = list(dict.fromkeys(row["case"] for row in rows))
    chart.x_labels = cases
    for strategy in dict.fromkeys(row["strategy"] for row in rows):
        values = []
        for case in cases:
            selected = _select_rows(rows, case, strategy)
            measured = [row["p99_ms"] for row in selected if row["p99_ms"] is not None]
            values.append(statistics.median(measured) if measured else None)
        chart.add(strategy, values)
    return chart
