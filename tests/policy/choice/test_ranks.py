"""Ranks of the requests that a service gets, by route and by workspace."""

from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.choice._work import RANK_ARRIVALS


def test_workspaces_of_one_route_have_several_ranks():
    """Guards against requests that count as most urgent by the rank sent last."""
    work = WorkEstimates()
    work.note_arrival("r", 0, "urgent")
    work.note_arrival("r", 5, "patient")
    assert work.is_urgent(0)
    assert not work.is_urgent(5)
    work.note_arrival("r", 3)
    assert not work.is_urgent(3)


def test_rank_that_no_workspace_sends_any_more_is_forgotten():
    """Guards against requests that stay less urgent than a removed workspace's."""
    work = WorkEstimates()
    work.note_arrival("r", 0, "removed")
    for _ in range(2 * RANK_ARRIVALS):
        work.note_arrival("r", 4, "patient")
    assert work.is_urgent(4)


def test_rank_of_a_route_replaces_its_former_rank():
    work = WorkEstimates()
    work.note_arrival("r", 0)
    work.note_arrival("r", 4)
    assert work.is_urgent(4)
