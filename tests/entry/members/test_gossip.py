"""Rounds of heartbeats: whom a daemon calls, and what it fetches."""

import math

import attrs
import pytest

from cairnferry.coordination import Batch, MemberState, Row, TableReplica, TableUpdate
from cairnferry.entry._ports import EntryRow
from cairnferry.entry.members import _gossip
from cairnferry.entry.members._gossip import Gossip
from cairnferry.peers import TableState

from ._clusters import cluster, member

NEAR = [f"e{index}" for index in range(62)]
FAR = [f"y{index}" for index in range(8)]


@attrs.define
class Table:
    """A shared table that holds nothing back."""

    copy: TableReplica = attrs.field(factory=TableReplica)
    grace_left: float = 0.0

    def hold_for(self, seconds):
        self.grace_left = max(self.grace_left, seconds)

    def apply_update(self, news):
        return self.copy.apply_update(news)


class Links:
    """Calls other daemons of the test directly, and notes who was called."""

    def __init__(self):
        self.daemons = {}
        self.called = []

    def to(self, address, is_far=False):
        return Link(self, address, is_far)

    def close_unused(self, since):
        pass


@attrs.frozen
class Link:
    links: Links
    address: str
    is_far: bool

    def heartbeat(self, mine):
        self.links.called.append((self.address, self.is_far))
        return self.links.daemons[self.address].heartbeat(mine)

    def news_since(self, table, version):
        self.links.called.append((table, version))
        return self.links.daemons[self.address].news_since(table, version)


@pytest.fixture
def links():
    return Links()


@pytest.fixture
def start(links):
    def start(name, others, zone="hall"):
        view = cluster(name, *others, zone=zone)
        view.tables = {"targets": Table()}
        gossip = Gossip(view, None, links, 0.5, 2, ())
        links.daemons[f"{name}:1"] = gossip
        return gossip

    return start


def everyone(but):
    near = [member(name) for name in NEAR if name != but]
    return near + [member(name, "yard") for name in FAR]


def calls_of(gossip, links):
    links.called.clear()
    gossip.one_round()
    gossip._calls.join()
    return [is_far for address, is_far in links.called]


@pytest.fixture
def zones(start):
    """Give all daemons of two zones, who know each other."""
    made = {name: start(name, everyone(name)) for name in NEAR}
    yard = [member(name, "yard") for name in FAR] + [member(n) for n in NEAR[:8]]
    for name in FAR:
        start(name, [m for m in yard if m.name != name], "yard")
    return made


def test_only_the_first_of_a_zone_call_other_zones(zones, links):
    """Symptom: bytes between zones cost more than the daemons' machines.

    Cause: each of 312 daemons called any of the others, four in five of them far.
    """
    far = {name: sum(calls_of(gossip, links)) for name, gossip in zones.items()}
    assert sorted(far.values()) == [0] * 60 + [1] * _gossip.FAR_CALLERS


def test_another_zone_is_told_of_some_members_alone(zones):
    view = zones["e0"].cluster
    assert len(view.heartbeat("yard").news) == 8
    assert all(m.zone == "hall" for m in view.heartbeat("yard").news)


def test_another_zone_hears_of_the_loss_of_those_it_knows(zones):
    view = zones["e0"].cluster
    known = {m.name for m in view.heartbeat("yard").news}
    for name in known - {"e0"}:
        view.membership.suspect(name, 1.0)
    told = {m.name: m.state.name for m in view.heartbeat("yard").news}
    assert known <= told.keys()
    assert len(told) >= 15


def test_what_is_new_in_a_table_is_fetched_once_and_alone(start, links):
    rows = tuple(Row(f"i-{n}", b"x", n + 1) for n in range(300))
    knowing = start("e1", [member("e2")])
    knowing.cluster.tables["targets"].copy.apply_listing(Batch(rows, 400))
    asking = start("e2", [member("e1")])
    asking.one_round()
    asking._calls.join()
    assert len(asking.cluster.tables["targets"].copy.rows) == 300
    change = Batch((Row("i-0", None, 500),), 500)
    knowing.cluster.tables["targets"].copy.apply_changes(change)
    news = knowing.news_since("targets", 400)
    assert news == TableUpdate(False, (Row("i-0", None, 500),), 500)
    calls_of(asking, links)
    assert ("targets", 400) in links.called
    assert calls_of(asking, links) == [False]


def test_a_caller_that_knows_more_is_asked_by_the_one_called(start, links):
    called = start("e1", [member("e2")])
    calling = start("e2", [member("e1")])
    rows = (Row("i-1", b"x", 3),)
    calling.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    calling.one_round()
    calling._calls.join()
    called._calls.join()
    while not called.cluster.tables["targets"].copy.rows:
        _gossip.gevent.sleep(0)


def test_the_end_of_an_outage_is_told_with_the_rows(start):
    """Symptom: after an outage the targets of one zone are gone for two seconds.

    Cause: it heard of the removals from another zone, and not that the store had been
    away when their writers could not renew the rows.
    """
    knowing = start("e1", [member("e2")])
    knowing.cluster.tables["targets"].grace_left = 1.5
    asking = start("e2", [member("e1")])
    asking.one_round()
    asking._calls.join()
    assert math.isclose(asking.cluster.tables["targets"].grace_left, 1.5)


def test_a_table_that_only_the_other_side_knows_is_passed_over(start):
    gossip = start("e1", [member("e2")])
    start("e2", [member("e1")])
    theirs = attrs.evolve(
        gossip.cluster.heartbeat("hall"),
        sender=member("e2"),
        tables=(TableState("later", 9, 0.0),),
    )
    gossip.heartbeat(theirs)
    assert gossip.news_since("later", 0) == TableUpdate(False, (), 0)


def test_one_that_another_zone_calls_gone_by_mistake_hears_of_it(start):
    """Symptom: after a cut one zone never uses an instance of another zone again.

    Events: calls from the yard to e1 fail for a while, and it is called gone there; in
    its own zone nobody noticed. Cause: the yard told its own members alone, so that e1
    had nothing to refute.
    """
    first = start("e1", [member("e2"), member("y1", "yard")])
    start("e2", [member("e1"), member("y1", "yard")])
    yard = start("y1", [member("e1"), member("e2")], "yard")
    yard.cluster.membership.suspect("e1", 0.0)
    yard.cluster.membership.apply_timeouts(10.0)
    yard._call("e2", "e2:1", "hall")
    first.one_round()
    first._calls.join()
    yard._call("e2", "e2:1", "hall")
    assert yard.cluster.membership.get("e1").state is MemberState.ALIVE


def test_one_that_has_just_joined_fetches_what_is_in_force_at_once(start, links):
    """Symptom: after all were killed callers are refused for 0.4 s more than before.

    Events: a daemon starts and is told of others; none is a member yet, and strangers
    are tried in each fourth round.
    """
    knowing = start("e1", [])
    rows = (Row("i-1", b"x", 3),)
    knowing.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    late = start("e2", [])
    late.rounds = 1
    late.listed_peers = {"e1:1": "hall"}
    late.meet()
    late.one_round()
    late._calls.join()
    assert late.cluster.tables["targets"].copy.version == 5


def test_one_that_joins_by_a_far_one_may_fetch_from_it(start, links):
    knowing = start("y1", [], "yard")
    rows = (Row("i-1", b"x", 3),)
    knowing.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    late = start("e2", [])
    late.meet(EntryRow("y1", "yard", "y1:1"))
    late._calls.join()
    assert late.cluster.tables["targets"].copy.version == 5
    assert ("y1:1", True) in links.called
