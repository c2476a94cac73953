"""Queries for tokens to other daemons, through a link that the test controls."""

import attrs
import gevent
import pytest
from gevent.event import Event
from gevent.monkey import get_original

from cairnferry.entry.members import PermitIssuer
from cairnferry.entry.workspaces import TokenCalls
from cairnferry.entry.workspaces import _token_calls as token_calls
from cairnferry.peers import PeerCallFailed, TokenQuery, TokenReply

PEER = PermitIssuer("owner", "yard", "owner:1")
QUERY = TokenQuery("red", 0, 1, 0, 0.1, 1, 8.0, 16.0)
GRANTED = TokenReply((0.0,), capacity=16.0)

# Blocks the whole process, also where gevent has replaced the function.
stand_still = get_original("time", "sleep")


@attrs.define
class Link:
    """Answers each call once `is_open` is set, or fails."""

    is_open: Event = attrs.field(factory=Event)
    calls: list = attrs.field(factory=list)
    fails: bool = False

    def link_to(self, address, is_cross_zone=False):
        return self

    def request_tokens(self, requester, queries):
        self.calls.append(queries)
        self.is_open.wait()
        if self.fails:
            raise PeerCallFailed("owner:1", "ConnectionRefusedError")
        return [GRANTED for _ in queries]


@attrs.define
class Issuers:
    marked: set = attrs.field(factory=set)

    def is_unresponsive(self, name):
        return name in self.marked

    def mark_unresponsive(self, name):
        self.marked.add(name)


@pytest.fixture
def link():
    return Link()


@pytest.fixture
def calls(link):
    return TokenCalls("front-1", "hall", Issuers(), link)


def test_queries_are_combined_while_a_call_is_under_way(calls, link):
    asked = [gevent.spawn(calls.ask, PEER, QUERY) for _ in range(5)]
    gevent.sleep(0)
    gevent.sleep(0)
    link.is_open.set()
    gevent.joinall(asked, raise_error=True)
    assert [each.value for each in asked] == [GRANTED] * 5
    assert len(link.calls) <= 2
    assert sum(len(queries) for queries in link.calls) == 5


def test_tokens_of_a_late_reply_are_returned(calls, link, monkeypatch):
    """The request went on without them, and they would be lost at the owner."""
    monkeypatch.setattr(token_calls, "SILENT_S", 0.0)
    assert calls.ask(PEER, QUERY, patience_s=0.01) is None
    assert calls.issuers.is_unresponsive("owner")
    link.is_open.set()
    gevent.sleep(0.01)
    assert calls.returned["red"] == 1


def test_owner_with_a_late_reply_is_not_taken_for_lost(calls, link):
    """Guards against refusals for 2 s while bodies occupy the owner's link."""
    assert calls.ask(PEER, QUERY, patience_s=0.01) is None
    assert not calls.issuers.is_unresponsive("owner")
    assert calls.outcomes["late"] == 1
    link.is_open.set()
    assert calls.ask(PEER, QUERY) == GRANTED


def test_reply_that_arrived_while_this_process_stood_still_is_used(calls, link):
    """A daemon on a throttled core finds its patience over and the reply received."""
    asked = gevent.spawn(calls.ask, PEER, QUERY)
    gevent.sleep(0.001)
    gevent.spawn_later(token_calls.PATIENCE_S + 0.001, link.is_open.set)
    stand_still(token_calls.PATIENCE_S + 0.1)
    assert asked.get(timeout=10) == GRANTED
    assert not calls.issuers.is_unresponsive("owner")


def test_failed_call_ends_the_wait_at_once(calls, link):
    link.fails = True
    link.is_open.set()
    assert calls.ask(PEER, QUERY) is None
    assert calls.issuers.is_unresponsive("owner")
    assert calls.outcomes == {"failed": 1}


def test_zone_is_not_called_after_failures_in_a_row(calls, link):
    link.fails = True
    link.is_open.set()
    for number in range(5):
        peer = attrs.evolve(PEER, name=f"owner-{number}")
        assert calls.ask(peer, QUERY) is None
    assert len(link.calls) == 2
