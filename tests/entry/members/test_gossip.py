"""Gossip: the peers that a daemon calls in a round, and what it fetches from them."""

import time

import attrs
import pytest

from cairnferry.coordination import (
    Batch,
    Hold,
    MemberState,
    Note,
    NoteRegistry,
    Row,
    TableReplica,
    TableUpdate,
    VersionSpan,
)
from cairnferry.entry._ports import EntryRow
from cairnferry.entry.members import _cluster, _gossip
from cairnferry.entry.members._gossip import Gossip
from cairnferry.peers import TableState

from ._clusters import cluster, member

NEAR = [f"e{index}" for index in range(62)]
FAR = [f"y{index}" for index in range(8)]


@attrs.define
class Table:
    """A shared table that retains no removed rows."""

    copy: TableReplica = attrs.field(factory=TableReplica)
    hold: Hold = Hold()
    settled: VersionSpan = VersionSpan()

    def extend(self, hold):
        self.hold = max(self.hold, hold, key=lambda each: each.until)

    def settle(self, span):
        self.settled = self.settled.merge(span)
        return False

    def apply_update(self, update):
        return self.copy.apply_update(update)


class Links:
    """Calls other daemons of the test directly, and records the calls."""

    def __init__(self):
        self.daemons = {}
        self.called = []

    def link_to(self, address, is_cross_zone=False):
        return Link(self, address, is_cross_zone)

    def close_unused(self, since):
        pass


@attrs.frozen
class Link:
    links: Links
    address: str
    is_cross_zone: bool

    def heartbeat(self, mine):
        self.links.called.append((self.address, self.is_cross_zone))
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


def all_except(excluded):
    near = [member(name) for name in NEAR if name != excluded]
    return near + [member(name, "yard") for name in FAR]


def calls_of(gossip, links):
    links.called.clear()
    gossip.one_round()
    gossip._calls.join()
    return [is_cross_zone for address, is_cross_zone in links.called]


@pytest.fixture
def zones(start):
    """Return the daemons of the first of two zones, which see each other."""
    made = {name: start(name, all_except(name)) for name in NEAR}
    yard = [member(name, "yard") for name in FAR] + [member(n) for n in NEAR[:8]]
    for name in FAR:
        start(name, [m for m in yard if m.name != name], "yard")
    return made


def test_only_the_first_members_of_a_zone_call_other_zones(zones, links):
    """Guards against traffic between zones that costs more than the machines.

    Each of 312 daemons called any of the others, four in five of them in other zones.
    """
    far = {name: sum(calls_of(gossip, links)) for name, gossip in zones.items()}
    assert sorted(far.values()) == [0] * 60 + [1] * _gossip.CROSS_ZONE_CALLERS


def test_some_members_only_are_reported_to_another_zone(zones):
    view = zones["e0"].cluster
    assert len(view.heartbeat("yard").member_updates) == 8
    assert all(m.zone == "hall" for m in view.heartbeat("yard").member_updates)


def test_losses_of_known_members_are_reported_to_another_zone(zones):
    view = zones["e0"].cluster
    known = {m.name for m in view.heartbeat("yard").member_updates}
    for name in known - {"e0"}:
        view.membership.suspect(name, 1.0)
    reported = {m.name: m.state.name for m in view.heartbeat("yard").member_updates}
    assert known <= reported.keys()
    assert len(reported) >= 15


def test_only_changed_rows_of_a_table_are_fetched_and_only_once(start, links):
    rows = tuple(Row(f"i-{n}", b"x", n + 1) for n in range(300))
    source = start("e1", [member("e2")])
    source.cluster.tables["targets"].copy.apply_listing(Batch(rows, 400))
    fetcher = start("e2", [member("e1")])
    fetcher.one_round()
    fetcher._calls.join()
    assert len(fetcher.cluster.tables["targets"].copy.rows) == 300
    change = Batch((Row("i-0", None, 500),), 500)
    source.cluster.tables["targets"].copy.apply_changes(change)
    update = source.news_since("targets", 400)
    assert update == TableUpdate(False, (Row("i-0", None, 500),), 500)
    calls_of(fetcher, links)
    assert ("targets", 400) in links.called
    assert calls_of(fetcher, links) == [False]


def test_a_called_daemon_fetches_from_a_caller_that_is_ahead(start, links):
    called = start("e1", [member("e2")])
    calling = start("e2", [member("e1")])
    rows = (Row("i-1", b"x", 3),)
    calling.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    calling.one_round()
    calling._calls.join()
    called._calls.join()
    while not called.cluster.tables["targets"].copy.rows:
        _gossip.gevent.sleep(0)


def test_the_end_of_an_outage_is_reported_with_the_rows(start, monkeypatch):
    """Guards against a zone without targets for two seconds after an outage.

    The zone received the removals from another zone, but not that they were due to an
    outage of the store, during which writers could not renew their rows.
    """
    source = start("e1", [member("e2")])
    monkeypatch.setattr(time, "monotonic", lambda: 100.0)
    hold = Hold(began_at=96.0, until=101.5)
    source.cluster.tables["targets"].hold = hold
    fetcher = start("e2", [member("e1")])
    fetcher.one_round()
    fetcher._calls.join()
    assert fetcher.cluster.tables["targets"].hold == hold


def test_settled_removals_are_reported(start):
    """Guards against rows that one daemon's lost connection keeps in use at others."""
    source = start("e1", [member("e2")])
    source.cluster.tables["targets"].settled = VersionSpan(3, 9)
    fetcher = start("e2", [member("e1")])
    fetcher.one_round()
    fetcher._calls.join()
    assert fetcher.cluster.tables["targets"].settled == VersionSpan(3, 9)


def test_a_table_that_only_the_peer_has_is_ignored(start):
    gossip = start("e1", [member("e2")])
    start("e2", [member("e1")])
    theirs = attrs.evolve(
        gossip.cluster.heartbeat("hall"),
        sender=member("e2"),
        tables=(TableState("later", 9, 0.0),),
    )
    gossip.heartbeat(theirs)
    assert gossip.news_since("later", 0) == TableUpdate(False, (), 0)


def test_a_daemon_refutes_its_loss_as_reported_by_another_zone(start):
    """Guards against an instance that another zone never uses again after a partition.

    Calls from zone yard to e1 fail for a while, and yard declares e1 lost; the zone
    of e1 notices nothing. Zone yard reported its own members only, so that e1 had
    nothing to refute.
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


def test_a_daemon_that_has_just_joined_fetches_at_once(start, links):
    """Guards against 0.4 s more of refused requests after all daemons were killed.

    A daemon that starts gets a list of others. None of them is a member yet, and
    unknown members are called in each fourth round only.
    """
    source = start("e1", [])
    rows = (Row("i-1", b"x", 3),)
    source.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    joining = start("e2", [])
    joining.rounds = 1
    joining.listed_peers = {"e1:1": "hall"}
    joining.contact_listed_peers()
    joining.one_round()
    joining._calls.join()
    assert joining.cluster.tables["targets"].copy.version == 5


def test_a_daemon_may_fetch_from_a_responder_in_another_zone(start, links):
    source = start("y1", [], "yard")
    rows = (Row("i-1", b"x", 3),)
    source.cluster.tables["targets"].copy.apply_listing(Batch(rows, 5))
    joining = start("e2", [])
    joining.contact_listed_peers(EntryRow("y1", "yard", "y1:1"))
    joining._calls.join()
    assert joining.cluster.tables["targets"].copy.version == 5
    assert ("y1:1", True) in links.called


@pytest.fixture
def informed(start):
    """Return a daemon whose notes are no longer gossiped, and one without rules."""
    old, new = start("e1", [member("e2")]), start("e2", [member("e1")])
    view = old.cluster
    view.limits = NoteRegistry(lambda *note: None, spread_s=-1.0)
    view.post_limit(Note("t-1", "limit 3.0", 30.0))
    view.block_notes = lambda: [Note("digest", "blocked * 0 100", 30.0)]
    view.heartbeat("hall")
    new.cluster.configuration = NoRules()
    return old, new


class NoRules:
    revision = 0
    behind = None


def notes_in(heartbeat):
    return [note.subject for note in (*heartbeat.suspicions, *heartbeat.limits)]


def test_a_daemon_without_rules_is_told_all_notes(informed):
    """Guards against a newcomer that sends blocked requests or exceeds limits."""
    old, new = informed
    for _ in range(2):
        answer = old.heartbeat(new.cluster.heartbeat("hall"))
        assert notes_in(answer) == ["digest", "t-1"]


def test_notes_that_are_gossiped_are_not_lost_to_a_newcomer(informed):
    """Guards against evidence that counts as sent and is left out for the blocks."""
    old, new = informed
    old.cluster.suspicions = NoteRegistry(lambda *note: None)
    old.cluster.post_suspicion(Note("evidence", "ended * 10 t-1", 30.0))
    answer = old.heartbeat(new.cluster.heartbeat("hall"))
    assert notes_in(answer) == ["digest", "evidence", "t-1"]


def test_a_daemon_with_rules_is_told_all_notes_once(informed):
    """Guards against a daemon that lacks notes as it got its rules in a handover."""
    old, new = informed
    new.cluster.configuration.revision = 1
    told = [notes_in(old.heartbeat(new.cluster.heartbeat("hall"))) for _ in range(2)]
    assert told == [["digest", "t-1"], []]
    new.cluster.membership.me = member("e2", incarnation=2)
    assert notes_in(old.heartbeat(new.cluster.heartbeat("hall")))


def test_a_called_daemon_is_told_all_notes_until_it_answers(informed, links):
    """Guards against a newcomer that gets rules, but no notes, as a peer calls it."""
    old, new = informed
    received = []
    old.links = Recorder(links, received)
    for _ in range(2):
        old._call("e2", "e2:1", "hall")
    assert [notes_in(each) for each in received] == [["digest", "t-1"], []]


def test_the_notes_that_a_newcomer_is_told_are_limited(informed, monkeypatch):
    """Guards against heartbeats that fill the links as all daemons start."""
    old, new = informed
    monkeypatch.setattr(_cluster, "MAX_FIRST_NOTES", 2)
    old.cluster.block_notes = lambda: [Note(f"d{n}", "s", 30.0) for n in range(5)]
    for seconds in (3.0, 1.0, 2.0):
        old.cluster.post_limit(Note(f"t-{seconds}", "limit 3.0", seconds))
    answer = old.heartbeat(new.cluster.heartbeat("hall"))
    assert notes_in(answer) == ["d3", "d4", "t-3.0", "t-1"]


@attrs.frozen
class Recorder:
    """Links that record the heartbeats sent on them."""

    links: Links
    sent: list

    def link_to(self, address, is_cross_zone=False):
        return RecordingLink(self.links.link_to(address, is_cross_zone), self.sent)


@attrs.frozen
class RecordingLink:
    link: Link
    sent: list

    def heartbeat(self, mine):
        self.sent.append(mine)
        return self.link.heartbeat(mine)
