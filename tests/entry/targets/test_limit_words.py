"""What is read as a limit in a target's answer, and what is not."""

import pytest

from cairnferry.entry.targets import LimitFault, OwnTargets, read_limit
from cairnferry.policy import NO_LIMIT
from cairnferry.wire import Failure, Incomplete, Reply
from hosting._targets import HostedTargets

NAMES = frozenset(["server-limit"])
PROOF = ("Cairnferry-Response-Signature", "by-i-1")
LIMIT = ("Cairnferry-Server-Limit", "2.6")


def read(*values, may_lift=True):
    return read_limit([("Server-Limit", value) for value in values], NAMES, may_lift)


@pytest.mark.parametrize(
    ("values", "found"),
    [
        (["2.6"], 2.6),
        ([" 12 "], 12.0),
        (["0"], 0.0),
        (["0.05"], 0.05),
        (["8", "2.5"], 2.5),
        (["8, 2.5"], 2.5),
    ],
)
def test_a_decimal_is_a_limit_and_of_several_the_lowest_one(values, found):
    assert read(*values) == found


@pytest.mark.parametrize(
    "text", ["", "many", "-1", "nan", "inf", "1e3", "+2", "2.", "٣", "0x10", "1;2"]
)
def test_anything_else_is_a_fault_that_neither_sets_nor_lifts_one(text):
    assert isinstance(read(text), LimitFault)
    assert isinstance(read("2.6", text), LimitFault)


def test_an_answer_without_the_header_lifts_a_limit_if_it_may():
    assert read(may_lift=True) == NO_LIMIT
    assert read(may_lift=False) is None


@pytest.mark.parametrize(
    ("status", "headers", "found"),
    [
        (200, [PROOF, LIMIT], 2.6),
        (200, [PROOF, ("Server-Limit", "3")], 3.0),
        (200, [PROOF], NO_LIMIT),
        (500, [PROOF], NO_LIMIT),
        # A refusal is made before the request is looked at, and need not tell.
        (503, [("Cairnferry-Not-Executed", "1")], None),
        (503, [("Cairnferry-Not-Executed", "1"), LIMIT], 2.6),
        # Not signed: not its own answer, or one that came from somewhere before it.
        (502, [], None),
        # Another target's answer.
        (421, [LIMIT], None),
    ],
)
def test_whose_answers_name_and_lift_limits(status, headers, found):
    assert HostedTargets().limit_of(Reply(status, headers, b"")) == found


def test_no_answer_says_nothing():
    assert HostedTargets().limit_of(Incomplete(Failure.RESET)) is None
    assert OwnTargets().limit_of(Incomplete(Failure.RESET)) is None


def test_on_the_own_interface_a_refusal_names_limits_and_lifts_none():
    convention = OwnTargets()
    assert convention.limit_of(Reply(200, [("Server-Limit", "4")], b"")) == 4.0
    assert convention.limit_of(Reply(200, [], b"")) == NO_LIMIT
    assert convention.limit_of(Reply(503, [], b"")) is None
