"""Tests of membership, ranks, token buckets and notes."""

import itertools
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.coordination import (
    HeadConfirmation,
    Member,
    Membership,
    MembershipTimes,
    MemberState,
    Note,
    NoteRegistry,
    TokenBucket,
    lowest_ranked,
)

TIMES = MembershipTimes(suspicion=4, retention=100)


def member(name="b", incarnation=1, state=MemberState.ALIVE):
    return Member(name, "z", f"{name}:1", f"{name}:2", incarnation, state)


def membership(name="a", *others):
    view = Membership(member(name), random.Random(1), TIMES)
    for other in others:
        view.merge(other, 0)
    return view


UPDATES = st.lists(
    st.builds(
        member,
        st.sampled_from("bc"),
        st.integers(1, 3),
        st.sampled_from(MemberState),
    ),
    max_size=6,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(UPDATES, st.randoms(use_true_random=False))
def test_order_of_updates_does_not_matter(updates, rng):
    known = [member("b"), member("c")]
    shuffled = list(updates)
    rng.shuffle(shuffled)
    one = membership("a", *known, *updates, *updates)
    other = membership("a", *known, *shuffled)
    assert sorted(one.others(), key=str) == sorted(other.others(), key=str)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(UPDATES)
def test_state_of_a_member_never_reverts(updates):
    view = membership("a", member("b"), member("c"))
    for item in updates:
        before = view.get(item.name)
        view.merge(item, 1)
        assert not before.supersedes(view.get(item.name))


def test_silent_member_is_suspected_then_gone_then_forgotten():
    view = membership("a", member("b"))
    view.suspect("b", 10)
    assert [m.name for m in view.live()] == ["a"]
    view.apply_timeouts(13.9)
    assert view.get("b").state is MemberState.SUSPECTED
    view.apply_timeouts(14)
    assert view.get("b").state is MemberState.GONE
    view.apply_timeouts(114)
    assert view.get("b") is None


def test_resumed_member_refutes_that_it_is_gone():
    """Guards against excluding a paused instance for good after it resumes.

    It is marked as gone while it is paused. Its old incarnation cannot supersede that,
    so it has to increment its incarnation.
    """
    view = membership("a", member("b"))
    view.suspect("b", 0)
    view.apply_timeouts(4)
    resumed = membership("b", member("a"))
    assert not view.merge(resumed.me, 5)
    resumed.merge(view.get("b"), 5)
    assert view.merge(resumed.me, 5)
    assert view.get("b").state is MemberState.ALIVE


def test_late_returning_member_is_notified_that_it_was_marked_gone():
    """Guards against daemons that stay separated for good after a partition.

    A member is marked as gone and the gossip of that update has ended before the member
    returns. Unless it receives the update, it does not refute it.
    """
    view = membership("a", member("b"))
    view.suspect("b", 0)
    view.apply_timeouts(4)
    while view.pending_updates():
        pass
    back = membership("b", member("a"))
    view.merge(back.me, 60)
    for item in view.pending_updates():
        back.merge(item, 60)
    assert view.merge(back.me, 60)


def test_old_update_cannot_revert_the_state_of_a_member():
    view = membership("a", member("b", incarnation=7))
    view.merge(member("b", 7, MemberState.LEAVING), 1)
    assert not view.merge(member("b", 7, MemberState.ALIVE), 2)
    assert not view.merge(member("b", 6, MemberState.ALIVE), 2)


def test_silent_leaving_member_is_gone_at_once():
    view = membership("a", member("b", state=MemberState.LEAVING))
    view.suspect("b", 1)
    assert view.get("b").state is MemberState.GONE


def test_each_peer_is_called_once_before_any_is_called_twice():
    names = [f"m{i}" for i in range(10)]
    view = membership("a", *[member(name) for name in names])
    for _ in range(5):
        calls = [m.name for _ in range(5) for m in view.next_peers(2)]
        assert sorted(calls) == names


def test_update_is_sent_a_bounded_number_of_times():
    view = membership("a", member("b"))
    rounds = list(
        itertools.takewhile(bool, (view.pending_updates() for _ in range(100)))
    )
    assert 1 <= len(rounds) < 20


def test_leaving_is_gossiped_and_not_reverted_by_old_updates():
    view = membership("a", member("b"))
    view.leave()
    assert member("a", state=MemberState.LEAVING) in view.pending_updates()
    view.merge(member("a", 1, MemberState.ALIVE), 1)
    assert view.me.state is MemberState.LEAVING


def test_removing_a_name_changes_at_most_one_of_the_lowest_ranked():
    names = [f"m{i}" for i in range(30)]
    before = set(lowest_ranked("k", names, 5))
    for gone in names:
        after = set(lowest_ranked("k", set(names) - {gone}, 5))
        assert len(before - after) <= 1


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.floats(0, 1), max_size=200), st.floats(0.1, 50), st.integers(1, 9))
def test_bucket_never_exceeds_rate_and_burst(pauses, rate, burst):
    bucket = TokenBucket(rate, burst, 0.0)
    now = 0.0
    taken = 0
    for pause in pauses:
        now += pause
        taken += bucket.take(now)
    assert taken <= rate * now + burst + 1e-6


def test_bucket_gains_nothing_when_the_clock_goes_back():
    bucket = TokenBucket(1, 5, 100.0)
    assert not bucket.take(0.0)
    assert not bucket.take(100.5)


def test_latest_confirmation_is_used():
    head = HeadConfirmation()
    assert head.age(10) == float("inf")
    head.confirm(10, 3)
    head.confirm(10, 8)
    assert head.age(12) == 5


def test_notes_are_extended_and_expire():
    received = []
    registry = NoteRegistry(lambda *note: received.append(note))
    assert registry.post(Note("t", "health", 5), 0, 10)
    assert not registry.post(Note("t", "health", 4), 0, 10)
    assert not registry.post(Note("t", "health", 5), 1, 10)
    assert received == [("t", "health", 5), ("t", "health", 6)]
    assert registry.next_notes(2) == (Note("t", "health", 4),)
    assert registry.active_notes(6.1) == []
    registry.drop_expired(6.1)
    assert registry.next_notes(6.1) == ()


def test_lifetime_of_a_note_is_limited():
    received = []
    registry = NoteRegistry(lambda *note: received.append(note[2]))
    registry.post(Note("t", "health", 1e9), 0, 1)
    assert received == [60]
