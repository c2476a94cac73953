"""Advisories in the response headers of targets on the platform."""

import pytest

from cairnferry.policy import NO_ADVISORY
from cairnferry.records import Lifecycle, Target
from cairnferry.wire import Failure, NotSent, Reply
from hosting._targets import HostedTargetConvention

CONVENTION = HostedTargetConvention()
TARGET = Target("i-1", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)
RETRY_AFTER = ("Retry-After", "3")
NOT_RUN = ("Cairnferry-Not-Executed", "1")


def advisory(status, *headers):
    return CONVENTION.advisory_of(Reply(status, list(headers), b""), TARGET)


def check(status, *headers):
    reply = Reply(status, list(headers), b"")
    return CONVENTION.read_check(reply, TARGET).advisory


@pytest.mark.parametrize("more", [(), (NOT_RUN,)])
def test_retry_after_of_503_is_a_back_off(more):
    assert advisory(503, RETRY_AFTER, *more).back_off_s == 3.0


@pytest.mark.parametrize("status", [200, 408, 429, 500, 504])
def test_retry_after_of_other_statuses_is_ignored(status):
    assert advisory(status, RETRY_AFTER, NOT_RUN) is NO_ADVISORY


def test_advisory_of_another_target_at_the_address_is_ignored():
    """Guards against an advisory of a target that took over the address."""
    assert advisory(421, RETRY_AFTER, ("Cairnferry-Server-Leaving", "1")) is NO_ADVISORY
    name = ("Cairnferry-Instance-Id", "i-2")
    assert (
        check(503, name, RETRY_AFTER, ("Cairnferry-Server-Leaving", "1")) is NO_ADVISORY
    )


@pytest.mark.parametrize("name", ["Server-Leaving", "Cairnferry-Server-Leaving"])
@pytest.mark.parametrize("status", [200, 408, 500, 503])
def test_leaving_header_of_any_answer_never_expires(status, name):
    assert advisory(status, (name, "1")).leaving_s == float("inf")


def test_status_check_reads_back_off_and_leaving():
    found = check(
        503, ("Cairnferry-Instance-Id", "i-1"), RETRY_AFTER, ("Server-Leaving", "1")
    )
    assert (found.back_off_s, found.leaving_s) == (3.0, float("inf"))


def test_unsent_request_has_no_advisory():
    assert CONVENTION.advisory_of(NotSent(Failure.CONNECT), TARGET) is NO_ADVISORY
