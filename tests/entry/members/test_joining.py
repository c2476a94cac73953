"""Joining through other daemons: few calls to the store, also during an outage."""

import random
import time

import gevent
import pytest
from expression import Ok

from cairnferry.entry import _restarting_task
from cairnferry.entry._ports import EntryRow
from cairnferry.entry.http._http_server import HttpServer, ListenerLimits
from cairnferry.entry.http._small_apps import PagesApp
from cairnferry.entry.members import _enrolment, _joining
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.entry.members._joining import JOIN_PATH, Joiner, JoinReply
from cairnferry.peers import SharedKey
from cairnferry.settings import Address
from cairnferry.standins import free_port, wait_for

from ._clusters import cluster
from .test_enrolment import MemoryRegistry, Peers

HOST = "127.0.0.1"
KEY = b"k" * 32


class GroupRegistry(MemoryRegistry):
    """Records the groups of rows that are written together."""

    def __init__(self):
        super().__init__()
        self.groups = []

    def write_all(self, entries):
        self.groups.append({entry.name for entry in entries})

        def action():
            self.rows.update({entry.name: entry for entry in entries})
            return Ok(None)

        return self._run(action)


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
    monkeypatch.setattr(_enrolment, "BATCH_S", 0.001)
    monkeypatch.setattr(_joining, "ROUND_S", 0.001)


@pytest.fixture
def registry():
    return GroupRegistry()


@pytest.fixture
def seed(registry):
    """Return an enrolled daemon through which others join, and its address."""
    first = enrolment(registry, "a")
    first.enrol()
    address = Address(HOST, free_port())
    app = PagesApp({}, {JOIN_PATH: first.join_page})
    server = HttpServer(address.as_tuple(), app, ListenerLimits(10, 5.0, 5.0))
    server.start()
    yield first, address
    server.stop(timeout=0)


def joiner(*others, is_first=False):
    return Joiner(others, is_first, random.Random(1))


def test_a_joining_daemon_gets_the_key_without_a_call_to_the_store(registry, seed):
    first, address = seed
    second = enrolment(registry, "bb", joiner(address))
    registry.before = 100
    second.enrol()
    assert second.keys.own_key() == first.keys.own_key()
    assert second.joined_by == first.me.peer_address
    assert set(second.cluster.listed) == {"a"}
    registry.before = 0


def test_rows_of_many_joining_daemons_are_written_together(registry, seed):
    """Guards against 1,200 calls by 312 starting daemons before the first request."""
    first, _ = seed
    names = [f"n{index}" for index in range(103)]
    for name in names:
        assert first.accept(row(name)) is not None
    wait_for(lambda: set(names) <= registry.rows.keys())
    assert registry.groups == [set(names)]


def test_rows_of_joined_daemons_are_written_after_an_outage(registry, seed):
    """Guards against instances that start in an outage and are never found later."""
    first, _ = seed
    registry.before = 3
    first.accept(row("bb"))
    wait_for(lambda: "bb" in registry.rows)
    assert len(registry.groups) == 4


def test_rows_of_joined_daemons_are_written_although_the_task_for_it_ended(
    registry, seed, monkeypatch
):
    """Guards against instances that are never found as one write failed."""
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.01)
    first, _ = seed
    write_all, failures = registry.write_all, [ValueError("x")]

    def fail_once(entries):
        if failures:
            raise failures.pop()
        return write_all(entries)

    registry.write_all = fail_once
    first.accept(row("bb"))
    wait_for(lambda: "bb" in registry.rows)
    first.accept(row("cc"))
    first._writing._greenlet.kill(block=False)
    wait_for(lambda: "cc" in registry.rows)


def test_a_joining_daemon_counts_instances_it_does_not_know_yet(seed):
    """Guards against retries above their budget after a restart of all instances.

    Each instance sees some twenty others at first. If it counts these only, the slack
    of the common budget is used many times over.
    """
    first, address = seed
    for index in range(60):
        first.accept(row(f"n{index}", "hall" if index % 2 else "yard"))
    view = cluster("late")
    late = enrolment(GroupRegistry(), "late", joiner(address))
    late.cluster = view
    late.enrol()
    assert len(view.listed) < 30
    assert view.count_instances() == 62
    late.apply_all_entries([row(f"n{index}") for index in range(40)])
    assert view.count_instances() == 40


def test_joining_daemons_are_reported_to_each_other(seed):
    first, _ = seed
    for index in range(40):
        first.accept(row(f"n{index}", "hall" if index % 2 else "yard"))
    reply = first.accept(row("late", "yard"))
    zones = [entry.zone for entry in reply.entries[1:]]
    assert zones.count("yard") == _enrolment.REPLY_SAME_ZONE
    assert zones.count("hall") == _enrolment.REPLY_OTHER_ZONE
    assert "late" not in {entry.name for entry in reply.entries}


def test_a_daemon_whose_row_is_missing_writes_it_itself(registry, seed):
    """Guards against a serving daemon that daemons started later do not find.

    The daemon through which it joined is killed before it has written the row.
    """
    _, address = seed
    second = enrolment(registry, "bb", joiner(address))
    second.enrol()
    wait_for(lambda: "bb" in registry.rows)
    del registry.rows["bb"]
    later = second._listed_at + _enrolment.ROW_MISSING_S + 1
    second.cluster.confirmation = Age(100.0)
    second.maintain(later)
    assert "bb" not in registry.rows
    second.cluster.confirmation = Age(1.0)
    second.maintain(later)
    assert "bb" in registry.rows


def test_a_daemon_whose_row_is_listed_does_not_write_it_again(registry, seed):
    """Guards against hundreds of daemons that write their rows every few seconds.

    The table of instances does not change for a while, and a row counted as missing
    unless it had been received recently.
    """
    _, address = seed
    second = enrolment(registry, "bb", joiner(address))
    second.enrol()
    second.cluster.confirmation = Age(1.0)
    second.apply_all_entries([row("a"), row("bb")])
    written = []
    registry.write = written.append
    second.maintain(second._listed_at + 10 * _enrolment.ROW_MISSING_S)
    assert written == []


class Age:
    """Rules whose confirmation is some seconds old."""

    def __init__(self, seconds):
        self.seconds = seconds

    def age(self, now):
        return self.seconds


def test_a_daemon_whose_seeds_are_all_lost_enrols_itself(registry, monkeypatch):
    monkeypatch.setattr(_joining, "MAX_JOIN_S", 0.01)
    gone = [Address(HOST, free_port()) for _ in range(3)]
    second = enrolment(registry, "bb", joiner(*gone))
    second.enrol()
    assert second.joined_by is None
    assert "bb" in registry.rows


def test_a_daemon_waits_for_seeds_that_are_not_enrolled_yet(registry, monkeypatch):
    """Guards against all daemons calling the store at the end of an outage.

    They considered the seeds lost, although the seeds were still enrolling.
    """
    monkeypatch.setattr(_joining, "MAX_JOIN_S", 0.01)
    first = enrolment(registry, "a")
    address = Address(HOST, free_port())
    requests = []

    def page(body):
        requests.append(time.monotonic())
        return first.join_page(body)

    app = PagesApp({}, {JOIN_PATH: page})
    server = HttpServer(address.as_tuple(), app, ListenerLimits(10, 5.0, 5.0))
    server.start()
    task = gevent.spawn(joiner(address).request, row("bb"))
    # Well beyond the time for which seeds that do not answer are called.
    wait_for(lambda: requests and requests[-1] > requests[0] + 0.1)
    assert not task.ready()
    first.enrol()
    assert task.get().key == first.keys.own_key()
    server.stop(timeout=0)


def test_a_seed_calls_the_store_first_and_other_seeds_after_a_failure(registry, seed):
    """Guards against a seed, restarted in an outage, that refuses all requests."""
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
def test_a_reply_that_cannot_be_read_is_a_fault(body):
    assert JoinReply.read(body).is_error()


@pytest.mark.parametrize("body", [b"", b"[]", b'{"name": 1}', b"\xff"])
def test_a_join_request_that_cannot_be_read_is_rejected(body, registry, seed):
    first, _ = seed
    assert first.join_page(body).status.startswith("400")
    assert registry.groups == []


def test_a_daemon_that_is_not_enrolled_accepts_no_join(registry):
    first = enrolment(registry, "a")
    page = first.join_page(b'{"name": "bb", "zone": "z", "peer_address": "1:1"}')
    assert page.status.startswith("503")
    assert first.accept(row("bb")) is None
