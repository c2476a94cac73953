"""What targets say of themselves, on the wire of the users' platform."""

import pytest

from cairnferry.policy import NO_ADVISORY
from cairnferry.records import Lifecycle, Target
from cairnferry.wire import Failure, NotSent, Reply
from hosting._targets import HostedTargets

CONVENTION = HostedTargets()
TARGET = Target("i-1", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)
REST = ("Retry-After", "3")
NOT_RUN = ("Cairnferry-Not-Executed", "1")


def advisory(status, *headers):
    return CONVENTION.advisory_of(Reply(status, list(headers), b""), TARGET)


def check(status, *headers):
    reply = Reply(status, list(headers), b"")
    return CONVENTION.read_check(reply, TARGET).advisory


@pytest.mark.parametrize("more", [(), (NOT_RUN,)])
def test_a_503_may_ask_for_rest_whether_it_has_run_or_not(more):
    assert advisory(503, REST, *more).back_off_s == 3.0


@pytest.mark.parametrize("status", [200, 408, 429, 500, 504])
def test_other_statuses_do_not(status):
    assert advisory(status, REST, NOT_RUN) is NO_ADVISORY


def test_another_target_at_the_address_says_nothing_of_this_one():
    """Guards against the word of a target that took over an address."""
    assert advisory(421, REST, ("Cairnferry-Server-Leaving", "1")) is NO_ADVISORY
    name = ("Cairnferry-Instance-Id", "i-2")
    assert check(503, name, REST, ("Cairnferry-Server-Leaving", "1")) is NO_ADVISORY


@pytest.mark.parametrize("name", ["Server-Leaving", "Cairnferry-Server-Leaving"])
@pytest.mark.parametrize("status", [200, 408, 500, 503])
def test_leaving_is_read_on_any_answer_and_holds_for_good(status, name):
    assert advisory(status, (name, "1")).leaving_s == float("inf")


def test_a_check_tells_both():
    found = check(503, ("Cairnferry-Instance-Id", "i-1"), REST, ("Server-Leaving", "1"))
    assert (found.back_off_s, found.leaving_s) == (3.0, float("inf"))


def test_what_was_not_sent_says_nothing():
    assert CONVENTION.advisory_of(NotSent(Failure.CONNECT), TARGET) is NO_ADVISORY
