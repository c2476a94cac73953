"""Enrolment: daemons discover each other and share one key through a registry."""

import random

import attrs
import pytest
from expression import Error, Ok

from cairnferry.coordination import Member, Membership, MemberState
from cairnferry.entry._ports import (
    EntryRow,
    FeedUnavailable,
    KeyExists,
    RegistryContents,
)
from cairnferry.entry.members import _enrolment
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.peers import SharedKey

DOWN = FeedUnavailable("status 503")


@attrs.define
class MemoryRegistry:
    """A registry whose next calls fail, before or after they take effect."""

    key: bytes | None = None
    rows: dict = attrs.field(factory=dict)
    before: int = 0
    after: int = 0

    def _run(self, action):
        if self.before:
            self.before -= 1
            return Error(DOWN)
        result = action()
        if self.after:
            self.after -= 1
            return Error(DOWN)
        return result

    def write(self, me):
        def action():
            self.rows[me.name] = me
            return Ok(None)

        return self._run(action)

    def write_first(self, me, key):
        def action():
            if self.key is not None:
                return Error(KeyExists())
            self.key = key
            self.rows[me.name] = me
            return Ok(None)

        return self._run(action)

    def restore_key(self, key):
        self.key = self.key or key
        return Ok(None)

    def read(self):
        return self._run(
            lambda: Ok(RegistryContents(self.key, tuple(self.rows.values())))
        )

    def remove(self, names):
        def action():
            for name in names:
                self.rows.pop(name, None)
            return Ok(None)

        return self._run(action)


class Peers:
    """Stand-in for cluster and gossip, with a real membership."""

    def __init__(self, name):
        self.listed = {}
        self.listed_peers = {}
        self.contacts = 0
        self.membership = Membership(member(name), random.Random(1))

    def set_listed(self, listed):
        self.listed = listed

    def contact_listed_peers(self, fetch_from=None):
        self.contacts += 1
        self.fetch_from = fetch_from

    def merge(self, *names, state=MemberState.ALIVE, now=0.0, incarnation=1):
        for name in names:
            self.membership.merge(member(name, state, incarnation), now)


def member(name, state=MemberState.ALIVE, incarnation=1):
    return Member(name, "hall", f"10.0.0.1:{len(name)}", "", incarnation, state)


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(_enrolment, "RETRY_S", 0.001)


def enrolment(registry, name):
    keys, peers = SharedKey(), Peers(name)
    me = EntryRow(name, "hall", f"10.0.0.1:{len(name)}", "10.0.0.1:80")
    return Enrolment(registry, me, keys, peers, peers, random.Random(1)), keys, peers


def enrol(registry, name):
    enrolled, keys, peers = enrolment(registry, name)
    enrolled.enrol()
    return keys.own_key(), peers


def test_all_daemons_get_the_same_key_and_see_earlier_ones():
    registry = MemoryRegistry()
    first_key, first = enrol(registry, "a")
    second_key, second = enrol(registry, "bb")
    assert first_key == second_key
    assert len(first_key) == _enrolment.KEY_BYTES
    assert first.listed_peers == {}
    assert second.listed_peers == {"10.0.0.1:1": "hall"}
    assert set(second.listed) == {"a", "bb"}
    assert second.contacts == 1


def test_a_restarted_daemon_keeps_the_key():
    registry = MemoryRegistry()
    key, _ = enrol(registry, "a")
    assert enrol(registry, "a")[0] == key
    assert len(registry.rows) == 1


@pytest.mark.parametrize("fault", ["before", "after"])
@pytest.mark.parametrize("calls", [1, 2, 3])
def test_failed_calls_are_retried_and_the_key_stays(fault, calls):
    """Guards against two groups of daemons that refuse each other.

    The key is written, the answer is lost, and the retry overwrites the key with
    another one.
    """
    registry = MemoryRegistry(**{fault: calls})
    key, _ = enrol(registry, "a")
    assert registry.key == key
    assert enrol(registry, "bb")[0] == key


# -- outdated rows -----------------------------------------------------------------


def group(registry, *names):
    """Enrol daemons that see each other."""
    enrolments = []
    for name in names:
        enrolled, _, peers = enrolment(registry, name)
        enrolled.enrol()
        enrolments.append((enrolled, peers))
    for enrolled, peers in enrolments:
        enrolled.refresh()
        peers.merge(*names)
    return enrolments


def test_a_leaving_daemon_removes_its_row():
    registry = MemoryRegistry()
    (first, _), _ = group(registry, "a", "bb")
    first.leave()
    assert set(registry.rows) == {"bb"}
    assert registry.key is not None


def test_the_first_live_daemon_removes_stale_rows():
    """Guards against daemons whose shares of the budgets are too small.

    An instance is removed without a clean shutdown, and its row stays in the registry.
    """
    registry = MemoryRegistry()
    enrolments = group(registry, "a", "bb", "ccc", "dddd")
    for enrolled, peers in enrolments[:3]:
        peers.merge("dddd", state=MemberState.GONE)
        enrolled.maintain(0.0)
        enrolled.maintain(_enrolment.STALE_ROW_S - 1)
    assert "dddd" in registry.rows
    for enrolled, peers in reversed(enrolments[:3]):
        assert "dddd" in registry.rows
        enrolled.maintain(_enrolment.STALE_ROW_S)
        assert set(peers.listed) == {"a", "bb", "ccc"}
    assert set(registry.rows) == {"a", "bb", "ccc"}


def test_a_failed_removal_of_a_row_is_retried():
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.merge("ccc", state=MemberState.GONE)
    enrolled.maintain(0.0)
    registry.before = 1
    enrolled.maintain(_enrolment.STALE_ROW_S)
    assert "ccc" in registry.rows
    enrolled.maintain(_enrolment.STALE_ROW_S + 1)
    assert "ccc" not in registry.rows


def test_an_isolated_daemon_removes_no_rows():
    """Guards against daemons that find only one of twenty others at their start.

    A daemon that is partitioned from all others but reaches the store considers them
    lost and removes their rows.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.merge("bb", "ccc", state=MemberState.GONE)
    enrolled.maintain(0.0)
    enrolled.maintain(10 * _enrolment.STALE_ROW_S)
    assert set(registry.rows) == {"a", "bb", "ccc"}
    assert set(peers.listed) == {"a", "bb", "ccc"}


def test_a_daemon_that_was_declared_lost_writes_its_row_again():
    """Guards against a serving daemon that daemons started later do not find.

    The others remove its row during a partition of a minute, and rows were written at
    the start only.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb")[0]
    del registry.rows["a"]
    enrolled.maintain(0.0)
    assert "a" not in registry.rows
    peers.merge("a", state=MemberState.GONE)
    registry.before = 1
    enrolled.maintain(1.0)
    assert "a" not in registry.rows
    enrolled.maintain(2.0)
    assert "a" in registry.rows


def test_a_daemon_that_returned_is_removed_after_another_loss():
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.merge("ccc", state=MemberState.GONE)
    enrolled.maintain(0.0)
    enrolled.maintain(_enrolment.STALE_ROW_S)
    registry.write(EntryRow("ccc", "hall", "10.0.0.1:3"))
    peers.merge("ccc", incarnation=2)
    enrolled.maintain(_enrolment.STALE_ROW_S + 1)
    peers.merge("ccc", state=MemberState.GONE, incarnation=2)
    enrolled.maintain(_enrolment.STALE_ROW_S + 2)
    enrolled.maintain(2 * _enrolment.STALE_ROW_S + 1)
    assert "ccc" in registry.rows
    enrolled.maintain(2 * _enrolment.STALE_ROW_S + 2)
    assert "ccc" not in registry.rows


def test_a_leaving_daemon_does_not_write_its_row_again():
    """Guards against a row that stays after its instance has left.

    The instance removes its row, the others declare it lost before its process ends,
    it refutes that, and the refutation writes the row again.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb")[0]
    enrolled.leave()
    peers.merge("a", state=MemberState.GONE)
    enrolled.maintain(0.0)
    assert set(registry.rows) == {"bb"}


def test_removed_names_are_dropped_with_the_members():
    """Guards against memory that grows with each replaced instance."""
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.merge("ccc", state=MemberState.GONE)
    enrolled.maintain(0.0)
    enrolled.maintain(_enrolment.STALE_ROW_S)
    assert enrolled._removed == {"ccc"}
    peers.membership.apply_timeouts(10 * peers.membership.times.retention)
    enrolled.maintain(10 * peers.membership.times.retention)
    assert enrolled._removed == set()
