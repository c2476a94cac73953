"""Requests that a stopping daemon takes; it closes after 3 s and ends after 6 s."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import Call, Departure, LeavingTimes, LongestTimes

TIMES = LeavingTimes(serve_s=3.0, limit_s=3.0)


@pytest.fixture
def departure():
    found = Departure(TIMES)
    found.begin(0.0)
    return found


def call(arrived, timeout, idempotent=True, is_late=False):
    return Call(arrived, arrived + timeout, idempotent, route="reads", is_late=is_late)


def test_daemon_that_does_not_stop_takes_all_requests():
    assert Departure(TIMES).takes(call(0.0, 1000.0, idempotent=False), 0.0)


@pytest.mark.parametrize(
    ("at", "timeout", "is_taken"),
    [(0.0, 5.9, True), (0.0, 6.0, False), (2.5, 3.4, True), (2.5, 3.5, False)],
)
def test_order_is_taken_if_its_whole_time_is_left(departure, at, timeout, is_taken):
    """Guards against orders that a stop cuts, which nobody may repeat."""
    assert departure.takes(call(at, timeout, idempotent=False), at) is is_taken


@pytest.mark.parametrize(
    ("at", "longest", "is_taken"),
    [(0.5, 5.0, True), (2.9, 3.0, True), (2.9, 3.1, False), (0.5, 8.0, False)],
)
def test_safe_request_is_taken_if_the_work_of_its_route_fits(
    departure, at, longest, is_taken
):
    """Guards against refusals of short work on routes with a long timeout."""
    departure.longest.note("reads", longest, 0.0)
    assert departure.takes(call(at, 30.0), at) is is_taken


def test_late_request_is_taken_only_if_its_whole_time_is_left(departure):
    """Guards against late requests that were expected to be short, and are cut."""
    departure.longest.note("reads", 0.01, 0.0)
    assert departure.takes(call(3.2, 3.0), 3.2)
    assert not departure.takes(call(3.2, 3.0, is_late=True), 3.2)
    assert departure.takes(call(3.2, 2.5, is_late=True), 3.2)


@pytest.mark.parametrize(
    ("at", "is_first", "is_late"),
    [(2.9, False, False), (3.01, False, True), (3.05, True, False), (3.2, True, True)],
)
def test_request_is_late_once_no_connection_is_accepted(
    departure, at, is_first, is_late
):
    assert departure.is_late(is_first, at) is is_late


def test_nothing_is_taken_once_the_last_request_is_finished(departure):
    """Guards against requests that are taken by a daemon that ends before its time."""
    assert departure.takes(call(1.0, 1.0), 1.0)
    departure.end()
    assert not departure.takes(call(1.0, 1.0), 1.0)


def test_second_signal_does_not_prolong_the_stop(departure):
    departure.begin(2.0)
    assert departure.ends_at == 6.0


@given(st.floats(0, 100), st.floats(0, 100), st.floats(0.01, 100), st.floats(0, 100))
def test_taken_orders_end_before_the_daemon(serve_s, limit_s, timeout, at):
    departure = Departure(LeavingTimes(serve_s, limit_s))
    departure.begin(0.0)
    order = call(at, timeout, idempotent=False)
    assert not departure.takes(order, at) or order.deadline < departure.ends_at


def test_longest_time_is_remembered_for_a_window_and_forgotten_after_two():
    longest = LongestTimes()
    assert longest.seconds("reads") == 0.0
    longest.note("reads", 2.0, 0.0)
    longest.note("reads", 0.5, 29.0)
    longest.note("reads", 0.1, 31.0)
    assert longest.seconds("reads") == 2.0
    longest.note("reads", 0.2, 62.0)
    assert longest.seconds("reads") == 0.2


def test_longest_time_of_a_route_without_requests_is_kept():
    """Guards against long work of a rare route that counts as unknown, and so short."""
    longest = LongestTimes()
    longest.note("reports", 2.5, 0.0)
    for now in range(0, 300, 10):
        longest.note("reads", 0.1, float(now))
    assert longest.seconds("reports") == 2.5


def test_longest_times_of_many_routes_are_bounded():
    longest = LongestTimes()
    for number in range(10_000):
        longest.note(f"route-{number}", 1.0, 0.0)
    known = sum(longest.seconds(f"route-{number}") > 0 for number in range(10_000))
    assert known <= 2 * 4096
    assert math.isclose(longest.seconds("route-9999"), 1.0)
