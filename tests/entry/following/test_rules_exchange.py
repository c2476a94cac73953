"""Exchange of the rules between daemons, at a rate that leaves the link to requests."""

import math

import pytest

from cairnferry.coordination import NO_DOCUMENT_NEWS, DocumentNews
from cairnferry.entry.following._rules_exchange import (
    SLOW_FETCH_S,
    SMALL_BYTES,
    UNKNOWN_METHOD,
    DocumentRateLimit,
    FetchSlots,
    RulesExchange,
)
from cairnferry.peers import PeerCallFailed

# Bytes per second of a link of 10 Mbit/s.
SLOW_LINK = 1_250_000.0
DOCUMENT_BYTES = 26_000


class Peer:
    """Answers with a prepared update, or does not support the method."""

    address = "10.0.0.1:1"

    def __init__(self, update, old_document=None):
        self.update = update
        self.old_document = old_document

    def document_since(self, revision):
        if self.old_document is not None:
            raise PeerCallFailed(self.address, UNKNOWN_METHOD)
        return self.update

    def snapshot(self):
        return self.old_document


def test_many_simultaneous_requests_leave_most_of_the_link():
    """Guards against links that are filled by rules and carry no requests."""
    rate_limit = DocumentRateLimit(SLOW_LINK)
    sent = sum(
        DOCUMENT_BYTES * rate_limit.admit(DOCUMENT_BYTES, 100 + n / 1000)
        for n in range(2000)
    )
    assert sent < 2.2 * 0.5 * SLOW_LINK
    assert sent > 2.0 * 0.3 * SLOW_LINK


def test_a_small_update_is_always_sent():
    rate_limit = DocumentRateLimit(SLOW_LINK)
    while rate_limit.admit(DOCUMENT_BYTES, 1.0):
        pass
    assert rate_limit.admit(SMALL_BYTES, 1.0)


def test_a_document_larger_than_the_burst_is_sent_at_the_rate_limit():
    rate_limit = DocumentRateLimit(SLOW_LINK)
    size = 1_000_000
    sent = sum(rate_limit.admit(size, n / 10) for n in range(100))
    assert sent == 1 + int(9.9 * 0.4 * SLOW_LINK / size)


def test_without_a_known_rate_everything_is_sent():
    rate_limit = DocumentRateLimit(math.inf)
    assert all(rate_limit.admit(DOCUMENT_BYTES, 1.0) for _ in range(100))


def test_a_second_fetch_starts_only_if_the_first_is_slow():
    """Guards against fetches of the same document from several peers at once."""
    slots = FetchSlots()
    assert slots.begin("a", 1.0)
    assert not slots.begin("b", 1.0 + SLOW_FETCH_S / 2)
    assert not slots.begin("a", 9.0)
    assert slots.begin("b", 1.1 + SLOW_FETCH_S)
    assert not slots.begin("c", 9.0)
    slots.end("a")
    slots.end("b")
    assert slots.begin("c", 9.0)


def test_a_peer_can_read_a_sent_update():
    sender, receiver = RulesExchange(), RulesExchange()
    sender.history.add(3, b"{rules}")
    assert receiver.fetch(Peer(sender.update_since(0)), 0) == b"{rules}"
    assert receiver.fetch(Peer(sender.update_since(3)), 3) is None


def test_a_peer_of_an_earlier_release_sends_the_whole_document():
    assert RulesExchange().fetch(Peer(NO_DOCUMENT_NEWS, b"{rules}"), 0) == b"{rules}"


@pytest.mark.parametrize("news", [DocumentNews(4, 0, b"x"), DocumentNews(4, 3, b"x")])
def test_an_update_that_cannot_be_read_fails_the_call(news):
    with pytest.raises(PeerCallFailed):
        RulesExchange().fetch(Peer(news), 3)
