"""Blocking of requests that crash targets, and the expiry of blocks."""

import hashlib
import itertools
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import (
    ALL_CALLERS,
    BlockRef,
    Quarantine,
    Quarantined,
    RequestIdentity,
    Suspect,
    TargetCrash,
    Unrestricted,
)
from cairnferry.policy.shared import _blocks as blocks
from cairnferry.policy.shared import _identity as identity_module
from cairnferry.policy.shared import _quarantine as quarantine_module

RUN_S = 0.1


def request(path="/s/poison", caller="10.0.0.1", host="shop", body=b"", method="GET"):
    return RequestIdentity(method, host, path, body, caller)


def crash(number, at, req=None, caller=None):
    """Return a crash at time `at`, RUN_S seconds after the request began to run."""
    tag = caller or (req or request()).caller_tag
    return TargetCrash(f"i-{number}", tag, at - RUN_S, at)


class Daemon:
    """A quarantine, and the calls that a daemon makes to it."""

    def __init__(self):
        self.quarantine = Quarantine()

    def crashes(self, req, *times, first=0):
        """Record crashes of one target after another; return the last block set."""
        found = None
        for number, at in enumerate(times, first):
            self.quarantine.note_crash(req.content, crash(number, at, req), at)
            new_blocks = self.quarantine.block_if_proven(req.content, at)
            found = new_blocks[-1] if new_blocks else found
        return found

    def answer(self, req, at):
        """Record a response to a caller; return the blocks that this lifts."""
        lifted = self.quarantine.clear(req.content, req.caller_tag, at)
        self.quarantine.block_if_proven(req.content, at)
        return lifted

    def check(self, req, now):
        return self.quarantine.check(req, now)


@pytest.fixture
def daemon():
    return Daemon()


# -- evidence -----------------------------------------------------------------------


def test_three_sequential_runs_that_crash_their_targets_block_a_request(daemon):
    req = request()
    assert daemon.check(req, 0.0) == Unrestricted()
    assert daemon.crashes(req, 1.0) is None
    assert daemon.check(req, 1.0) == Suspect(isolated=False)
    assert daemon.crashes(req, 1.2, first=1) is None
    assert daemon.check(req, 1.2) == Suspect(isolated=True)
    ref, block = daemon.crashes(req, 1.4, first=2)
    assert ref == BlockRef(req.content, req.caller_tag)
    assert daemon.check(req, 1.4) == Quarantined(ref, block, blocks.FIRST_TRIAL_S)


def test_a_rack_failure_blocks_no_request(daemon):
    """Guards against a popular request that is refused after a rack lost its power.

    It runs at ten targets, which crash within 50 ms. Counting each crash blocks it,
    although none of the runs began after the crash of another one's target.
    """
    req = request()
    assert daemon.crashes(req, *(1.0 + 0.005 * n for n in range(10))) is None
    assert daemon.check(req, 1.1) == Suspect(isolated=False)


def test_a_response_clears_a_request(daemon):
    """Guards against a popular request that is refused while targets crash in turn.

    It is in flight at most crashes, but all targets that do not crash respond to it.
    """
    req = request()
    daemon.crashes(req, 1.0, 1.2)
    daemon.answer(req, 1.3)
    assert daemon.check(req, 1.3) == Unrestricted()
    # A crash whose run began before the response does not count if reported later.
    assert not daemon.quarantine.note_crash(req.content, crash(5, 1.25, req), 1.4)
    assert daemon.crashes(req, 1.6, 1.8, first=10) is None


def test_popular_requests_are_not_blocked_while_many_targets_crash():
    """Each of thirty targets crashes every 4 s, and one request runs on all of them.

    It runs 50 times a second for 60 s, and is in flight at two of three crashes.
    """
    rng = random.Random(11)
    daemon = Daemon()
    req = request()
    now = 0.0
    blocked = 0
    for number in itertools.count():
        now += 0.02
        if now > 60:
            break
        if rng.random() < 0.02 * 30 / 4 * 0.66:
            blocked += daemon.crashes(req, now, first=number) is not None
        elif daemon.quarantine.is_suspected(req):
            daemon.answer(req, now)
        assert not isinstance(daemon.check(req, now), Quarantined)
    assert blocked == 0


def test_crashes_under_requests_of_one_caller_block_only_that_caller(daemon):
    req, other = request(caller="10.0.0.1"), request(caller="10.0.0.2")
    daemon.crashes(req, 1.0, 1.2, 1.4)
    assert isinstance(daemon.check(req, 1.5), Quarantined)
    assert daemon.check(other, 1.5) == Unrestricted()


def test_a_request_of_many_callers_is_blocked_for_all(daemon):
    """Guards against three crashes for each of a thousand callers of one request."""
    callers = [request(caller=f"10.0.0.{n}") for n in range(4)]
    found = [daemon.crashes(req, 1.0 + n, first=n) for n, req in enumerate(callers)]
    assert found[:2] == [None, None]
    assert found[2][0] == BlockRef(callers[0].content, ALL_CALLERS)
    assert isinstance(daemon.check(request(caller="10.9.9.9"), 5.0), Quarantined)


def test_a_request_with_a_response_to_some_caller_is_not_blocked_for_all(daemon):
    crashing, answered = request(caller="10.0.0.1"), request(caller="10.0.0.2")
    daemon.crashes(answered, 1.0)
    daemon.crashes(crashing, 1.2, 1.4, first=1)
    daemon.answer(answered, 1.5)
    ref, _ = daemon.crashes(crashing, 1.7, first=3)
    assert ref.scope == crashing.caller_tag
    assert daemon.check(answered, 1.8) == Unrestricted()


def test_a_crash_that_several_daemons_observe_counts_once(daemon):
    req = request()
    for _ in range(5):
        daemon.quarantine.note_crash(req.content, crash(1, 1.0, req), 1.0)
    assert daemon.check(req, 1.0) == Suspect(isolated=False)


def test_a_repeated_crash_of_a_target_under_one_name_counts_again(daemon):
    """Guards against a request that keeps crashing a target that reuses its name."""
    req = request()
    found = None
    for number in range(3):
        at = 1.0 + 5.0 * number
        daemon.quarantine.note_crash(req.content, crash("a", at, req), at)
        found = daemon.quarantine.block_if_proven(req.content, at)
    assert found


def test_crashes_minutes_apart_count_together_until_they_expire(daemon):
    """A request that is sent every three minutes crashes a target each time."""
    req = request()
    assert daemon.crashes(req, 0.0, 180.0) is None
    assert daemon.crashes(req, 360.0, first=2) is not None
    slow = request("/s/slow")
    assert (
        daemon.crashes(
            slow,
            0.0,
            quarantine_module.EVIDENCE_RETENTION_S,
            2 * quarantine_module.EVIDENCE_RETENTION_S,
        )
        is None
    )


# -- identity of requests -----------------------------------------------------------


@pytest.mark.parametrize(
    "other",
    [
        request(host="other-shop"),
        request(path="/s/poison?page=2"),
        request(method="POST"),
        request(body=b"x"),
    ],
)
def test_a_different_host_path_method_or_body_is_another_request(daemon, other):
    daemon.crashes(request(), 1.0, 1.2, 1.4)
    assert daemon.check(other, 1.5) == Unrestricted()


def test_bodies_of_equal_length_are_distinguished(daemon):
    one, two = request(body=b"a" * 5000), request(body=b"b" * 5000)
    daemon.crashes(one, 1.0, 1.2, 1.4)
    assert isinstance(daemon.check(one, 1.5), Quarantined)
    assert daemon.check(two, 1.5) == Unrestricted()


def test_a_large_body_is_hashed_only_if_its_head_is_known(daemon, monkeypatch):
    """Hashing 64 MB takes some 70 ms, in which a daemon serves no other request."""
    digested = []
    blake2b = hashlib.blake2b

    def spy(data, **options):
        digested.append(len(data))
        return blake2b(data, **options)

    monkeypatch.setattr(identity_module.hashlib, "blake2b", spy)
    body = b"x" * 1_000_000
    assert daemon.check(request(body=body), 0.0) == Unrestricted()
    assert digested == []
    daemon.crashes(request("/s/other"), 1.0)
    assert daemon.check(request(body=body), 1.0) == Unrestricted()
    assert len(body) not in digested
    daemon.crashes(request(body=body), 1.0)
    assert daemon.check(request(body=body), 1.0) != Unrestricted()
    assert len(body) in digested


# -- trials and expiry --------------------------------------------------------------


def test_trials_back_off_and_a_response_lifts_the_block(daemon):
    req = request()
    ref, block = daemon.crashes(req, 1.0, 1.2, 1.4)
    waits = []
    for trials in range(5):
        waits.append(block.next_trial - block.at)
        verdict = daemon.check(req, block.next_trial)
        assert verdict == Quarantined(ref, block, 0.0)
        block = attrs.evolve(block, trials=trials + 1)
        assert daemon.quarantine.apply_block(*ref_parts(ref), block)
    assert waits == [20, 100, 420, 1700, 5300]
    assert daemon.answer(req, 6000.0) == [ref]
    assert daemon.check(req, 6000.0) == Unrestricted()


def ref_parts(ref):
    return ref.content, ref.scope


def test_a_block_without_requests_expires(daemon):
    req = request()
    _, block = daemon.crashes(req, 1.0, 1.2, 1.4)
    late = block.next_trial + blocks.TRIAL_WAIT_S
    assert isinstance(daemon.check(req, late - 1), Quarantined)
    assert daemon.check(req, late) == Unrestricted()
    daemon.quarantine.drop_expired(late)
    assert len(daemon.quarantine) == 0


def test_a_lifted_block_that_is_reported_later_is_not_applied(daemon):
    """Guards against a request that is refused for another minute after its release.

    A daemon that was cut off reconnects and reports the old block, which must not
    count from the time of that report.
    """
    req = request()
    ref, block = daemon.crashes(req, 1.0, 1.2, 1.4)
    daemon.quarantine.clear(req.content, ALL_CALLERS, 30.0)
    assert not daemon.quarantine.apply_block(*ref_parts(ref), block)
    assert daemon.check(req, 31.0) == Unrestricted()


# -- bounds -------------------------------------------------------------------------


def test_a_flood_of_requests_that_crash_targets_keeps_the_bound_and_blocks(daemon):
    blocked = request("/s/blocked")
    daemon.crashes(blocked, 1.0, 1.2, 1.4)
    for number in range(3 * quarantine_module.MAX_REQUESTS):
        daemon.crashes(request(f"/s/{number}"), 2.0 + number / 1000)
    assert len(daemon.quarantine) == quarantine_module.MAX_REQUESTS
    assert isinstance(daemon.check(blocked, 9.0), Quarantined)
    many = request("/s/many")
    daemon.crashes(many, *(10.0 + 0.01 * n for n in range(100)))
    for number in range(100):
        req = request("/s/many", caller=f"c{number}")
        daemon.quarantine.clear(req.content, req.caller_tag, 11.0 + number)
    daemon.quarantine.drop_expired(quarantine_module.EVIDENCE_RETENTION_S + 200)
    assert len(daemon.quarantine) <= 2


def test_a_suspect_request_runs_one_at_a_time(daemon):
    req = request()
    daemon.crashes(req, 1.0, 1.2)
    assert daemon.quarantine.begin(req)
    assert not daemon.quarantine.begin(req)
    daemon.quarantine.finish(req)
    daemon.quarantine.finish(req)
    assert daemon.quarantine.begin(req)


# -- many daemons ---------------------------------------------------------------------

TIMES = st.integers(0, 400).map(lambda n: n / 10)
EVENTS = st.lists(
    st.tuples(st.sampled_from(["end", "answer"]), TIMES, st.sampled_from("ab")),
    min_size=3,
    max_size=14,
)


@given(EVENTS, st.randoms(use_true_random=False))
def test_daemons_decide_alike_on_the_same_reports_in_any_order(events, rng):
    """Other daemons receive the reports of a daemon later, and in another order."""
    verdicts = []
    for _ in range(2):
        daemon = Daemon()
        rng.shuffle(events)
        for kind, at, caller in events:
            req = request(caller=caller)
            if kind == "end":
                number = f"{at} {caller}"
                daemon.quarantine.note_crash(req.content, crash(number, at, req), 41.0)
                daemon.quarantine.block_if_proven(req.content, 41.0)
            else:
                daemon.answer(req, at)
        verdicts.append(
            [
                isinstance(daemon.check(request(caller=c), 41.0), Quarantined)
                for c in "ab"
            ]
        )
    assert verdicts[0] == verdicts[1]


def test_a_run_that_begins_at_the_time_of_a_response_counts_as_later():
    """Guards against daemons that decide differently on the same reports.

    Runs of two callers crash targets in turn, and one caller gets a response at the
    time at which its second run begins. If that run counts as later than the response,
    but the block that the runs justify does not, then no block is set, not even for the
    other caller, whose three runs no response contradicts.
    """
    a, b = request(caller="a"), request(caller="b")
    crashed_runs = [(b, 0.0), (a, 0.1), (b, 0.2), (b, 0.4)]
    assert verdicts_around_an_answer(a, b, crashed_runs, 0.0) == [
        [True, True],
        [True, True],
    ]


def test_a_block_for_all_callers_needs_runs_of_two_callers():
    """Guards against a block for all callers on one daemon, for one caller on another.

    One caller makes one run and gets a response after that run began; another caller
    makes three runs. The three runs alone must not justify a block for all callers with
    the first run as the second caller, since a daemon on which that run is reported
    after the response ignores it.
    """
    a, b = request(caller="a"), request(caller="b")
    crashed_runs = [(a, 0.0), (b, 0.2), (b, 0.4), (b, 0.6)]
    assert verdicts_around_an_answer(a, b, crashed_runs, 0.0) == [
        [False, True],
        [False, True],
    ]


def verdicts_around_an_answer(a, b, crashed_runs, at):
    """Return which callers are blocked, with the response to `a` first or last.

    Parameters
    ----------
    a, b : RequestIdentity
        The request, by two callers.
    crashed_runs : list of tuple
        Request and time in seconds of each crash.
    at : float
        Time in seconds of the response to `a`.
    """
    verdicts = []
    for answered_first in (True, False):
        daemon = Daemon()
        if answered_first:
            daemon.answer(a, at)
        for number, (req, crashed_at) in enumerate(crashed_runs):
            daemon.quarantine.note_crash(
                req.content, crash(number, crashed_at, req), 41.0
            )
            daemon.quarantine.block_if_proven(req.content, 41.0)
        if not answered_first:
            daemon.answer(a, at)
        verdicts.append(
            [isinstance(daemon.check(r, 41.0), Quarantined) for r in (a, b)]
        )
    return verdicts
