"""Counters and histograms as requests end."""

from cairnferry.entry.telemetry import Metrics, _metrics


def test_a_histogram_is_made_for_each_service_and_not_for_each_request(monkeypatch):
    """Guards against work for each request that its outcome throws away."""
    made = []
    histogram = _metrics.HdrHistogram

    def make(*args):
        made.append(args)
        return histogram(*args)

    monkeypatch.setattr(_metrics, "HdrHistogram", make)
    metrics = Metrics()
    for service in ("a", "b") * 50:
        metrics.note_answer(service, "relayed", 0.01)
        metrics.note_wait(service, 0.001)
    assert len(made) == 4
    assert metrics.latency["a"].quantiles()["count"] == 50
