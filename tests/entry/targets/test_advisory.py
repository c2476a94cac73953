"""What targets say of themselves in the headers of their answers."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime

import pytest

from cairnferry.entry.targets import DefaultTargetConvention, read_advisory
from cairnferry.policy import NO_ADVISORY, AdvisoryFault
from cairnferry.records import Lifecycle, Target
from cairnferry.wire import Failure, Incomplete, Reply

LEAVING = frozenset(["server-leaving"])


def words(*headers, status=503, leaving_s=7.0):
    return read_advisory(status, list(headers), (503,), LEAVING, leaving_s)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 2.5 ", 2.5),
        ("0", 0.0),
        ("0.0", 0.0),
        ("007", 7.0),
        ("999999999999", 3600.0),
    ],
)
def test_rest_is_read_in_seconds(text, seconds):
    assert words(("Retry-After", text)).back_off_s == seconds


@pytest.mark.parametrize(
    "text",
    ["", " ", "-3", "+3", "1e3", "nan", "inf", "soon", "3 s", "3,4", "٣", "Mon, 99"],
)
def test_what_is_neither_seconds_nor_a_date_is_a_fault_and_no_rest(text):
    found = words(("Retry-After", text))
    assert found.back_off_s == 0
    assert found.faults == (AdvisoryFault("retry-after", text.strip()),)


def test_a_date_is_counted_from_now():
    soon = datetime.now(UTC) + timedelta(seconds=60)
    found = words(("Retry-After", format_datetime(soon, usegmt=True)))
    assert 55 < found.back_off_s <= 60
    assert found.faults == ()


def test_a_date_that_has_passed_is_no_rest():
    found = words(("Retry-After", "Wed, 21 Oct 2015 07:28:00 GMT"))
    assert found == NO_ADVISORY


def test_of_several_the_longest_counts_and_a_fault_hides_none():
    found = words(("retry-after", "1"), ("Retry-After", "x"), ("RETRY-AFTER", "4"))
    assert found.back_off_s == 4.0
    assert found.faults == (AdvisoryFault("retry-after", "x"),)


@pytest.mark.parametrize("status", [200, 301, 429, 500, 502])
def test_beside_another_status_it_is_no_wish_of_the_target(status):
    assert words(("Retry-After", "3"), status=status) is NO_ADVISORY


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_is_read_beside_any_status(status):
    assert words(("Server-Leaving", "1"), status=status).leaving_s == 7.0


@pytest.mark.parametrize("text", ["", "yes", "2", "true"])
def test_another_word_on_leaving_is_a_fault(text):
    found = words(("Server-Leaving", text))
    assert found.leaving_s == 0
    assert found.faults == (AdvisoryFault("server-leaving", text),)


def test_a_target_that_says_that_it_does_not_leave_says_nothing():
    assert words(("Server-Leaving", "0"), ("Connection", "close")) is NO_ADVISORY


def target(**more):
    return Target(
        "t", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None, **more
    )


def test_of_the_own_interface_a_name_without_a_start_leaves_for_a_time_only():
    """Guards against a next start under the same name that is never used."""
    reply = Reply(200, [("Server-Leaving", "1")], b"")
    convention = DefaultTargetConvention()
    assert convention.advisory_of(reply, target()).leaving_s == 30.0
    assert convention.advisory_of(reply, target(started_ms=5)).leaving_s == float("inf")


@pytest.mark.parametrize("status", [429, 503])
def test_of_the_own_interface_both_statuses_of_the_standard_ask_for_rest(status):
    reply = Reply(status, [("Retry-After", "2")], b"")
    assert DefaultTargetConvention().advisory_of(reply, target()).back_off_s == 2.0


def test_what_is_no_whole_answer_says_nothing():
    assert (
        DefaultTargetConvention().advisory_of(Incomplete(Failure.RESET), target())
        is NO_ADVISORY
    )
