"""Messages on tokens of workspaces."""

import math

import attrs
import pytest

from cairnferry.peers import TokenQuery, TokenReply
from cairnferry.peers._token_messages import (
    token_query_from_wire,
    token_query_to_wire,
    token_reply_from_wire,
    token_reply_to_wire,
)

QUERY = TokenQuery("red", 1, 2, 1, 0.2, 4711, 8.0, 16.0)


def test_messages_keep_their_values():
    assert token_query_from_wire(token_query_to_wire(QUERY)) == QUERY
    reply = TokenReply((0.0, 0.125), 0.25, "front-7", 1.5, 16.0)
    assert token_reply_from_wire(token_reply_to_wire(reply)) == reply


def test_delays_are_rounded_up():
    """A request that ran a moment too early would exceed the limit."""
    wire = token_reply_to_wire(TokenReply((0.0101,), 0.0001))
    assert (wire.delays_ms, wire.retry_ms) == ([11], 1)


@pytest.mark.parametrize(
    "change",
    [
        {"rate_per_s": math.nan},
        {"rate_per_s": math.inf},
        {"rate_per_s": -1.0},
        {"burst": math.nan},
        {"count": -1},
        {"returned": -1},
    ],
)
def test_query_with_unusable_numbers_is_refused(change):
    """One daemon with a fault would stop or empty the bucket for all."""
    wire = token_query_to_wire(attrs.evolve(QUERY, **change))
    with pytest.raises(ValueError):
        token_query_from_wire(wire)
