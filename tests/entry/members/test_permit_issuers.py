"""Which daemon gives the permits for a limited target, in whose view."""

import pytest

from cairnferry.coordination import MemberState
from cairnferry.entry.members import PermitIssuers
from cairnferry.entry.members._cluster import ListedInstance

from ._clusters import cluster, member

HALL = ("h1", "h2", "h3", "h4")
YARD = ("y1", "y2", "y3")


def view(name, zone="hall", gone=(), unknown=()):
    """Give what a daemon of three zones sees; all are listed."""
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
def test_all_ask_the_same_one_and_it_is_of_the_target_s_zone(target):
    asked = {view(name).issuer_for(target, "hall").name for name in HALL}
    # One of another zone knows few of this one, and goes by the list.
    asked.add(view("y1", "yard", unknown=HALL).issuer_for(target, "hall").name)
    (giver,) = asked
    assert giver in HALL
    assert [name for name in HALL if view(name).is_issuer(target, "hall")] == [giver]
    assert view("y1", "yard").issuer_for(target, "hall").peer_address == f"{giver}:1"


def test_targets_are_spread_over_the_daemons():
    givers = {view("h1").issuer_for(f"i-{number}", "hall").name for number in range(60)}
    assert givers == set(HALL)


def test_one_that_is_lost_is_followed_by_the_next_of_its_zone():
    target = "i-1"
    first = view("y1", "yard").issuer_for(target, "hall").name
    others = [name for name in HALL if name != first]
    second = view(others[0], gone=(first,)).issuer_for(target, "hall").name
    assert second != first
    assert view(second, gone=(first,)).is_issuer(target, "hall")
    # Another zone hears of the loss by a call that fails.
    far = view("y1", "yard", unknown=HALL)
    far.mark_unresponsive(first)
    assert far.issuer_for(target, "hall").name == second


def test_a_target_of_a_zone_without_daemons_has_one_of_any_zone():
    asked = {view(name).issuer_for("i-1", "court").name for name in HALL}
    asked |= {view(name, "yard").issuer_for("i-1", "court").name for name in YARD}
    assert len(asked) == 1


def test_the_parts_of_a_cut_zone_give_the_whole_limit_together():
    """Symptom: after a cut a target in need gets twice what it takes."""
    parts = [
        view("h1", gone=("h2", "h3", "h4")).visible_share("hall"),
        view("h2", gone=("h1",)).visible_share("hall"),
    ]
    assert parts == [0.25, 0.75]
    assert view("h1").visible_share("hall") == 1.0
    assert view("h1", gone=YARD).visible_share("hall") == 1.0


def test_one_alone_that_has_no_list_yet_gives_the_whole():
    alone = PermitIssuers(cluster("h1"))
    assert alone.visible_share("hall") == 1.0
    assert alone.issuer_for("i-1", "hall").name == "h1"
