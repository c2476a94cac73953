"""Daemons find each other, and agree on one key, by a registry."""

import random

import attrs
import pytest
from expression import Error, Ok

from cairnferry.coordination import Member, Membership, MemberState
from cairnferry.entry._ports import Enrolled, EntryRow, FeedUnavailable, KeyExists
from cairnferry.entry.members import _enrolment
from cairnferry.entry.members._enrolment import Enrolment
from cairnferry.peers import SharedKey

DOWN = FeedUnavailable("status 503")


@attrs.define
class MemoryRegistry:
    """A registry whose next calls fail, before or after they were done."""

    key: bytes | None = None
    rows: dict = attrs.field(factory=dict)
    before: int = 0
    after: int = 0

    def _do(self, action):
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

        return self._do(action)

    def write_first(self, me, key):
        def action():
            if self.key is not None:
                return Error(KeyExists())
            self.key = key
            self.rows[me.name] = me
            return Ok(None)

        return self._do(action)

    def restore_key(self, key):
        self.key = self.key or key
        return Ok(None)

    def read(self):
        return self._do(lambda: Ok(Enrolled(self.key, tuple(self.rows.values()))))

    def remove(self, names):
        def action():
            for name in names:
                self.rows.pop(name, None)
            return Ok(None)

        return self._do(action)


class Peers:
    """What an enrolment tells cluster and gossip, and how it sees the members."""

    def __init__(self, name):
        self.listed = {}
        self.listed_peers = {}
        self.hurried = 0
        self.membership = Membership(member(name), random.Random(1))

    def list_instances(self, listed):
        self.listed = listed

    def meet(self, teller=None):
        self.hurried += 1
        self.teller = teller

    def hear(self, *names, state=MemberState.ALIVE, now=0.0, incarnation=1):
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
    return keys.own(), peers


def test_all_get_the_same_key_and_see_those_before_them():
    registry = MemoryRegistry()
    first_key, first = enrol(registry, "a")
    second_key, second = enrol(registry, "bb")
    assert first_key == second_key
    assert len(first_key) == _enrolment.KEY_BYTES
    assert first.listed_peers == {}
    assert second.listed_peers == {"10.0.0.1:1": "hall"}
    assert set(second.listed) == {"a", "bb"}
    assert second.hurried == 1


def test_a_daemon_that_comes_back_keeps_the_key():
    registry = MemoryRegistry()
    key, _ = enrol(registry, "a")
    assert enrol(registry, "a")[0] == key
    assert len(registry.rows) == 1


@pytest.mark.parametrize("fault", ["before", "after"])
@pytest.mark.parametrize("calls", [1, 2, 3])
def test_calls_that_fail_are_made_again_and_the_key_stays(fault, calls):
    """Symptom: two groups of daemons that refuse each other.

    Events: the write of the key is done and its answer lost; it is tried again. Cause:
    another key written over the first one.
    """
    registry = MemoryRegistry(**{fault: calls})
    key, _ = enrol(registry, "a")
    assert registry.key == key
    assert enrol(registry, "bb")[0] == key


# -- rows that are out of date ----------------------------------------------------


def group(registry, *names):
    """Enrol daemons that all know each other."""
    made = []
    for name in names:
        enrolled, _, peers = enrolment(registry, name)
        enrolled.enrol()
        made.append((enrolled, peers))
    for enrolled, peers in made:
        enrolled.refresh()
        peers.hear(*names)
    return made


def test_a_daemon_that_leaves_takes_its_row_away():
    registry = MemoryRegistry()
    (first, _), _ = group(registry, "a", "bb")
    first.leave()
    assert set(registry.rows) == {"bb"}
    assert registry.key is not None


def test_the_first_live_daemon_removes_the_row_of_one_that_is_long_gone():
    """Symptom: each daemon spends a smaller part of the budgets than it may.

    Events: an instance is taken away for good, and its row stays. Cause: nobody
    removed rows of instances that did not leave in order.
    """
    registry = MemoryRegistry()
    made = group(registry, "a", "bb", "ccc", "dddd")
    for enrolled, peers in made[:3]:
        peers.hear("dddd", state=MemberState.GONE)
        enrolled.keep(0.0)
        enrolled.keep(_enrolment.GONE_S - 1)
    assert "dddd" in registry.rows
    for enrolled, peers in reversed(made[:3]):
        assert "dddd" in registry.rows
        enrolled.keep(_enrolment.GONE_S)
        assert set(peers.listed) == {"a", "bb", "ccc"}
    assert set(registry.rows) == {"a", "bb", "ccc"}


def test_a_row_that_could_not_be_removed_is_removed_later():
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.hear("ccc", state=MemberState.GONE)
    enrolled.keep(0.0)
    registry.before = 1
    enrolled.keep(_enrolment.GONE_S)
    assert "ccc" in registry.rows
    enrolled.keep(_enrolment.GONE_S + 1)
    assert "ccc" not in registry.rows


def test_a_daemon_that_is_alone_removes_nobody():
    """Symptom: daemons that start find one of twenty others.

    Events: one is cut off from the others and reaches the store; all others look gone
    to it. Cause: it removed their rows.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.hear("bb", "ccc", state=MemberState.GONE)
    enrolled.keep(0.0)
    enrolled.keep(10 * _enrolment.GONE_S)
    assert set(registry.rows) == {"a", "bb", "ccc"}
    assert set(peers.listed) == {"a", "bb", "ccc"}


def test_a_daemon_that_was_called_gone_writes_its_row_again():
    """Symptom: a daemon that serves is not found by those that start later.

    Events: it is cut off from the others for a minute; they remove its row; it comes
    back. Cause: rows were written at the start alone.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb")[0]
    del registry.rows["a"]
    enrolled.keep(0.0)
    assert "a" not in registry.rows
    peers.hear("a", state=MemberState.GONE)
    registry.before = 1
    enrolled.keep(1.0)
    assert "a" not in registry.rows
    enrolled.keep(2.0)
    assert "a" in registry.rows


def test_a_daemon_that_came_back_is_removed_again_once_it_is_gone_again():
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.hear("ccc", state=MemberState.GONE)
    enrolled.keep(0.0)
    enrolled.keep(_enrolment.GONE_S)
    registry.write(EntryRow("ccc", "hall", "10.0.0.1:3"))
    peers.hear("ccc", incarnation=2)
    enrolled.keep(_enrolment.GONE_S + 1)
    peers.hear("ccc", state=MemberState.GONE, incarnation=2)
    enrolled.keep(_enrolment.GONE_S + 2)
    enrolled.keep(2 * _enrolment.GONE_S + 1)
    assert "ccc" in registry.rows
    enrolled.keep(2 * _enrolment.GONE_S + 2)
    assert "ccc" not in registry.rows


def test_a_daemon_that_leaves_does_not_write_its_row_again():
    """Symptom: the row of an instance that is gone is there.

    Events: it leaves and removes its row; the others call it gone before it has ended,
    and it refutes that. Cause: the refutation made it write its row once more.
    """
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb")[0]
    enrolled.leave()
    peers.hear("a", state=MemberState.GONE)
    enrolled.keep(0.0)
    assert set(registry.rows) == {"bb"}


def test_what_was_removed_is_forgotten_with_the_members():
    """Symptom: a daemon grows with each instance that was ever replaced."""
    registry = MemoryRegistry()
    enrolled, peers = group(registry, "a", "bb", "ccc")[0]
    peers.hear("ccc", state=MemberState.GONE)
    enrolled.keep(0.0)
    enrolled.keep(_enrolment.GONE_S)
    assert enrolled._removed == {"ccc"}
    peers.membership.apply_timeouts(10 * peers.membership.times.retention)
    enrolled.keep(10 * peers.membership.times.retention)
    assert enrolled._removed == set()
