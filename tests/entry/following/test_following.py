"""A followed table: each state of the feed, and what vanishes in an outage."""

import random

import gevent
import pytest
from expression import Error, Ok

from cairnferry.coordination import Batch, Row, TableUpdate
from cairnferry.entry._ports import FeedUnavailable, HistoryLost
from cairnferry.entry.following import _following, _table
from cairnferry.entry.following._following import Follower


class ScriptedFeed:
    """Gives prepared results and notes what was asked."""

    def __init__(self, *results):
        self.results = list(results)
        self.asked = []
        self.waits = []

    def everything(self):
        self.asked.append("all")
        return self.results.pop(0)

    def since(self, version, wait_s):
        self.asked.append(version)
        self.waits.append(wait_s)
        return self.results.pop(0)


def put(key, version, value=b"v"):
    return Row(key, value, version)


def removed(key, version):
    return Row(key, None, version)


def batch(version, *items):
    return Ok(Batch(items, version))


DOWN = Error(FeedUnavailable("status 503"))


@pytest.fixture
def follow():
    def start(*results):
        seen = []
        feed = ScriptedFeed(*results)

        def note(rows):
            seen.append({key: item.version for key, item in rows.items()})

        follower = Follower("rows", feed, note, random.Random(1))
        return follower, feed, seen

    return start


def play(follower, calls):
    return [follower.one_call() for _ in range(calls)]


def test_it_lists_once_and_then_waits_for_changes(follow):
    follower, feed, seen = follow(
        batch(5, put("a", 3)), batch(7, put("b", 7)), batch(9, removed("a", 9))
    )
    play(follower, 3)
    assert feed.asked == ["all", 5, 7]
    assert seen == [{"a": 3}, {"a": 3, "b": 7}, {"b": 7}]


def test_an_answer_without_changes_changes_nothing(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), batch(6), batch(6))
    play(follower, 3)
    assert feed.asked == ["all", 5, 6]
    assert len(seen) == 1


def test_a_late_answer_does_not_bring_an_older_row_back(follow):
    follower, _, seen = follow(batch(5, put("a", 5)), batch(6, put("a", 4)))
    play(follower, 2)
    assert seen == [{"a": 5}]


def test_lost_history_is_listed_again_at_once(follow):
    """Symptom: a target that left during the gap gets requests for ever.

    Cause: its removal is in the history that the store no longer has.
    """
    follower, feed, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        Error(HistoryLost()),
        batch(50, put("b", 4)),
    )
    pauses = play(follower, 3)
    assert feed.asked == ["all", 5, "all"]
    assert pauses[1] == 0
    assert seen[-1] == {"b": 4}


def test_failures_are_tried_again_with_growing_pauses_and_keep_what_is_held(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), *[DOWN] * 8, batch(5))
    pauses = play(follower, 10)
    assert feed.asked == ["all", *[5] * 9]
    assert seen == [{"a": 3}]
    assert max(pauses) <= _following.MAX_RETRY_S
    assert pauses[6] > pauses[1]


def test_a_feed_that_is_down_from_the_start_is_listed_when_it_is_up(follow):
    follower, feed, seen = follow(DOWN, DOWN, batch(5, put("a", 3)))
    play(follower, 3)
    assert feed.asked == ["all"] * 3
    assert seen == [{"a": 3}]


def test_what_lapsed_in_an_outage_is_held_until_it_may_be_back(follow, monkeypatch):
    """Symptom: after an outage of the store all targets are gone for two seconds.

    Events: targets cannot renew their rows while the store is away; the rows lapse,
    and are written again within two seconds of its return. Cause: the removals were
    taken at their word.
    """
    monkeypatch.setattr(_table, "RETURN_GRACE_S", 0.05)
    follower, _, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        DOWN,
        batch(8, removed("a", 7), removed("b", 8)),
        batch(9, put("a", 9)),
    )
    play(follower, 4)
    assert seen[-1] == {"a": 9, "b": 4}
    while len(seen[-1]) > 1:
        gevent.sleep(0.01)
    assert seen[-1] == {"a": 9}


def test_a_listing_after_an_outage_holds_what_is_missing(follow, monkeypatch):
    monkeypatch.setattr(_table, "RETURN_GRACE_S", 0.05)
    follower, _, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        DOWN,
        Error(HistoryLost()),
        batch(90, put("b", 4)),
    )
    play(follower, 4)
    assert seen == [{"a": 3, "b": 4}]
    while "a" in seen[-1]:
        gevent.sleep(0.01)
    assert seen[-1] == {"b": 4}


def test_without_an_outage_a_removal_counts_at_once(follow):
    follower, _, seen = follow(batch(5, put("a", 3)), batch(6, removed("a", 6)))
    play(follower, 2)
    assert seen[-1] == {}


def test_while_the_store_may_be_away_calls_do_not_wait(follow):
    """Symptom: ten seconds after an outage old rules are still in force.

    Events: the store is silent for five seconds; in that time a call is made that is
    to wait eight seconds for changes. Its answer never comes. Cause: the wait, and the
    time allowed for it, although the call before it had failed.
    """
    follower, feed, _ = follow(batch(5), batch(6), DOWN, DOWN, batch(6), batch(6))
    play(follower, 6)
    assert [wait > 0 for wait in feed.waits] == [True, True, False, False, True]


def test_waits_differ_so_that_instances_get_out_of_step(follow):
    follower, feed, _ = follow(batch(5), *[batch(5)] * 10)
    play(follower, 11)
    assert len(set(feed.waits)) == 10
    longest = _following.MAX_WAIT_S
    shortest = _following.MIN_WAIT_SHARE * longest
    assert all(shortest <= wait <= longest for wait in feed.waits)


class HangingFeed(ScriptedFeed):
    """Its first wait for changes gets no answer."""

    def since(self, version, wait_s):
        result = super().since(version, wait_s)
        if result is None:
            gevent.sleep(1000)
        return result


def test_a_feed_that_finds_the_store_back_wakes_the_other_one(follow):
    """Symptom: rules are up to date after an outage, and targets are not.

    Cause: the call for targets waits for an answer that was lost in the outage.
    """
    rules, _, _ = follow(batch(5), DOWN, batch(5))
    hanging = HangingFeed(batch(5, put("a", 3)), None, batch(7, removed("a", 7)))
    targets = Follower("targets", hanging, lambda rows: None, random.Random(1))
    rules.partners.append(targets)
    play(rules, 2)
    task = gevent.spawn(targets.run)
    while len(hanging.asked) < 2:
        gevent.sleep(0.01)
    rules.one_call()
    while len(hanging.asked) < 3:
        gevent.sleep(0.01)
    task.kill()
    assert hanging.waits[1] == 0.0


class WaitingFeed(ScriptedFeed):
    """Waits as long as it is told to before it finds nothing."""

    def since(self, version, wait_s):
        gevent.sleep(wait_s)
        return super().since(version, wait_s)


def test_an_answer_that_waited_confirms_up_to_its_end(monkeypatch):
    """Symptom: daemons that are up to date call themselves stale.

    Cause: what a call confirms was counted from its beginning, and the call waits for
    changes for longer than it takes to be called stale.
    """
    monkeypatch.setattr(_following, "MAX_WAIT_S", 0.05)
    feed = WaitingFeed(batch(5), batch(5), batch(6, put("a", 6)))
    follower = Follower("rows", feed, lambda rows: None, random.Random(1))
    play(follower, 2)
    assert follower.confirmed_at >= follower._asked_at + feed.waits[0]
    follower.one_call()
    assert follower.confirmed_at == follower._asked_at


def test_one_that_is_off_duty_goes_on_from_what_it_was_told_meanwhile(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), batch(9, put("c", 9)))
    follower.one_call()
    follower._rest()
    follower.table.apply_update(TableUpdate(False, (put("b", 7),), 7))
    follower.one_call()
    assert feed.asked == ["all", 7]
    assert seen[-1] == {"a": 3, "b": 7, "c": 9}


def test_an_outage_that_began_before_others_watched_is_remembered(follow):
    """Symptom: targets vanish for two seconds after an outage.

    Events: a daemon finds the store away and leaves the watching to others; it is its
    turn again when the store is back, and rows have lapsed. Cause: it had forgotten.
    """
    follower, _, seen = follow(batch(5, put("a", 3)), DOWN, batch(7, removed("a", 7)))
    play(follower, 2)
    follower._rest()
    follower.one_call()
    assert seen == [{"a": 3}]
    assert follower.table.grace_left > 0
