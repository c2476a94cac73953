"""Who gives and fetches the rules when: a link is left to requests."""

import math

import pytest

from cairnferry.coordination import NO_DOCUMENT_NEWS, DocumentNews
from cairnferry.entry.following._rules_exchange import (
    NO_SUCH_CALL,
    PATIENCE_S,
    SMALL_BYTES,
    DocumentRateLimit,
    FetchSlots,
    RulesExchange,
)
from cairnferry.peers import PeerCallFailed

SLOW_LINK = 1_250_000.0
DOCUMENT = 26_000


class Peer:
    """Answers with what it was given, or does not know the call."""

    address = "10.0.0.1:1"

    def __init__(self, news, old_document=None):
        self.news = news
        self.old_document = old_document

    def document_since(self, revision):
        if self.old_document is not None:
            raise PeerCallFailed(self.address, NO_SUCH_CALL)
        return self.news

    def snapshot(self):
        return self.old_document


def test_a_herd_that_asks_at_once_leaves_most_of_the_link():
    """Guards against links that carry rules to all and no request any more."""
    pace = DocumentRateLimit(SLOW_LINK)
    given = sum(DOCUMENT * pace.admit(DOCUMENT, 100 + n / 1000) for n in range(2000))
    assert given < 2.2 * 0.5 * SLOW_LINK
    assert given > 2.0 * 0.3 * SLOW_LINK


def test_small_news_is_given_whatever_else_goes_out():
    pace = DocumentRateLimit(SLOW_LINK)
    while pace.admit(DOCUMENT, 1.0):
        pass
    assert pace.admit(SMALL_BYTES, 1.0)


def test_a_document_that_is_larger_than_the_burst_is_given_now_and_then():
    pace = DocumentRateLimit(SLOW_LINK)
    size = 1_000_000
    given = sum(pace.admit(size, n / 10) for n in range(100))
    assert given == 1 + int(9.9 * 0.4 * SLOW_LINK / size)


def test_without_a_known_rate_everything_is_given():
    pace = DocumentRateLimit(math.inf)
    assert all(pace.admit(DOCUMENT, 1.0) for _ in range(100))


def test_one_peer_at_a_time_is_asked_and_another_only_if_it_is_slow():
    """Guards against the same document from several peers at once."""
    turns = FetchSlots()
    assert turns.begin("a", 1.0)
    assert not turns.begin("b", 1.0 + PATIENCE_S / 2)
    assert not turns.begin("a", 9.0)
    assert turns.begin("b", 1.1 + PATIENCE_S)
    assert not turns.begin("c", 9.0)
    turns.end("a")
    turns.end("b")
    assert turns.begin("c", 9.0)


def test_what_one_gives_another_can_read():
    giving, taking = RulesExchange(), RulesExchange()
    giving.history.add(3, b"{rules}")
    assert taking.fetch(Peer(giving.give(0)), 0) == b"{rules}"
    assert taking.fetch(Peer(giving.give(3)), 3) is None


def test_a_peer_of_an_earlier_release_gives_the_whole():
    assert RulesExchange().fetch(Peer(NO_DOCUMENT_NEWS, b"{rules}"), 0) == b"{rules}"


@pytest.mark.parametrize("news", [DocumentNews(4, 0, b"x"), DocumentNews(4, 3, b"x")])
def test_news_that_cannot_be_read_fails_the_call(news):
    with pytest.raises(PeerCallFailed):
        RulesExchange().fetch(Peer(news), 3)
