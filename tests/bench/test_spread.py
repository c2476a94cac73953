"""A large document on its way to all daemons over links of 10 Mbit/s.

Told whole and as plain text, from every peer that offered it, a document of 2,000 rules
filled all links for seconds, and requests waited behind it.
"""

import pytest

from bench.model import Spread, Way
from bench.model._spread import SLOW_LINK
from cairnferry.entry.following._rules_exchange import LINK_SHARE

WHOLE = Way(size=23_000)
DIFFERENCE = Way(size=300)
AS_TEXT = Way(size=358_000, in_turns=False, is_paced=False)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("size", "zones"), [(13, 3), (105, 3)])
@pytest.mark.parametrize("way", [WHOLE, DIFFERENCE])
def test_it_reaches_all_within_a_second_and_leaves_the_links_to_requests(
    way, size, zones, seed
):
    """Guards against requests that wait for seconds behind a change of the rules."""
    spread = Spread(size, zones, way, seed)
    took = spread.run(10.0)
    assert took < 1.0
    assert spread.failed == 0
    # The burst is given beside the pace.
    assert spread.busiest_link(1.0) < 1.5 * LINK_SHARE
    assert spread.far_bytes < 10_000_000


def test_at_hundreds_it_takes_no_more_than_two_seconds():
    assert Spread(312, 5, WHOLE, 1).run(10.0) < 2.0


def test_a_small_change_costs_next_to_nothing():
    spread = Spread(105, 3, DIFFERENCE, 1)
    spread.run(10.0)
    assert spread.fetches * DIFFERENCE.size < 0.1 * SLOW_LINK


def test_the_model_shows_what_the_other_way_cost():
    """Without turns and pace the same links are full for seconds, and calls fail."""
    spread = Spread(105, 3, AS_TEXT, 1)
    assert spread.run(10.0) > 2.0
    assert spread.failed > 100
