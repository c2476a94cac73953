"""Parsing of the limit header in targets' answers."""

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
from hosting._targets import HostedTargetConvention

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
def test_a_decimal_is_a_limit_and_the_lowest_of_several_applies(values, found):
    assert read(*values) == found


@pytest.mark.parametrize(
    "text", ["", "many", "-1", "nan", "inf", "1e3", "+2", "2.", "٣", "0x10", "1;2"]
)
def test_any_other_value_is_malformed_and_hides_valid_values(text):
    assert isinstance(read(text), LimitFault)
    assert isinstance(read("2.6", text), LimitFault)


@pytest.mark.parametrize(
    ("status", "headers", "named", "denies"),
    [
        (200, [PROOF, LIMIT], 2.6, True),
        (200, [PROOF, ("Server-Limit", "3")], 3.0, True),
        (200, [PROOF], None, True),
        (500, [PROOF], None, True),
        # A refusal is sent before the request is processed and may lack the header.
        (503, [("Cairnferry-Not-Executed", "1")], None, False),
        (503, [("Cairnferry-Not-Executed", "1"), LIMIT], 2.6, False),
        # Unsigned: not the target's own answer, but possibly one of an intermediary.
        (502, [], None, False),
        # Answer of another target.
        (421, [LIMIT], None, False),
    ],
)
def test_which_answers_advertise_a_limit_and_which_deny_one(
    status, headers, named, denies
):
    reply = Reply(status, headers, b"")
    assert HostedTargetConvention().limit_of(reply) == named
    assert HostedTargetConvention().denies_limit(reply) == denies


@pytest.mark.parametrize(
    "convention", [HostedTargetConvention(), DefaultTargetConvention()]
)
def test_an_incomplete_answer_neither_advertises_nor_denies_a_limit(convention):
    assert convention.limit_of(Incomplete(Failure.RESET)) is None
    assert not convention.denies_limit(Incomplete(Failure.RESET))


def test_default_convention_refusals_do_not_deny_limits():
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
    limiter.note_outcome(attempt, reply, HostedTargetConvention())
    assert limiter.limits.advertised.rate("i-1") == rate
