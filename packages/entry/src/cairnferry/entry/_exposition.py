"""Metrics in the text format that monitoring systems commonly read."""


def render(document: dict) -> str:
    """Turn a state dump into lines of text.

    Parameters
    ----------
    document : dict
        What `Daemon.dump` gives.
    """
    metrics = document["metrics"]
    lines = []
    for key, count in metrics["outcomes"].items():
        service, outcome = key.split(" ")
        labels = f'service="{service}",outcome="{outcome}"'
        lines.append(f"cairnferry_answers_total{{{labels}}} {count}")
    for cause, count in metrics["causes"].items():
        lines.append(f'cairnferry_given_up_total{{cause="{cause}"}} {count}')
    for result, count in metrics["probes"].items():
        lines.append(f'cairnferry_probes_total{{result="{result}"}} {count}')
    for service, quantiles in metrics["latency_us"].items():
        lines += _latency_lines(service, quantiles)
    for service, state in document["services"].items():
        for kind, count in state["attempts"].items():
            labels = f'service="{service}",kind="{kind}"'
            lines.append(f"cairnferry_attempts_total{{{labels}}} {count}")
    for name, count in document["peers"].items():
        lines.append(f"cairnferry_peer_{name}_total {count}")
    lines.append(f"cairnferry_cpu_seconds_total {metrics['cpu_s']}")
    lines.append(f"cairnferry_revision {document['revision']}")
    dropped = document["log_lines_dropped"]
    lines.append(f"cairnferry_log_lines_dropped_total {dropped}")
    return "\n".join(lines) + "\n"


def _latency_lines(service, quantiles):
    lines = []
    for name, value in quantiles.items():
        if name == "count":
            lines.append(f'cairnferry_latency_us_count{{service="{service}"}} {value}')
            continue
        quantile = float(name[1:]) / 100
        labels = f'service="{service}",quantile="{quantile:g}"'
        lines.append(f"cairnferry_latency_us{{{labels}}} {value}")
    return lines
