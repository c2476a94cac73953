"""The platform's list of instances as a registry."""

import random

import attrs
from expression import Error, Ok

from cairnferry.cloudapi import Instance
from cairnferry.coordination import Membership, TableUnavailable
from cairnferry.entry._ports import EntryRow, FeedUnavailable, KeyExists
from cairnferry.entry.daemon._listing import ListedRegistry
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.peers import KeyRing
from tests.entry.members.test_enrolment import Peers, member

ENTRIES = (
    Instance("a", "hall", "entry", "10.0.0.1:1", False),
    Instance("bb", "yard", "entry", "10.0.0.1:2", True),
    Instance("ccc", "yard", "entry", "10.0.0.1:3", False),
)
TARGETS = (
    Instance("t1", "hall", "target", "10.0.0.2:1", False),
    Instance("t2", "hall", "target", "10.0.0.2:2", True),
)


@attrs.define
class List:
    fetched: object

    def fetch(self):
        return self.fetched


def registry(fetched):
    noted = []
    return ListedRegistry(List(fetched), noted.append), noted


def test_entries_and_leaving_targets_come_from_one_read():
    listed, noted = registry(Ok([*ENTRIES, *TARGETS]))
    enrolled = listed.read().ok
    assert enrolled.key is None
    assert [(e.name, e.zone, e.peer_address, e.leaving) for e in enrolled.entries] == [
        (i.name, i.zone, i.address, i.leaving) for i in ENTRIES
    ]
    assert noted == [{"10.0.0.2:2"}]


def test_a_list_that_cannot_be_read_is_reported_as_unavailable():
    listed, noted = registry(Error(TableUnavailable("status 503")))
    assert listed.read().error == FeedUnavailable("status 503")
    assert noted == []


def test_writes_to_the_platform_s_list_do_nothing():
    listed, _ = registry(Ok(list(ENTRIES)))
    me = EntryRow("a", "hall", "10.0.0.1:1")
    assert listed.write(me).is_ok()
    assert listed.write_first(me, b"key").error == KeyExists()
    assert listed.remove({"ccc"}).is_ok()
    assert len(listed.read().ok.entries) == 3


def test_a_daemon_gets_peers_from_the_list_and_keeps_its_keys():
    listed, _ = registry(Ok(list(ENTRIES)))
    peers = Peers("a")
    assert isinstance(peers.membership, Membership)
    keys = KeyRing("no-such-file")
    me = EntryRow("a", "hall", "10.0.0.1:1")
    enrolled = Enrolment(listed, me, keys, peers, peers, random.Random(1))
    enrolled.refresh()
    assert peers.listed_peers == {"10.0.0.1:3": "yard"}
    assert peers.listed["bb"].leaving
    assert not peers.listed["ccc"].leaving
    listed.instances.fetched = Error(TableUnavailable("status 503"))
    enrolled.refresh()
    assert set(peers.listed) == {member(name).name for name in ("a", "bb", "ccc")}
