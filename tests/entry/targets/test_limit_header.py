"""What is read as a limit in a target's answer, and what is not."""

import time
from types import SimpleNamespace

import pytest

from cairnferry.entry.targets import (
    DefaultTargetConvention,
    Limiter,
    LimitFault,
    read_limit,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import TargetLimits
from cairnferry.wire import Failure, Incomplete, Reply
from hosting._targets import HostedTargets

NAMES = frozenset(["server-limit"])
PROOF = ("Cairnferry-Response-Signature", "by-i-1")
LIMIT = ("Cairnferry-Server-Limit", "2.6")


def read(*values):
    return read_limit([("Server-Limit", value) for value in values], NAMES)


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


@pytest.mark.parametrize(
    ("status", "headers", "named", "denies"),
    [
        (200, [PROOF, LIMIT], 2.6, True),
        (200, [PROOF, ("Server-Limit", "3")], 3.0, True),
        (200, [PROOF], None, True),
        (500, [PROOF], None, True),
        # A refusal is made before the request is looked at, and need not tell.
        (503, [("Cairnferry-Not-Executed", "1")], None, False),
        (503, [("Cairnferry-Not-Executed", "1"), LIMIT], 2.6, False),
        # Not signed: not its own answer, or one that came from somewhere before it.
        (502, [], None, False),
        # Another target's answer.
        (421, [LIMIT], None, False),
    ],
)
def test_whose_answers_name_limits_and_whose_deny_them(status, headers, named, denies):
    reply = Reply(status, headers, b"")
    assert HostedTargets().limit_of(reply) == named
    assert HostedTargets().denies_limit(reply) == denies


@pytest.mark.parametrize("convention", [HostedTargets(), DefaultTargetConvention()])
def test_no_answer_says_nothing(convention):
    assert convention.limit_of(Incomplete(Failure.RESET)) is None
    assert not convention.denies_limit(Incomplete(Failure.RESET))


def test_on_the_own_interface_a_refusal_names_limits_and_denies_none():
    convention = DefaultTargetConvention()
    assert convention.limit_of(Reply(200, [("Server-Limit", "4")], b"")) == 4.0
    assert convention.denies_limit(Reply(200, [], b""))
    assert not convention.denies_limit(Reply(503, [], b""))


@pytest.mark.parametrize(
    ("reply", "rate"),
    [
        (Reply(200, [PROOF], b""), None),
        (Reply(200, [PROOF, LIMIT], b""), 2.6),
        (Reply(200, [PROOF, ("Server-Limit", "many")], b""), 4.0),
        (Reply(503, [("Cairnferry-Not-Executed", "1")], b""), 4.0),
        (Incomplete(Failure.RESET), 4.0),
    ],
)
def test_only_an_answer_that_denies_a_limit_lifts_it(reply, rate):
    limiter = Limiter(TargetLimits(), Metrics())
    limiter.note_check("i-1", 4.0, time.monotonic())
    target = SimpleNamespace(identity="i-1", name="i-1")
    attempt = SimpleNamespace(target=target, started=time.monotonic())
    limiter.note_outcome(attempt, reply, HostedTargets())
    assert limiter.limits.advertised.rate("i-1") == rate
