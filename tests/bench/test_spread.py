"""Dissemination of a large document to all daemons over links of 10 Mbit/s.

The tests guard against a document that saturates the links. A document of 2,000 rules,
sent whole and as plain text by every peer that offered it, filled all links for seconds
and delayed requests.
"""

import pytest

from bench.model import Dissemination, TransferOptions
from bench.model._dissemination import SLOW_LINK
from cairnferry.entry.following._rules_exchange import LINK_SHARE

WHOLE = TransferOptions(size=23_000)
DIFFERENCE = TransferOptions(size=300)
AS_TEXT = TransferOptions(size=358_000, uses_fetch_slots=False, is_rate_limited=False)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("size", "zones"), [(13, 3), (105, 3)])
@pytest.mark.parametrize("options", [WHOLE, DIFFERENCE])
def test_a_document_reaches_all_within_a_second_and_leaves_capacity_for_requests(
    options, size, zones, seed
):
    """Guards against requests that wait for seconds during a change of the rules."""
    dissemination = Dissemination(size, zones, options, seed)
    took = dissemination.run(10.0)
    assert took < 1.0
    assert dissemination.failed == 0
    # The rate limit allows a burst in addition.
    assert dissemination.busiest_link(1.0) < 1.5 * LINK_SHARE
    assert dissemination.far_bytes < 10_000_000


def test_a_document_reaches_hundreds_of_daemons_within_two_seconds():
    assert Dissemination(312, 5, WHOLE, 1).run(10.0) < 2.0


def test_a_small_change_takes_little_bandwidth():
    dissemination = Dissemination(105, 3, DIFFERENCE, 1)
    dissemination.run(10.0)
    assert dissemination.fetches * DIFFERENCE.size < 0.1 * SLOW_LINK


def test_the_model_reproduces_saturated_links_without_limits():
    """Without fetch slots and rate limit, links are full for seconds and calls fail."""
    dissemination = Dissemination(105, 3, AS_TEXT, 1)
    assert dissemination.run(10.0) > 2.0
    assert dissemination.failed > 100
