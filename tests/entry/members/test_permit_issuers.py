"""Selection of a limited target's permit issuer, in the views of several daemons."""

import pytest

from cairnferry.coordination import MemberState
from cairnferry.entry.members import PermitIssuers
from cairnferry.entry.members._cluster import ListedInstance

from ._clusters import cluster, member

HALL = ("h1", "h2", "h3", "h4")
YARD = ("y1", "y2", "y3")


def view(name, zone="hall", gone=(), unknown=()):
    """Return the issuers in the view of one daemon; all daemons are listed."""
    zones = dict.fromkeys(HALL, "hall") | dict.fromkeys(YARD, "yard")
    others = [
        member(n, z, MemberState.GONE if n in gone else MemberState.ALIVE)
        for n, z in zones.items()
        if n != name and n not in unknown
    ]
    seen = cluster(name, *others, zone=zone)
    seen.listed = {n: ListedInstance(z, False, f"{n}:1") for n, z in zones.items()}
    return PermitIssuers(seen)


@pytest.mark.parametrize("target", [f"i-{number}" for number in range(6)])
def test_all_daemons_select_the_same_issuer_in_the_target_s_zone(target):
    selected = {view(name).issuer_for(target, "hall").name for name in HALL}
    # A daemon of another zone sees few members of this one and uses the list.
    selected.add(view("y1", "yard", unknown=HALL).issuer_for(target, "hall").name)
    (issuer,) = selected
    assert issuer in HALL
    assert [name for name in HALL if view(name).is_issuer(target, "hall")] == [issuer]
    assert view("y1", "yard").issuer_for(target, "hall").peer_address == f"{issuer}:1"


def test_targets_are_distributed_over_the_daemons():
    issuers = {
        view("h1").issuer_for(f"i-{number}", "hall").name for number in range(60)
    }
    assert issuers == set(HALL)


def test_a_lost_issuer_is_replaced_by_the_next_of_its_zone():
    target = "i-1"
    first = view("y1", "yard").issuer_for(target, "hall").name
    others = [name for name in HALL if name != first]
    second = view(others[0], gone=(first,)).issuer_for(target, "hall").name
    assert second != first
    assert view(second, gone=(first,)).is_issuer(target, "hall")
    # Another zone detects the loss by a failed call.
    far = view("y1", "yard", unknown=HALL)
    far.mark_unresponsive(first)
    assert far.issuer_for(target, "hall").name == second


def test_a_target_in_a_zone_without_daemons_has_an_issuer_elsewhere():
    selected = {view(name).issuer_for("i-1", "court").name for name in HALL}
    selected |= {view(name, "yard").issuer_for("i-1", "court").name for name in YARD}
    assert len(selected) == 1


def test_both_sides_of_a_partition_issue_the_limit_in_total():
    """Guards against a limited target that gets twice its limit in a partition."""
    parts = [
        view("h1", gone=("h2", "h3", "h4")).visible_share("hall"),
        view("h2", gone=("h1",)).visible_share("hall"),
    ]
    assert parts == [0.25, 0.75]
    assert view("h1").visible_share("hall") == 1.0
    assert view("h1", gone=YARD).visible_share("hall") == 1.0


def test_a_single_daemon_without_a_list_issues_the_whole_limit():
    alone = PermitIssuers(cluster("h1"))
    assert alone.visible_share("hall") == 1.0
    assert alone.issuer_for("i-1", "hall").name == "h1"
