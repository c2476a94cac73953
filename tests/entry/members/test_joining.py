"""Daemons that join by others: few calls to the store, and never none that serves."""

import random
import time

import gevent
import pytest
from expression import Ok

from cairnferry.entry._ports import EntryRow
from cairnferry.entry.http._http_server import HttpServer, Limits
from cairnferry.entry.http._small_apps import PagesApp
from cairnferry.entry.members import _enrolment, _joining
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.entry.members._joining import JOIN_PATH, Joiner, Welcome
from cairnferry.peers import SharedKey
from cairnferry.settings import Address
from cairnferry.standins import free_port, wait_for

from ._clusters import cluster
from .test_enrolment import MemoryRegistry, Peers

HOST = "127.0.0.1"
KEY = b"k" * 32


class GroupRegistry(MemoryRegistry):
    """Notes the groups of rows that are written."""

    def __init__(self):
        super().__init__()
        self.groups = []

    def write_all(self, entries):
        self.groups.append({entry.name for entry in entries})

        def action():
            self.rows.update({entry.name: entry for entry in entries})
            return Ok(None)

        return self._do(action)


def row(name, zone="hall"):
    return EntryRow(name, zone, f"10.0.0.1:{len(name)}", "10.0.0.1:80")


def enrolment(registry, name, joiner=None):
    peers = Peers(name)
    rng = random.Random(1)
    keys = SharedKey()
    return Enrolment(registry, row(name), keys, peers, peers, rng, joiner)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(_enrolment, "RETRY_S", 0.001)
    monkeypatch.setattr(_enrolment, "GATHER_S", 0.001)
    monkeypatch.setattr(_joining, "ROUND_S", 0.001)


@pytest.fixture
def registry():
    return GroupRegistry()


@pytest.fixture
def seed(registry):
    """Give an enrolled daemon that takes in others, and where it does."""
    first = enrolment(registry, "a")
    first.enrol()
    address = Address(HOST, free_port())
    app = PagesApp({}, {JOIN_PATH: first.join_page})
    server = HttpServer(address.as_tuple(), app, Limits(10, 5.0, 5.0))
    server.start()
    yield first, address
    server.stop(timeout=0)


def joiner(*others, is_first=False):
    return Joiner(others, is_first, random.Random(1))


def test_one_that_joins_gets_the_key_and_makes_no_call(registry, seed):
    first, address = seed
    second = enrolment(registry, "bb", joiner(address))
    registry.before = 100
    second.enrol()
    assert second.keys.own() == first.keys.own()
    assert second.joined_by == first.me.peer_address
    assert set(second.cluster.listed) == {"a"}
    registry.before = 0


def test_rows_of_many_that_join_are_written_together(registry, seed):
    """Symptom: 312 daemons that start make 1,200 calls before the first request."""
    first, _ = seed
    names = [f"n{index}" for index in range(103)]
    for name in names:
        assert first.welcome(row(name)) is not None
    wait_for(lambda: set(names) <= registry.rows.keys())
    assert registry.groups == [set(names)]


def test_rows_of_those_that_joined_are_written_once_the_store_is_back(registry, seed):
    """Symptom: instances that started in an outage are found by nobody later."""
    first, _ = seed
    registry.before = 3
    first.welcome(row("bb"))
    wait_for(lambda: "bb" in registry.rows)
    assert len(registry.groups) == 4


def test_one_that_joins_shares_budgets_with_all_before_it_has_heard_of_them(seed):
    """Symptom: repeats exceed their budget right after all instances were restarted.

    Events: each is told of some twenty others and takes these for all; the slack of the
    budget, which all share, is spent many times over. Cause: the count of those known.
    """
    first, address = seed
    for index in range(60):
        first.welcome(row(f"n{index}", "hall" if index % 2 else "yard"))
    view = cluster("late")
    late = enrolment(GroupRegistry(), "late", joiner(address))
    late.cluster = view
    late.enrol()
    assert len(view.listed) < 30
    assert view.count_instances() == 62
    late.take_all([row(f"n{index}") for index in range(40)])
    assert view.count_instances() == 40


def test_those_that_join_are_told_of_each_other(seed):
    first, _ = seed
    for index in range(40):
        first.welcome(row(f"n{index}", "hall" if index % 2 else "yard"))
    welcome = first.welcome(row("late", "yard"))
    zones = [entry.zone for entry in welcome.entries[1:]]
    assert zones.count("yard") == _enrolment.TOLD_NEAR
    assert zones.count("hall") == _enrolment.TOLD_FAR
    assert "late" not in {entry.name for entry in welcome.entries}


def test_one_whose_row_is_not_written_by_others_writes_it_itself(registry, seed):
    """Symptom: a daemon that serves is not found by those that start later.

    Events: it joins by another one, which is killed before it has written the row.
    """
    _, address = seed
    second = enrolment(registry, "bb", joiner(address))
    second.enrol()
    wait_for(lambda: "bb" in registry.rows)
    del registry.rows["bb"]
    later = second._listed_at + _enrolment.ROW_MISSING_S + 1
    second.cluster.confirmation = Age(100.0)
    second.keep(later)
    assert "bb" not in registry.rows
    second.cluster.confirmation = Age(1.0)
    second.keep(later)
    assert "bb" in registry.rows


def test_one_whose_row_is_there_does_not_write_it_again(registry, seed):
    """Symptom: each of hundreds of daemons writes its row every few seconds.

    Events: nothing changes in the table of instances for a while. Cause: a row counted
    as missing if none had come lately.
    """
    _, address = seed
    second = enrolment(registry, "bb", joiner(address))
    second.enrol()
    second.cluster.confirmation = Age(1.0)
    second.take_all([row("a"), row("bb")])
    written = []
    registry.write = written.append
    second.keep(second._listed_at + 10 * _enrolment.ROW_MISSING_S)
    assert written == []


class Age:
    """Rules whose confirmation is some seconds old."""

    def __init__(self, seconds):
        self.seconds = seconds

    def age(self, now):
        return self.seconds


def test_one_whose_seeds_are_all_gone_enrols_itself(registry, monkeypatch):
    monkeypatch.setattr(_joining, "PATIENCE_S", 0.01)
    gone = [Address(HOST, free_port()) for _ in range(3)]
    second = enrolment(registry, "bb", joiner(*gone))
    second.enrol()
    assert second.joined_by is None
    assert "bb" in registry.rows


def test_seeds_that_are_not_enrolled_yet_are_waited_for(registry, monkeypatch):
    """Symptom: all daemons that started in an outage call the store at its end.

    Cause: they took those that they were to ask for gone, though these were trying.
    """
    monkeypatch.setattr(_joining, "PATIENCE_S", 0.01)
    first = enrolment(registry, "a")
    address = Address(HOST, free_port())
    asked = []

    def page(body):
        asked.append(time.monotonic())
        return first.join_page(body)

    app = PagesApp({}, {JOIN_PATH: page})
    server = HttpServer(address.as_tuple(), app, Limits(10, 5.0, 5.0))
    server.start()
    task = gevent.spawn(joiner(address).ask, row("bb"))
    # Well beyond the time for which seeds that do not answer are asked.
    wait_for(lambda: asked and asked[-1] > asked[0] + 0.1)
    assert not task.ready()
    first.enrol()
    assert task.get().key == first.keys.own()
    server.stop(timeout=0)


def test_a_seed_asks_the_store_first_and_the_others_if_that_fails(registry, seed):
    """Symptom: a seed that is restarted in an outage serves nobody to its end."""
    _, address = seed
    second = enrolment(registry, "bb", joiner(address, is_first=True))
    registry.before = 1
    second.enrol()
    assert second.joined_by is not None


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"key": "", "entries": [], "told_by": "", "instances": 1}',
        b'{"key": "aGVsbG8=", "entries": [], "told_by": "", "instances": 1}',
        b'{"key": 1, "entries": [], "told_by": "", "instances": 1}',
    ],
)
def test_a_welcome_that_cannot_be_read_is_a_fault(body):
    assert Welcome.read(body).is_error()


@pytest.mark.parametrize("body", [b"", b"[]", b'{"name": 1}', b"\xff"])
def test_a_row_that_cannot_be_read_joins_nobody(body, registry, seed):
    first, _ = seed
    assert first.join_page(body).status.startswith("400")
    assert registry.groups == []


def test_one_that_is_not_enrolled_takes_in_nobody(registry):
    first = enrolment(registry, "a")
    page = first.join_page(b'{"name": "bb", "zone": "z", "peer_address": "1:1"}')
    assert page.status.startswith("503")
    assert first.welcome(row("bb")) is None
