"""Tables and plots of the benchmark's results."""

import pathlib
import statistics

import pygal

from bench.runner import LOST_MS

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
    """Write a table and a plot for each size."""
    for size in sorted({row["size"] for row in results}):
        rows = [row for row in results if row["size"] == size]
        table = _table(rows)
        (folder / f"{size}.md").write_text(table)
        _plot(rows, size).render_to_file(str(folder / f"{size}.svg"))
        print(table)


def _table(rows):
    head = ["case", "strategy", *[title for _, title, _ in COLUMNS]]
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    for case, strategy in _keys(rows):
        cells = [case, strategy]
        chosen = _chosen(rows, case, strategy)
        cells += [_cell(chosen, key, form) for key, _, form in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _keys(rows):
    return list(dict.fromkeys((row["case"], row["strategy"]) for row in rows))


def _chosen(rows, case, strategy):
    return [r for r in rows if r["case"] == case and r["strategy"] == strategy]


def _cell(rows, key, form):
    """Give the median of the repeats, and their range if there are several."""
    values = [row[key] for row in rows if row[key] is not None]
    if not values:
        return "-"
    middle = statistics.median(values)
    if middle == LOST_MS:
        return "lost"
    text = form.format(middle)
    if len(values) > 1 and key == "p99_ms":
        text += f" ({form.format(min(values))} to {form.format(max(values))})"
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
            chosen = _chosen(rows, case, strategy)
            found = [row["p99_ms"] for row in chosen if row["p99_ms"] is not None]
            values.append(statistics.median(found) if found else None)
        chart.add(strategy, values)
    return chart
