"""Removed rows that stay in use after an outage, and for how long."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.coordination import (
    RETURN_GRACE_S,
    CallContinuity,
    Hold,
    Row,
    RowRetention,
    VersionSpan,
)
from cairnferry.coordination._continuity import ESTABLISHED_S

ROW = Row("i-1", b"x", 3)


def retained(retention, version=9, known_at=10.0):
    retention.retain(ROW, version, known_at)
    return ROW.key in retention.rows


def test_row_is_retained_until_the_end_of_the_hold():
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    assert retained(retention)
    assert retention.expire(11.9) == []
    assert retention.expire(12.0) == ["i-1"]
    assert retention.ends_at == math.inf


def test_row_removed_without_an_outage_is_not_retained():
    retention = RowRetention()
    retention.extend(Hold(4.0, 9.9))
    assert not retained(retention)


def test_settled_removal_is_not_retained():
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    retention.settle(VersionSpan(8, 9))
    assert not retained(retention)


def test_retained_row_is_dropped_once_its_removal_is_settled():
    """Guards against requests to a removed target that one daemon's outage causes."""
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    assert retained(retention)
    assert retention.settle(VersionSpan(9, 20)) == []
    assert retention.settle(VersionSpan(8, 9)) == ["i-1"]


def test_later_outage_does_not_prolong_the_stay_of_a_row():
    """Guards against a row that short outages of daemons in turn retain forever."""
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    assert retained(retention, known_at=10.0)
    retention.extend(Hold(began_at=10.1, until=20.0))
    assert retention.expire(12.0) == ["i-1"]


def test_end_of_the_same_outage_at_another_daemon_prolongs_the_stay():
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    assert retained(retention, known_at=10.0)
    retention.extend(Hold(began_at=5.0, until=13.0))
    assert retention.expire(12.0) == []


def test_row_that_was_written_again_and_removed_again_counts_anew():
    retention = RowRetention()
    retention.extend(Hold(4.0, 12.0))
    assert retained(retention)
    retention.discard({"i-1"})
    assert not retention.rows
    assert retained(retention, version=15, known_at=11.0)


def test_spans_that_meet_are_united_and_the_later_of_others_remains():
    assert VersionSpan(3, 7).merge(VersionSpan(7, 9)) == VersionSpan(3, 9)
    assert VersionSpan(5, 9).merge(VersionSpan(3, 7)) == VersionSpan(3, 9)
    assert VersionSpan(3, 7).merge(VersionSpan(8, 9)) == VersionSpan(8, 9)
    assert VersionSpan().merge(VersionSpan(8, 9)) == VersionSpan(8, 9)
    assert not VersionSpan(9, 9)


outages = st.lists(
    st.tuples(st.floats(0, 60), st.floats(0.05, 6.0)), min_size=1, max_size=40
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(outages, st.floats(0, 60))
def test_stay_of_a_row_ends_after_the_outages_in_which_it_was_removed(
    outages, removed_at
):
    """Guards against a stay that grows with the number of daemons that fail in turn.

    Each outage is that of another daemon.
    """
    retention = RowRetention()
    holds = [Hold(began, began + s + RETURN_GRACE_S) for began, s in outages]
    for hold in sorted(holds, key=lambda hold: hold.until):
        if hold.until - RETURN_GRACE_S <= removed_at:
            retention.extend(hold)
    retention.retain(ROW, 9, removed_at)
    for hold in sorted(holds, key=lambda hold: hold.until):
        if hold.until - RETURN_GRACE_S > removed_at:
            retention.extend(hold)
    earlier = [hold.until for hold in holds if hold.began_at <= removed_at]
    assert not retention.rows or retention.ends_at <= max(earlier)


def test_calls_are_established_after_some_seconds_of_success():
    continuity = CallContinuity()
    continuity.note_success(5.0, 5.0)
    assert not continuity.is_established(5.0 + ESTABLISHED_S - 0.1)
    assert continuity.is_established(5.0 + ESTABLISHED_S)


def test_failure_or_pause_of_any_call_ends_the_continuity():
    """Guards against a removal in an outage that a daemon reports as settled."""
    for end in (lambda c: c.note_failure(9.0), lambda c: c.interrupt()):
        continuity = CallContinuity()
        continuity.note_success(5.0, 5.0)
        end(continuity)
        continuity.note_success(9.5, 9.5)
        assert not continuity.is_established(9.5)


def test_outages_in_quick_succession_count_as_one():
    continuity = CallContinuity()
    continuity.note_success(1.0, 1.0)
    for failed_at in (4.0, 5.9, 7.8):
        continuity.note_failure(failed_at)
        assert continuity.outage_began_at == 4.0
        continuity.note_success(failed_at + 0.1, failed_at + 0.1)
    continuity.note_failure(20.0)
    assert continuity.outage_began_at == 20.0


def test_calls_are_not_established_until_a_doubt_is_cleared_by_a_later_call():
    """Guards against settled removals by a call that hangs through an outage."""
    continuity = CallContinuity()
    continuity.note_success(1.0, 1.0)
    continuity.doubt(9.0)
    continuity.note_success(called_at=8.9, now=9.1)
    assert not continuity.is_established(9.1)
    continuity.note_success(called_at=9.0, now=9.2)
    assert continuity.is_established(9.2)
