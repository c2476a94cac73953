"""Calls to the store, and the registry in it."""

import attrs
import gevent
import pytest

from cairnferry.entry.adapter import (
    EntryRow,
    FeedUnavailable,
    HistoryLost,
    KeyExists,
)
from hosting._registry import ROW_CHANGED, TABLE, StoreRegistry
from hosting._store import Conflict, RowRef, Store, TableFeed

ROW = RowRef("t", "k")


def entry(name):
    return EntryRow(name, "hall", f"10.0.0.1:{len(name)}", "10.0.0.1:80")


def test_a_table_is_listed_page_by_page(store, client):
    for index in range(8):
        store.put("t", f"k{index}", {"n": index})
    batch = client.rows("t").ok
    assert [item.key for item in batch.items] == [f"k{index}" for index in range(8)]
    assert batch.version == 8
    assert store.calls["/api/rows-get"] == 3


def test_an_empty_table_is_an_empty_batch(client):
    assert client.rows("t").ok.items == ()


def test_changes_are_waited_for(store, client):
    feed = TableFeed(client, "t")
    waiting = gevent.spawn(feed.since, 0, 30.0)
    while not store.calls["/api/rows-feed"]:
        gevent.sleep(0)
    store.put("t", "a", b"x")
    batch = waiting.get().ok
    assert [(item.key, item.value, item.version) for item in batch.items] == [
        ("a", b"x", 1)
    ]
    store.drop("t", "a")
    (item,) = feed.since(1, 30.0).ok.items
    assert (item.key, item.value) == ("a", None)


def test_changes_that_are_no_longer_kept_are_a_type_of_their_own(store, client):
    store.put("t", "a", b"x")
    store.put("t", "a", b"y")
    store.forget_history()
    assert client.changes("t", 1, 30.0).error == HistoryLost()


@pytest.mark.parametrize("fault", [429, 503, "cut", "lost", "words"])
def test_a_call_without_a_good_answer_says_why(store, client, fault):
    store.faults["/api/rows-get"] = [fault]
    error = client.rows("t").error
    assert isinstance(error, FeedUnavailable)
    assert error.reason
    assert client.rows("t").is_ok()


def test_a_write_happens_once_even_if_its_answer_is_lost(store, client):
    """Symptom: a row is written twice. Cause: a library sends the call again."""
    store.faults["/api/rows-tx"] = ["lost"]
    assert client.write({ROW: b"1"}, {}).is_error()
    assert store.calls["/api/rows-tx"] == 1
    assert store.rows["t"]["k"].value == b"1"


def test_a_condition_that_does_not_hold_gives_the_rows_as_they_are(store, client):
    assert client.write({ROW: b"1"}, {ROW: 0}).is_ok()
    conflict = client.write({ROW: b"2"}, {ROW: 0}).error
    assert isinstance(conflict, Conflict)
    assert conflict.items[0].value == b"1"


# -- registry -----------------------------------------------------------------------


def test_the_first_key_stays_and_every_instance_reads_it(store, client):
    registry = StoreRegistry(client)
    assert registry.write_first(entry("a"), b"first").is_ok()
    assert registry.write_first(entry("bb"), b"second").error == KeyExists()
    assert registry.write(entry("bb")).is_ok()
    enrolled = registry.read().ok
    assert enrolled.key == b"first"
    assert set(enrolled.entries) == {entry("a"), entry("bb")}


def test_an_instance_that_comes_back_has_one_row(store, client):
    registry = StoreRegistry(client)
    registry.write_first(entry("a"), b"key")
    registry.write(entry("a"))
    assert registry.read().ok.entries == (entry("a"),)


def test_a_write_whose_answer_is_lost_counts_as_a_fault(store, client):
    store.faults["/api/rows-tx"] = ["lost"]
    registry = StoreRegistry(client)
    error = registry.write_first(entry("a"), b"key").error
    assert isinstance(error, FeedUnavailable)
    assert store.rows[TABLE][" key"].value == b"key"


def test_a_table_without_a_key_is_a_fault(store, client):
    registry = StoreRegistry(client)
    registry.write(entry("a"))
    assert isinstance(registry.read().error, FeedUnavailable)


def test_a_row_of_another_release_is_passed_over(store, client):
    store.put(TABLE, "odd", {"name": "odd", "new": 1})
    store.put(TABLE, "worse", b"\xff")
    registry = StoreRegistry(client)
    registry.write_first(entry("a"), b"key")
    assert registry.read().ok.entries == (entry("a"),)


def test_rows_of_instances_that_are_gone_are_removed_and_the_key_stays(store, client):
    registry = StoreRegistry(client)
    registry.write_first(entry("a"), b"key")
    registry.write(entry("bb"))
    assert registry.remove({"bb", "never-there"}).is_ok()
    enrolled = registry.read().ok
    assert (enrolled.key, enrolled.entries) == (b"key", (entry("a"),))
    calls = store.calls["/api/rows-tx"]
    assert registry.remove({"bb"}).is_ok()
    assert store.calls["/api/rows-tx"] == calls


def test_a_row_that_is_written_anew_is_not_removed(store, client, monkeypatch):
    """Symptom: an instance that came back is missing in the registry.

    Events: it leaves; the removal of its row is done seconds later, after it has
    started again and written its row. Cause: a removal without condition.
    """
    registry = StoreRegistry(client)
    registry.write(entry("a"))
    rows = client.rows

    def read_then_write(table):
        batch = rows(table)
        store.put(table, "a", attrs.asdict(entry("a")))
        return batch

    monkeypatch.setattr(Store, "rows", lambda self, table: read_then_write(table))
    assert registry.remove({"a"}).error == ROW_CHANGED
    assert store.rows[TABLE]["a"].value is not None
