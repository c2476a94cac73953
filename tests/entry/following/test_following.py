"""Following a table: states of the feed, and rows that are removed in an outage."""

import math
import random
import time

import gevent
import pytest
from expression import Error, Ok
from gevent.event import Event
from gevent.queue import Queue

from cairnferry.coordination import (
    Batch,
    Hold,
    Row,
    TableUpdate,
    VersionSpan,
    _continuity,
    stamp,
)
from cairnferry.entry._ports import FeedUnavailable, HistoryLost
from cairnferry.entry.following import _following, _table, _table_watch
from cairnferry.entry.following._following import Follower
from cairnferry.entry.following._table_watch import TableWatch


class ScriptedFeed:
    """Returns prepared results and records the calls."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []
        self.waits = []

    def list_all(self):
        self.calls.append("all")
        return self.results.pop(0)

    def wait_for_changes(self, version, wait_s):
        self.calls.append(version)
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

        def record(rows):
            seen.append({key: item.version for key, item in rows.items()})

        follower = Follower("rows", feed, record, random.Random(1))
        return follower, feed, seen

    return start


def poll(follower, calls):
    return [follower.poll_once() for _ in range(calls)]


def test_a_follower_lists_once_and_then_waits_for_changes(follow):
    follower, feed, seen = follow(
        batch(5, put("a", 3)), batch(7, put("b", 7)), batch(9, removed("a", 9))
    )
    poll(follower, 3)
    assert feed.calls == ["all", 5, 7]
    assert seen == [{"a": 3}, {"a": 3, "b": 7}, {"b": 7}]


def test_an_answer_without_changes_has_no_effect(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), batch(6), batch(6))
    poll(follower, 3)
    assert feed.calls == ["all", 5, 6]
    assert len(seen) == 1


def test_a_late_answer_does_not_restore_an_older_row(follow):
    follower, _, seen = follow(batch(5, put("a", 5)), batch(6, put("a", 4)))
    poll(follower, 2)
    assert seen == [{"a": 5}]


def test_rows_are_listed_again_at_once_after_lost_history(follow):
    """Guards against a target that keeps getting requests after it has left.

    Its removal is in the part of the history that the store no longer has.
    """
    follower, feed, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        Error(HistoryLost()),
        batch(50, put("b", 4)),
    )
    pauses = poll(follower, 3)
    assert feed.calls == ["all", 5, "all"]
    assert pauses[1] == 0
    assert seen[-1] == {"b": 4}


def test_failures_are_retried_with_backoff_and_rows_are_kept(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), *[DOWN] * 8, batch(5))
    pauses = poll(follower, 10)
    assert feed.calls == ["all", *[5] * 9]
    assert seen == [{"a": 3}]
    assert max(pauses) <= _following.MAX_RETRY_S
    assert pauses[6] > pauses[1]


def test_a_feed_that_is_down_from_the_start_is_listed_when_it_is_up(follow):
    follower, feed, seen = follow(DOWN, DOWN, batch(5, put("a", 3)))
    poll(follower, 3)
    assert feed.calls == ["all"] * 3
    assert seen == [{"a": 3}]


def test_rows_that_lapsed_in_an_outage_are_retained(follow, monkeypatch):
    """Guards against two seconds without targets after an outage of the store.

    Targets cannot renew their rows during the outage. The rows lapse and are written
    again within two seconds of its end, but the removals were applied at once.
    """
    monkeypatch.setattr(_table, "RETURN_GRACE_S", 0.05)
    follower, _, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        DOWN,
        batch(8, removed("a", 7), removed("b", 8)),
        batch(9, put("a", 9)),
    )
    poll(follower, 4)
    assert seen[-1] == {"a": 9, "b": 4}
    while len(seen[-1]) > 1:
        gevent.sleep(0.01)
    assert seen[-1] == {"a": 9}


def test_a_listing_after_an_outage_retains_missing_rows(follow, monkeypatch):
    monkeypatch.setattr(_table, "RETURN_GRACE_S", 0.05)
    follower, _, seen = follow(
        batch(5, put("a", 3), put("b", 4)),
        DOWN,
        Error(HistoryLost()),
        batch(90, put("b", 4)),
    )
    poll(follower, 4)
    assert seen == [{"a": 3, "b": 4}]
    while "a" in seen[-1]:
        gevent.sleep(0.01)
    assert seen[-1] == {"b": 4}


def test_without_an_outage_a_removal_takes_effect_at_once(follow):
    follower, _, seen = follow(batch(5, put("a", 3)), batch(6, removed("a", 6)))
    poll(follower, 2)
    assert seen[-1] == {}


def test_calls_do_not_wait_while_the_store_may_be_unreachable(follow):
    """Guards against old rules that are in force ten seconds after an outage.

    The store is silent for five seconds. A call made meanwhile waits eight seconds for
    changes, and its timeout on top, although the previous call has failed. It never
    gets an answer.
    """
    follower, feed, _ = follow(batch(5), batch(6), DOWN, DOWN, batch(6), batch(6))
    poll(follower, 6)
    assert [wait > 0 for wait in feed.waits] == [True, True, False, False, True]


def test_waits_differ_to_desynchronise_instances(follow):
    follower, feed, _ = follow(batch(5), *[batch(5)] * 10)
    poll(follower, 11)
    assert len(set(feed.waits)) == 10
    longest = _following.MAX_WAIT_S
    shortest = _following.MIN_WAIT_SHARE * longest
    assert all(shortest <= wait <= longest for wait in feed.waits)


def test_settled_removals_begin_anew_after_an_interruption_of_another_feed(follow):
    """Guards against lapsed rows that are settled by a call that waited meanwhile."""
    follower, _, _ = follow(
        batch(5, put("a", 3)), batch(6), batch(9, removed("a", 8)), batch(12)
    )
    poll(follower, 1)
    established(follower)
    poll(follower, 1)
    assert follower.table.settled == VersionSpan(5, 6)
    follower.continuity.note_failure(time.monotonic())
    established(follower)
    poll(follower, 2)
    assert 8 not in follower.table.settled
    assert 12 in follower.table.settled


def test_removal_during_a_doubt_is_settled_once_the_store_has_answered(follow):
    """Guards against a removal that no daemon settles as another one is cut off."""
    follower, _, seen = follow(
        batch(5, put("a", 3)), batch(6), batch(8, removed("a", 8)), batch(9)
    )
    poll(follower, 1)
    established(follower)
    follower.table.extend(Hold(until=time.monotonic() + 60.0))
    poll(follower, 1)
    follower.continuity.doubt(math.inf)
    poll(follower, 1)
    assert seen[-1] == {"a": 3}
    follower.continuity.doubt(time.monotonic())
    poll(follower, 1)
    assert seen[-1] == {}


def test_restored_state_ends_although_its_timer_is_early(follow):
    """Guards against rows of before a restore that stay in force forever."""
    follower, _, seen = follow(
        batch(5, put("a", 3)), batch(stamp(1, 2), put("a", stamp(1, 2), b"older"))
    )
    timers = []
    follower.table.call_later = lambda delay, function: timers.append(function)
    poll(follower, 2)
    assert seen == [{"a": 3}]
    timers.pop()()
    assert len(timers) == 1
    follower.table._reverted_until = 0.0
    timers.pop()()
    assert seen[-1] == {"a": stamp(1, 2)}


class HangingFeed(ScriptedFeed):
    """Does not answer where the prepared result is None."""

    def wait_for_changes(self, version, wait_s):
        result = super().wait_for_changes(version, wait_s)
        if result is None:
            gevent.sleep(1000)
        return result


def test_a_follower_that_detects_the_end_of_an_outage_restarts_others(follow):
    """Guards against outdated targets after an outage, while rules are up to date.

    The call for targets waits for an answer that was lost in the outage.
    """
    rules, _, _ = follow(batch(5), DOWN, batch(5))
    hanging = HangingFeed(batch(5, put("a", 3)), None, batch(7, removed("a", 7)))
    targets = Follower("targets", hanging, lambda rows: None, random.Random(1))
    rules.partners.append(targets)
    poll(rules, 2)
    task = gevent.spawn(targets.run)
    while len(hanging.calls) < 2:
        gevent.sleep(0.01)
    rules.poll_once()
    while len(hanging.calls) < 3:
        gevent.sleep(0.01)
    task.kill()
    assert hanging.waits[1] == 0.0


def test_rows_of_all_tables_are_retained_once_one_feed_is_back(follow):
    """Guards against a daemon without targets for two seconds after an outage.

    Its call for targets was aborted in the outage and did not fail; that for rules did.
    """
    rules, _, _ = follow(batch(5), DOWN, batch(5))
    targets, _, seen = follow(batch(5, put("a", 3)), batch(7, removed("a", 7)))
    rules.partners.append(targets)
    poll(targets, 1)
    poll(rules, 3)
    targets.poll_once()
    assert seen == [{"a": 3}]
    assert targets.table.grace_left > 0


def test_rows_are_retained_if_another_feed_of_the_daemon_has_failed(follow):
    """Guards against a daemon that drops lapsed rows as it waited through an outage.

    Its call for targets is answered as the outage ends, before that for rules.
    """
    rules, _, _ = follow(batch(5), DOWN)
    targets, _, seen = follow(batch(5, put("a", 3)), batch(7, removed("a", 7)))
    targets.continuity = rules.continuity
    poll(targets, 1)
    poll(rules, 2)
    poll(targets, 1)
    assert seen == [{"a": 3}]


@pytest.mark.parametrize("is_doubted", [True, False])
def test_a_new_watcher_retains_rows_if_others_saw_an_outage(follow, is_doubted):
    """Guards against a daemon that starts to watch as an outage ends, and drops rows.

    Those that watched before it have failed and left watching to it.
    """
    follower, _, seen = follow(batch(5, put("a", 3)), batch(7, removed("a", 7)))
    follower.is_doubted = lambda: is_doubted
    poll(follower, 1)
    follower._stand_by()
    poll(follower, 1)
    assert seen[-1] == ({"a": 3} if is_doubted else {})


def established(follower):
    """Let the calls of a follower count as uninterrupted for long enough."""
    since = time.monotonic() - _continuity.ESTABLISHED_S
    follower.continuity.note_success(since, since)


def test_a_removal_by_an_uninterrupted_feed_is_not_retained(follow):
    """Guards against requests to removed targets due to another daemon's connection."""
    follower, _, seen = follow(
        batch(5, put("a", 3), put("b", 4)), batch(6, removed("a", 6))
    )
    poll(follower, 1)
    established(follower)
    follower.table.extend(Hold(until=time.monotonic() + 60.0))
    poll(follower, 1)
    assert seen[-1] == {"b": 4}
    assert follower.table.settled == VersionSpan(5, 6)


def test_a_removal_reported_by_a_peer_is_dropped_once_settled(follow):
    follower, _, seen = follow(batch(5, put("a", 3)))
    poll(follower, 1)
    follower.table.extend(Hold(until=time.monotonic() + 60.0))
    follower.table.apply_update(TableUpdate(False, (removed("a", 7),), 7))
    assert seen[-1] == {"a": 3}
    assert not follower.table.settle(VersionSpan(7, 9))
    assert follower.table.settle(VersionSpan(5, 9))
    assert seen[-1] == {}


@pytest.mark.parametrize("end", ["failure", "pause", "restore", "delay"])
def test_removals_are_not_settled_after_an_interruption(follow, monkeypatch, end):
    """Guards against rows that lapsed in an outage and are reported as settled."""
    later = stamp(1, 7) if end == "restore" else 7
    results = [DOWN] if end == "failure" else []
    follower, _, _ = follow(
        batch(5, put("a", 3)), *results, batch(later, removed("a", later))
    )
    poll(follower, 1)
    established(follower)
    if end == "pause":
        follower._stand_by()
    if end == "delay":
        monkeypatch.setattr(_following, "MAX_DELAY_S", -_following.MAX_WAIT_S)
    poll(follower, 1 + len(results))
    assert follower.table.copy.version == later
    assert not follower.table.settled


def test_a_daemon_verifies_that_the_store_answers_when_another_does_not_reach_it():
    """Guards against lapsed rows that a daemon drops as it waits through an outage."""
    feed = HangingFeed(batch(5, put("a", 3)), None, DOWN, batch(7, removed("a", 7)))
    seen = []
    follower = Follower("rows", feed, seen.append, random.Random(1))
    task = gevent.spawn(follower.run)
    while len(feed.calls) < 2:
        gevent.sleep(0.01)
    established(follower)
    follower.verify()
    while len(feed.calls) < 4:
        gevent.sleep(0.01)
    task.kill()
    assert feed.waits[1:] == [0.0, 0.0]
    assert set(seen[-1]) == {"a"}
    assert not follower.table.settled


class HeldFeed(ScriptedFeed):
    """Holds the answer to each call for changes until it is released."""

    def __init__(self, *results):
        super().__init__(*results)
        self.held = Queue()

    def wait_for_changes(self, version, wait_s):
        released = Event()
        self.held.put(released)
        released.wait()
        return super().wait_for_changes(version, wait_s)


ABORTS = {
    "answer, abort": ["answer", "abort"],
    "answer, two aborts": ["answer", "abort", "abort"],
    "answer between aborts": ["abort", "answer", "abort"],
    "abort, answer": ["abort", "answer"],
    "two aborts, answer": ["abort", "abort", "answer"],
    "verification, answer": ["verify", "answer"],
    "answer, verification": ["answer", "verify"],
    "all at once": ["verify", "answer", "abort", "verify"],
}


@pytest.mark.parametrize("steps", ABORTS.values(), ids=ABORTS)
def test_a_follower_goes_on_if_its_call_is_aborted_as_the_answer_comes(steps):
    """Guards against a daemon that follows a table no longer after an outage.

    The exception that aborted the call ended the task, as the call was over by then.
    """
    row = batch(6, put("a", 6))
    feed = HeldFeed(batch(5), *[row] * 3, batch(7, put("b", 7)), *[batch(7)] * 9)
    seen = []
    follower = Follower("rows", feed, seen.append, random.Random(1), coalesce_s=0.01)
    task = gevent.spawn(follower.run)
    released = feed.held.get(timeout=5)
    for step in steps:
        match step:
            case "answer":
                released.set()
            case "abort":
                follower.abort_calls_before(math.inf)
            case "verify":
                follower.verify()
    with gevent.Timeout(5):
        while not seen or set(seen[-1]) != {"a", "b"}:
            feed.held.get().set()
    assert not task.ready()
    task.kill()
    versions = [call for call in feed.calls if call != "all"]
    assert versions == sorted(versions)


@pytest.mark.parametrize("is_answered_first", [True, False])
def test_a_verification_is_a_call_of_its_own(is_answered_first):
    """Guards against a silent store that is noticed only after a full wait.

    The call before the doubt was answered in the same moment, and its answer counted.
    """
    feed = HeldFeed(batch(5), *[batch(5)] * 9)
    follower = Follower(
        "rows", feed, lambda rows: None, random.Random(1), coalesce_s=0.01
    )
    task = gevent.spawn(follower.run)
    released = feed.held.get(timeout=5)
    if is_answered_first:
        released.set()
    follower.verify()
    feed.held.get(timeout=5).set()
    feed.held.get(timeout=5)
    task.kill()
    assert feed.waits[-1] == 0.0


class WaitingFeed(ScriptedFeed):
    """Waits for the requested time before each answer."""

    def wait_for_changes(self, version, wait_s):
        gevent.sleep(wait_s)
        return super().wait_for_changes(version, wait_s)


def test_an_answer_after_a_full_wait_confirms_up_to_its_end(monkeypatch):
    """Guards against daemons that are up to date but consider themselves stale.

    The confirmation by a call counted from the start of the call, and the call waits
    for changes for longer than the time after which a daemon is stale.
    """
    monkeypatch.setattr(_following, "MAX_WAIT_S", 0.05)
    feed = WaitingFeed(batch(5), batch(5), batch(6, put("a", 6)))
    follower = Follower("rows", feed, lambda rows: None, random.Random(1))
    poll(follower, 2)
    assert follower.confirmed_at >= follower._called_at + feed.waits[0]
    follower.poll_once()
    assert follower.confirmed_at == follower._called_at


def test_a_follower_resumes_from_updates_sent_by_peers(follow):
    follower, feed, seen = follow(batch(5, put("a", 3)), batch(9, put("c", 9)))
    follower.poll_once()
    follower._stand_by()
    follower.table.apply_update(TableUpdate(False, (put("b", 7),), 7))
    follower.poll_once()
    assert feed.calls == ["all", 7]
    assert seen[-1] == {"a": 3, "b": 7, "c": 9}


def test_an_outage_is_remembered_while_others_watch(follow):
    """Guards against two seconds without targets after an outage.

    A daemon detects the outage and leaves watching to others. It watches again when
    the store is back and rows have lapsed, but did not remember the outage.
    """
    follower, _, seen = follow(batch(5, put("a", 3)), DOWN, batch(7, removed("a", 7)))
    poll(follower, 2)
    follower._stand_by()
    follower.poll_once()
    assert seen == [{"a": 3}]
    assert follower.table.grace_left > 0


@pytest.mark.parametrize("failures", [1, 3])
def test_rows_that_cannot_be_applied_are_applied_later(failures, caplog):
    """Guards against a change that is missing until the next one.

    An unexpected error ended its application, and the feed had moved past it.
    """
    seen, errors = [], [ValueError("x")] * failures

    def apply(rows):
        if errors:
            raise errors.pop()
        seen.append(set(rows))

    feed = ScriptedFeed(batch(5), batch(6, put("a", 6)), batch(6))
    follower = Follower("rows", feed, apply, random.Random(1))
    poll(follower, 3)
    assert not seen
    for _ in range(failures):
        follower.table.retry_unapplied()
    assert seen == [{"a"}]
    follower.table.retry_unapplied()
    assert len(seen) == 1
    lines = [line for line in caplog.records if line.exc_info]
    assert [line.feed for line in lines] == ["rows"] * failures


@pytest.fixture
def watched():
    """Return two followers of which one gets no answers, and their watch."""
    hanging = Follower("targets", HeldFeed(batch(5)), len, random.Random(1))
    other = Follower("rules", WaitingFeed(*[batch(5)] * 9), len, random.Random(1))
    tasks = [gevent.spawn(each.run) for each in (hanging, other)]
    hanging.feed.held.get(timeout=5)
    yield TableWatch([hanging, other]), hanging
    gevent.killall(tasks)


def messages(caplog):
    return [(line.message, line.feed) for line in caplog.records]


def test_a_table_that_is_followed_without_success_is_reported(watched, caplog):
    """Guards against a daemon that follows a table no longer, and nobody notices."""
    caplog.set_level("INFO")
    watch, hanging = watched
    now = time.monotonic()
    watch.check(now)
    assert set(watch.ages(now)) == {"targets", "rules"}
    hanging._watches_since = hanging.confirmed_at = now - _table_watch.OLD_TABLE_S
    for _ in range(2):
        watch.check(now)
    assert messages(caplog) == [("table is old", "targets")]
    hanging.confirmed_at = now
    watch.check(now)
    assert messages(caplog)[1:] == [("table is no longer old", "targets")]


def test_a_table_that_others_watch_has_no_age(watched):
    """Guards against a report on a table that this daemon does not follow itself."""
    watch, hanging = watched
    hanging._stand_by()
    assert set(watch.ages(time.monotonic())) == {"rules"}


def test_the_age_of_a_table_begins_when_this_daemon_watches(follow):
    """Guards against a report on a table that other daemons have watched for long."""
    follower, _, _ = follow(batch(5), *[batch(5)] * 9)
    follower._call_as_watcher()
    follower._stand_by()
    follower.confirmed_at -= 60.0
    follower.feed.results.insert(0, DOWN)
    follower._call_as_watcher()
    assert follower.age(time.monotonic()) < 5.0
