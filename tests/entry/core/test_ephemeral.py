"""Times of a daemon that follow from the settings of its platform."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.entry.core import answer_ttl_s, leaving_times
from cairnferry.entry.core._ephemeral import STALE_ANSWER_FACTOR, STOP_MARGIN_S


@given(st.floats(0.05, 60), st.floats(0.05, 60))
def test_daemon_ends_before_it_is_killed(max_ttl_s, stop_s):
    """Guards against a daemon with little time that is killed while it serves."""
    ttl_s = answer_ttl_s(max_ttl_s, stop_s)
    times = leaving_times(ttl_s, stop_s)
    ends_after = times.serve_s + times.limit_s
    margin_s = min(STOP_MARGIN_S, 0.1 * stop_s)
    assert ends_after == pytest.approx(stop_s - margin_s)
    assert times.serve_s == pytest.approx(STALE_ANSWER_FACTOR * ttl_s)
    assert ttl_s <= max_ttl_s


@pytest.mark.parametrize(
    ("max_ttl_s", "stop_s", "serve_s", "limit_s"),
    [(5.0, 6.0, 2.7, 2.7), (5.0, 30.0, 2.7, 26.7), (0.2, 6.0, 0.6, 4.8)],
)
def test_callers_of_old_answers_are_served_and_the_rest_finishes_requests(
    max_ttl_s, stop_s, serve_s, limit_s
):
    times = leaving_times(answer_ttl_s(max_ttl_s, stop_s), stop_s)
    assert times.serve_s == pytest.approx(serve_s)
    assert times.limit_s == pytest.approx(limit_s)
