"""Creation of counters and histograms."""

from cairnferry.entry.telemetry import Metrics, _metrics


def test_one_histogram_is_created_per_service(monkeypatch):
    """Guards against wasted CPU time for a histogram that is discarded each time."""
    created = []
    histogram = _metrics.HdrHistogram

    def create(*args):
        created.append(args)
        return histogram(*args)

    monkeypatch.setattr(_metrics, "HdrHistogram", create)
    metrics = Metrics()
    for service in ("a", "b") * 50:
        metrics.note_answer(service, "relayed", 0.01)
        metrics.note_wait(service, 0.001)
    assert len(created) == 4
    assert metrics.latency["a"].quantiles()["count"] == 50
