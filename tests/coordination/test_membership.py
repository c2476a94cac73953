"""Membership: later news wins, whatever the order in which it comes."""

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
    mine = Membership(member(name), random.Random(1), TIMES)
    for other in others:
        mine.merge(other, 0)
    return mine


NEWS = st.lists(
    st.builds(
        member,
        st.sampled_from("bc"),
        st.integers(1, 3),
        st.sampled_from(MemberState),
    ),
    max_size=6,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(NEWS, st.randoms(use_true_random=False))
def test_the_order_of_news_does_not_matter(news, rng):
    known = [member("b"), member("c")]
    shuffled = list(news)
    rng.shuffle(shuffled)
    one = membership("a", *known, *news, *news)
    other = membership("a", *known, *shuffled)
    assert sorted(one.others(), key=str) == sorted(other.others(), key=str)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(NEWS)
def test_what_is_known_of_a_member_never_goes_back(news):
    mine = membership("a", member("b"), member("c"))
    for item in news:
        before = mine.get(item.name)
        mine.merge(item, 1)
        assert not before.supersedes(mine.get(item.name))


def test_a_silent_member_is_suspected_then_gone_then_forgotten():
    mine = membership("a", member("b"))
    mine.suspect("b", 10)
    assert [m.name for m in mine.live()] == ["a"]
    mine.apply_timeouts(13.9)
    assert mine.get("b").state is MemberState.SUSPECTED
    mine.apply_timeouts(14)
    assert mine.get("b").state is MemberState.GONE
    mine.apply_timeouts(114)
    assert mine.get("b") is None


def test_a_paused_member_that_wakes_refutes_and_is_heard():
    """Symptom: an instance that was paused is out of use for good.

    Events: it is called gone while it is paused; it wakes. Cause: its old
    incarnation cannot undo that; it has to raise the number itself.
    """
    mine = membership("a", member("b"))
    mine.suspect("b", 0)
    mine.apply_timeouts(4)
    woken = membership("b", member("a"))
    assert not mine.merge(woken.me, 5)
    woken.merge(mine.get("b"), 5)
    assert mine.merge(woken.me, 5)
    assert mine.get("b").state is MemberState.ALIVE


def test_a_member_that_comes_back_late_hears_that_it_was_called_gone():
    """Symptom: after a partition daemons stay apart for good.

    Events: a member is called gone, and all news of it has been told; it is
    heard again. Cause: nobody tells it, so that it does not refute.
    """
    mine = membership("a", member("b"))
    mine.suspect("b", 0)
    mine.apply_timeouts(4)
    while mine.news():
        pass
    back = membership("b", member("a"))
    mine.merge(back.me, 60)
    for item in mine.news():
        back.merge(item, 60)
    assert mine.merge(back.me, 60)


def test_a_woken_member_cannot_undo_what_was_learnt_of_others():
    mine = membership("a", member("b", incarnation=7))
    mine.merge(member("b", 7, MemberState.LEAVING), 1)
    assert not mine.merge(member("b", 7, MemberState.ALIVE), 2)
    assert not mine.merge(member("b", 6, MemberState.ALIVE), 2)


def test_a_leaving_member_that_falls_silent_is_gone_at_once():
    mine = membership("a", member("b", state=MemberState.LEAVING))
    mine.suspect("b", 1)
    assert mine.get("b").state is MemberState.GONE


def test_each_peer_is_called_once_before_any_is_called_twice():
    names = [f"m{i}" for i in range(10)]
    mine = membership("a", *[member(name) for name in names])
    for _ in range(5):
        calls = [m.name for _ in range(5) for m in mine.next_peers(2)]
        assert sorted(calls) == names


def test_news_is_told_a_bounded_number_of_times():
    mine = membership("a", member("b"))
    rounds = list(itertools.takewhile(bool, (mine.news() for _ in range(100))))
    assert 1 <= len(rounds) < 20


def test_leaving_is_told_and_not_undone_by_old_news():
    mine = membership("a", member("b"))
    mine.leave()
    assert member("a", state=MemberState.LEAVING) in mine.news()
    mine.merge(member("a", 1, MemberState.ALIVE), 1)
    assert mine.me.state is MemberState.LEAVING


def test_a_rank_changes_at_most_one_of_those_chosen():
    names = [f"m{i}" for i in range(30)]
    before = set(lowest_ranked("k", names, 5))
    for gone in names:
        after = set(lowest_ranked("k", set(names) - {gone}, 5))
        assert len(before - after) <= 1


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.floats(0, 1), max_size=200), st.floats(0.1, 50), st.integers(1, 9))
def test_a_bucket_never_gives_more_than_rate_and_burst(pauses, rate, burst):
    bucket = TokenBucket(rate, burst, 0.0)
    now = 0.0
    given_out = 0
    for pause in pauses:
        now += pause
        given_out += bucket.take(now)
    assert given_out <= rate * now + burst + 1e-6


def test_a_bucket_takes_nothing_from_a_clock_that_goes_back():
    bucket = TokenBucket(1, 5, 100.0)
    assert not bucket.take(0.0)
    assert not bucket.take(100.5)


def test_the_youngest_confirmation_counts():
    head = HeadConfirmation()
    assert head.age(10) == float("inf")
    head.confirm(10, 3)
    head.confirm(10, 8)
    assert head.age(12) == 5


def test_notes_extend_and_lapse():
    heard = []
    board = NoteRegistry(lambda *note: heard.append(note))
    assert board.post(Note("t", "health", 5), 0, 10)
    assert not board.post(Note("t", "health", 4), 0, 10)
    assert not board.post(Note("t", "health", 5), 1, 10)
    assert heard == [("t", "health", 5), ("t", "health", 6)]
    assert board.next_notes(2) == (Note("t", "health", 4),)
    assert board.active_notes(6.1) == []
    board.drop_expired(6.1)
    assert board.next_notes(6.1) == ()


def test_a_note_cannot_hold_for_ever():
    heard = []
    board = NoteRegistry(lambda *note: heard.append(note[2]))
    board.post(Note("t", "health", 1e9), 0, 1)
    assert heard == [60]
