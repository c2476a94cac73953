"""Who is blamed for ends of targets, and until when."""

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
from cairnferry.policy.shared import _quarantine as module

RUN_S = 0.1


def request(path="/s/poison", caller="10.0.0.1", host="shop", body=b"", method="GET"):
    return RequestIdentity(method, host, path, body, caller)


def end(number, at, req=None, caller=None):
    """Give the end at `at` of a target under a run of a tenth of a second."""
    tag = caller or (req or request()).caller_tag
    return TargetCrash(f"i-{number}", tag, at - RUN_S, at)


class Daemon:
    """A quarantine, and the steps that are taken with it."""

    def __init__(self):
        self.quarantine = Quarantine()

    def ends(self, req, *times, first=0):
        """Take in ends of one target after the other; give the last block set."""
        found = None
        for number, at in enumerate(times, first):
            self.quarantine.note_crash(req.content, end(number, at, req), at)
            blamed = self.quarantine.block_if_proven(req.content, at)
            found = blamed[-1] if blamed else found
        return found

    def answer(self, req, at):
        """Take in that a caller had an answer; give the blocks that this lifts."""
        lifted = self.quarantine.clear(req.content, req.caller_tag, at)
        self.quarantine.block_if_proven(req.content, at)
        return lifted

    def check(self, req, now):
        return self.quarantine.check(req, now)


@pytest.fixture
def daemon():
    return Daemon()


# -- who is blamed ----------------------------------------------------------------


def test_three_runs_one_after_the_other_that_end_their_targets_block_a_request(daemon):
    req = request()
    assert daemon.check(req, 0.0) == Unrestricted()
    assert daemon.ends(req, 1.0) is None
    assert daemon.check(req, 1.0) == Suspect(isolated=False)
    assert daemon.ends(req, 1.2, first=1) is None
    assert daemon.check(req, 1.2) == Suspect(isolated=True)
    ref, block = daemon.ends(req, 1.4, first=2)
    assert ref == BlockRef(req.content, req.caller_tag)
    assert daemon.check(req, 1.4) == Quarantined(ref, block, blocks.FIRST_TRIAL_S)


def test_a_rack_that_is_lost_blames_nobody(daemon):
    """Symptom: a page that all callers want is refused after a rack lost its power.

    Events: it is in hand at ten targets, which end within 50 ms. Cause: each end was
    counted, though none of the runs had begun after another one's target had ended.
    """
    req = request()
    assert daemon.ends(req, *(1.0 + 0.005 * n for n in range(10))) is None
    assert daemon.check(req, 1.1) == Suspect(isolated=False)


def test_an_answer_clears_a_request(daemon):
    """Symptom: a popular request is refused while targets crash one after the other.

    It is in hand at most ends, but it is answered by all targets that do not end.
    """
    req = request()
    daemon.ends(req, 1.0, 1.2)
    daemon.answer(req, 1.3)
    assert daemon.check(req, 1.3) == Unrestricted()
    # An end that began before the answer is heard of late: it counts no more.
    assert not daemon.quarantine.note_crash(req.content, end(5, 1.25, req), 1.4)
    assert daemon.ends(req, 1.6, 1.8, first=10) is None


def test_popular_requests_are_not_blocked_while_many_targets_crash():
    """Thirty targets of which each crashes every 4 s, and a request on all of them.

    It is run 50 times a second and in hand at two of three ends; 60 s of it.
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
            blocked += daemon.ends(req, now, first=number) is not None
        elif daemon.quarantine.is_suspected(req):
            daemon.answer(req, now)
        assert not isinstance(daemon.check(req, now), Quarantined)
    assert blocked == 0


def test_ends_under_one_request_hold_for_its_caller_alone(daemon):
    req, other = request(caller="10.0.0.1"), request(caller="10.0.0.2")
    daemon.ends(req, 1.0, 1.2, 1.4)
    assert isinstance(daemon.check(req, 1.5), Quarantined)
    assert daemon.check(other, 1.5) == Unrestricted()


def test_the_same_request_of_many_callers_is_blocked_for_all(daemon):
    """Symptom: each of a thousand callers that want one page ends three targets."""
    callers = [request(caller=f"10.0.0.{n}") for n in range(4)]
    found = [daemon.ends(req, 1.0 + n, first=n) for n, req in enumerate(callers)]
    assert found[:2] == [None, None]
    assert found[2][0] == BlockRef(callers[0].content, ALL_CALLERS)
    assert isinstance(daemon.check(request(caller="10.9.9.9"), 5.0), Quarantined)


def test_a_request_that_some_callers_have_answered_is_not_blocked_for_all(daemon):
    sick, well = request(caller="10.0.0.1"), request(caller="10.0.0.2")
    daemon.ends(well, 1.0)
    daemon.ends(sick, 1.2, 1.4, first=1)
    daemon.answer(well, 1.5)
    ref, _ = daemon.ends(sick, 1.7, first=3)
    assert ref.scope == sick.caller_tag
    assert daemon.check(well, 1.8) == Unrestricted()


def test_the_same_end_seen_by_several_daemons_counts_once(daemon):
    req = request()
    for _ in range(5):
        daemon.quarantine.note_crash(req.content, end(1, 1.0, req), 1.0)
    assert daemon.check(req, 1.0) == Suspect(isolated=False)


def test_a_target_that_ends_again_under_its_name_counts_again(daemon):
    """Symptom: a request ends one target for ever, which starts under its old name."""
    req = request()
    found = None
    for number in range(3):
        at = 1.0 + 5.0 * number
        daemon.quarantine.note_crash(req.content, end("a", at, req), at)
        found = daemon.quarantine.block_if_proven(req.content, at)
    assert found


def test_ends_far_apart_count_together_and_are_forgotten_at_last(daemon):
    """A request that its caller sends every three minutes ends a target each time."""
    req = request()
    assert daemon.ends(req, 0.0, 180.0) is None
    assert daemon.ends(req, 360.0, first=2) is not None
    slow = request("/s/slow")
    assert (
        daemon.ends(
            slow, 0.0, module.EVIDENCE_RETENTION_S, 2 * module.EVIDENCE_RETENTION_S
        )
        is None
    )


# -- what makes a request the same ------------------------------------------------


@pytest.mark.parametrize(
    "other",
    [
        request(host="other-shop"),
        request(path="/s/poison?page=2"),
        request(method="POST"),
        request(body=b"x"),
    ],
)
def test_another_host_path_method_or_body_is_another_request(daemon, other):
    daemon.ends(request(), 1.0, 1.2, 1.4)
    assert daemon.check(other, 1.5) == Unrestricted()


def test_bodies_of_one_length_are_told_apart(daemon):
    one, two = request(body=b"a" * 5000), request(body=b"b" * 5000)
    daemon.ends(one, 1.0, 1.2, 1.4)
    assert isinstance(daemon.check(one, 1.5), Quarantined)
    assert daemon.check(two, 1.5) == Unrestricted()


def test_a_large_body_is_digested_only_if_its_head_is_known(daemon, monkeypatch):
    """A digest of 64 MB takes some 70 ms, in which a daemon answers nobody."""
    digested = []
    blake2b = hashlib.blake2b

    def spy(data, **options):
        digested.append(len(data))
        return blake2b(data, **options)

    monkeypatch.setattr(identity_module.hashlib, "blake2b", spy)
    body = b"x" * 1_000_000
    assert daemon.check(request(body=body), 0.0) == Unrestricted()
    assert digested == []
    daemon.ends(request("/s/other"), 1.0)
    assert daemon.check(request(body=body), 1.0) == Unrestricted()
    assert len(body) not in digested
    daemon.ends(request(body=body), 1.0)
    assert daemon.check(request(body=body), 1.0) != Unrestricted()
    assert len(body) in digested


# -- forgiving ----------------------------------------------------------------------


def test_trials_come_ever_later_and_one_that_is_answered_lifts_the_block(daemon):
    req = request()
    ref, block = daemon.ends(req, 1.0, 1.2, 1.4)
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


def test_a_block_that_nobody_asks_for_is_forgotten(daemon):
    req = request()
    _, block = daemon.ends(req, 1.0, 1.2, 1.4)
    late = block.next_trial + blocks.FORGET_S
    assert isinstance(daemon.check(req, late - 1), Quarantined)
    assert daemon.check(req, late) == Unrestricted()
    daemon.quarantine.drop_expired(late)
    assert len(daemon.quarantine) == 0


def test_an_older_block_that_is_heard_of_late_does_not_come_back(daemon):
    """Symptom: a request that was let through again is refused for another minute.

    Events: a daemon that was cut off comes back and tells of the block. Cause: the
    block counted from when it was heard of.
    """
    req = request()
    ref, block = daemon.ends(req, 1.0, 1.2, 1.4)
    daemon.quarantine.clear(req.content, ALL_CALLERS, 30.0)
    assert not daemon.quarantine.apply_block(*ref_parts(ref), block)
    assert daemon.check(req, 31.0) == Unrestricted()


# -- bounds -------------------------------------------------------------------------


def test_a_flood_of_requests_that_end_targets_keeps_its_bound_and_the_blocks(daemon):
    blocked = request("/s/blocked")
    daemon.ends(blocked, 1.0, 1.2, 1.4)
    for number in range(3 * module.MAX_CASES):
        daemon.ends(request(f"/s/{number}"), 2.0 + number / 1000)
    assert len(daemon.quarantine) == module.MAX_CASES
    assert isinstance(daemon.check(blocked, 9.0), Quarantined)
    many = request("/s/many")
    daemon.ends(many, *(10.0 + 0.01 * n for n in range(100)))
    for number in range(100):
        req = request("/s/many", caller=f"c{number}")
        daemon.quarantine.clear(req.content, req.caller_tag, 11.0 + number)
    daemon.quarantine.drop_expired(module.EVIDENCE_RETENTION_S + 200)
    assert len(daemon.quarantine) <= 2


def test_one_at_a_time(daemon):
    req = request()
    daemon.ends(req, 1.0, 1.2)
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
def test_daemons_that_hear_the_same_in_any_order_come_to_the_same_end(events, rng):
    """What one sees, another one hears later, and in another order."""
    verdicts = []
    for _ in range(2):
        daemon = Daemon()
        rng.shuffle(events)
        for kind, at, caller in events:
            req = request(caller=caller)
            if kind == "end":
                number = f"{at} {caller}"
                daemon.quarantine.note_crash(req.content, end(number, at, req), 41.0)
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


def test_a_run_that_begins_as_another_one_is_answered_counts_as_later_everywhere():
    """Symptom: of two daemons that hear the same one blocks a request, one does not.

    Events: runs of two callers end targets in turn, and one gets an answer at the
    moment at which its second run begins. For the runs that was later, for the
    block that they prove it was not: no block was set, also none for the other caller,
    whose three runs no answer speaks against.
    """
    a, b = request(caller="a"), request(caller="b")
    told = [(b, 0.0), (a, 0.1), (b, 0.2), (b, 0.4)]
    assert verdicts_around_an_answer(a, b, told, 0.0) == [[True, True], [True, True]]


def test_a_block_for_all_is_proved_by_runs_of_two_callers_and_not_beside_them():
    """Symptom: a daemon refuses a request to all, and another one to one caller alone.

    Events: one run of a caller, which gets an answer later than that run began, and
    three runs of another one. The three proved the block, and the one before made two
    callers of it; heard of after the answer it does not count, and there is one.
    """
    a, b = request(caller="a"), request(caller="b")
    told = [(a, 0.0), (b, 0.2), (b, 0.4), (b, 0.6)]
    assert verdicts_around_an_answer(a, b, told, 0.0) == [[False, True], [False, True]]


def verdicts_around_an_answer(a, b, told, at):
    """Tell who is barred if an answer to `a` is heard before the ends, and after."""
    verdicts = []
    for answered_first in (True, False):
        daemon = Daemon()
        if answered_first:
            daemon.answer(a, at)
        for number, (req, ended) in enumerate(told):
            daemon.quarantine.note_crash(req.content, end(number, ended, req), 41.0)
            daemon.quarantine.block_if_proven(req.content, 41.0)
        if not answered_first:
            daemon.answer(a, at)
        verdicts.append(
            [isinstance(daemon.check(r, 41.0), Quarantined) for r in (a, b)]
        )
    return verdicts
