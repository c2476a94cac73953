"""Daemons find each other, and agree on one key, by a registry."""

import random

import attrs
import pytest
from expression import Error, Ok

from cairnferry.entry import _enrolment
from cairnferry.entry._enrolment import Enrolment
from cairnferry.entry._ports import Enrolled, EntryRow, FeedUnavailable, KeyExists
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

    def read(self):
        return self._do(lambda: Ok(Enrolled(self.key, tuple(self.rows.values()))))


class Peers:
    """What an enrolment tells cluster and gossip."""

    listed = {}
    strangers = set()
    hurried = 0

    def hurry(self):
        self.hurried += 1


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(_enrolment, "RETRY_S", 0.001)


def enrol(registry, name):
    keys, peers = SharedKey(), Peers()
    me = EntryRow(name, "hall", f"10.0.0.1:{len(name)}", "10.0.0.1:80")
    Enrolment(registry, me, keys, peers, peers, random.Random(1)).run()
    return keys.own(), peers


def test_all_get_the_same_key_and_see_those_before_them():
    registry = MemoryRegistry()
    first_key, first = enrol(registry, "a")
    second_key, second = enrol(registry, "bb")
    assert first_key == second_key
    assert len(first_key) == _enrolment.KEY_BYTES
    assert first.strangers == set()
    assert second.strangers == {"10.0.0.1:1"}
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
