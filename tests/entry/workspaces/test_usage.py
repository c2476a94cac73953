"""Use of the limits of workspaces, for operators."""

from cairnferry.entry.workspaces import WorkspaceRegistry
from cairnferry.entry.workspaces._usage import MAX_LABELS, OTHER, LimitUsage
from cairnferry.records import Workspace


def test_metrics_have_a_bounded_number_of_workspaces():
    """10,000 workspaces would make 10,000 series at each daemon."""
    usage = LimitUsage()
    for number in range(500):
        usage.note(f"w-{number}", "admitted")
    counts = usage.counts()
    assert len(counts) == MAX_LABELS + 1
    other = [row["count"] for row in counts if row["workspace"] == OTHER]
    assert other == [500 - MAX_LABELS]


def test_rows_show_limited_workspaces_with_their_owner():
    registry = WorkspaceRegistry()
    red = Workspace("red", frozenset(), None, 8.0, 16.0)
    registry.install(registry.prepare([red, Workspace("free", frozenset())]))
    usage = LimitUsage()
    (row,) = usage.rows(registry, lambda name: "front-2")
    assert (row["workspace"], row["owner"], row["age_s"]) == ("red", "front-2", None)
    usage.note("red", "over-limit")
    usage.note_reply("red", "front-3", 0.5)
    (row,) = usage.rows(registry, lambda name: "front-2")
    assert (row["owner"], row["level"]) == ("front-3", 0.5)
    assert row["requests"] == {"over-limit": 1}
