"""Parsing of the advisory headers in targets' answers."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime

import pytest

from cairnferry.entry.targets import DefaultTargetConvention, read_advisory
from cairnferry.policy import NO_ADVISORY, AdvisoryFault
from cairnferry.records import Lifecycle, Target
from cairnferry.wire import Failure, Incomplete, Reply

LEAVING = frozenset(["server-leaving"])


def parse(*headers, status=503, leaving_s=7.0):
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
def test_back_off_is_parsed_in_seconds(text, seconds):
    assert parse(("Retry-After", text)).back_off_s == seconds


@pytest.mark.parametrize(
    "text",
    ["", " ", "-3", "+3", "1e3", "nan", "inf", "soon", "3 s", "3,4", "٣", "Mon, 99"],
)
def test_a_value_that_is_neither_seconds_nor_a_date_is_malformed(text):
    found = parse(("Retry-After", text))
    assert found.back_off_s == 0
    assert found.faults == (AdvisoryFault("retry-after", text.strip()),)


def test_a_date_is_converted_to_seconds_from_now():
    soon = datetime.now(UTC) + timedelta(seconds=60)
    found = parse(("Retry-After", format_datetime(soon, usegmt=True)))
    assert 55 < found.back_off_s <= 60
    assert found.faults == ()


def test_a_past_date_requests_no_back_off():
    found = parse(("Retry-After", "Wed, 21 Oct 2015 07:28:00 GMT"))
    assert found == NO_ADVISORY


def test_the_longest_of_several_delays_applies_despite_a_malformed_one():
    found = parse(("retry-after", "1"), ("Retry-After", "x"), ("RETRY-AFTER", "4"))
    assert found.back_off_s == 4.0
    assert found.faults == (AdvisoryFault("retry-after", "x"),)


@pytest.mark.parametrize("status", [200, 301, 429, 500, 502])
def test_retry_after_with_other_statuses_is_ignored(status):
    assert parse(("Retry-After", "3"), status=status) is NO_ADVISORY


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_is_parsed_with_any_status(status):
    assert parse(("Server-Leaving", "1"), status=status).leaving_s == 7.0


@pytest.mark.parametrize("text", ["", "yes", "2", "true"])
def test_any_other_value_of_leaving_is_malformed(text):
    found = parse(("Server-Leaving", text))
    assert found.leaving_s == 0
    assert found.faults == (AdvisoryFault("server-leaving", text),)


def test_a_target_that_is_not_leaving_sends_no_advisory():
    assert parse(("Server-Leaving", "0"), ("Connection", "close")) is NO_ADVISORY


def target(**more):
    return Target(
        "t", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None, **more
    )


def test_default_convention_without_start_time_leaving_expires():
    """Guards against a next start with the same name that never gets requests."""
    reply = Reply(200, [("Server-Leaving", "1")], b"")
    convention = DefaultTargetConvention()
    assert convention.advisory_of(reply, target()).leaving_s == 30.0
    assert convention.advisory_of(reply, target(started_ms=5)).leaving_s == float("inf")


@pytest.mark.parametrize("status", [429, 503])
def test_default_convention_accepts_retry_after_with_both_standard_statuses(status):
    reply = Reply(status, [("Retry-After", "2")], b"")
    assert DefaultTargetConvention().advisory_of(reply, target()).back_off_s == 2.0


def test_an_incomplete_answer_has_no_advisory():
    assert (
        DefaultTargetConvention().advisory_of(Incomplete(Failure.RESET), target())
        is NO_ADVISORY
    )
