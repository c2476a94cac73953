"""A store that is restored from a copy of itself that is some seconds old.

Writes since the copy are lost, and the store issues their versions again. A daemon that
waits for changes after version 500 then misses the writes up to version 500 of the new
era. If the store has passed 500 by then, it reports no lost history, so the daemon
continues to use old rules and targets as if they were current.
"""

import time

import pytest
from gevent.event import Event

from cairnferry.coordination import era_of, version_of
from cairnferry.entry._ports import FeedUnavailable, HistoryLost
from cairnferry.policy import ALL_CALLERS, Block, BlockRef
from cairnferry.standins import wait_for
from hosting._registry import KEY_ROW, TABLE, StoreRegistry
from hosting._store import Conflict, RowRef, Store, TableFeed

from ._standins import configuration, rule, target_row

OTHER_RULE = [rule(name="r-2", prefix="/b/")]


def advance_version(store, version):
    """Write rows until the store has issued a version again."""
    while store.ver <= version:
        store.put("another", "key", {"number": store.ver})


def target_names(daemon):
    return {target.name for target in daemon.core.services.targets()}


@pytest.fixture
def started(store, start_target, daemon, wait_for_targets):
    """Return a daemon and a target that is stored before any copy is made."""
    target = start_target("i-1")
    wait_for_targets(daemon, "i-1")
    return daemon, target


def test_changes_are_received_after_restored_store_passed_known_version(
    started, store, start_target
):
    """The version that the daemon waits from exists again, so no call gets 410."""
    daemon, _ = started
    copy = store.copy()
    for number in range(20):
        store.put("servers", "i-1", target_row(number + 1, sequence=number))
    known = store.ver
    wait_for(lambda: daemon.core.services.targets()[0].port == 20)
    store.restore(copy)
    start_target("i-2")
    advance_version(store, known)
    wait_for(lambda: "i-2" in target_names(daemon))
    assert store.calls["/api/rows-get"] > 0


def test_rules_in_force_are_never_replaced_by_older_ones(started, store):
    daemon, _ = started
    copy = store.copy()
    store.put("op", "config", configuration(version=8, rules=OTHER_RULE))
    wait_for(lambda: daemon.core.services.revision == 8)
    store.restore(copy)
    wait_for(lambda: daemon.core.metrics.store_era == 1)
    advance_version(store, store.ver + 5)
    assert daemon.core.services.revision == 8
    assert daemon.call("/b/x").status == 200
    # The operator writes the latest revision again, and then a newer one.
    store.put("op", "config", configuration(version=8, rules=OTHER_RULE))
    store.put("op", "config", configuration(version=9))
    wait_for(lambda: daemon.core.services.revision == 9)


def test_targets_missing_in_copy_are_used_until_grace_period_ends(
    started, store, start_target, wait_for_targets
):
    daemon, _ = started
    copy = store.copy()
    returning = start_target("i-2")
    start_target("i-3")
    wait_for_targets(daemon, "i-1", "i-2", "i-3")
    store.restore(copy)
    wait_for(lambda: daemon.core.metrics.store_era == 1)
    assert target_names(daemon) == {"i-1", "i-2", "i-3"}
    store.put("servers", "i-2", target_row(returning.port))
    wait_for_targets(daemon, "i-1", "i-2")


def test_removed_or_draining_target_is_not_used_again_after_restore(
    started, store, start_target, wait_for_targets
):
    """Guards against requests to targets that left before the store was restored."""
    daemon, _ = started
    start_target("i-2")
    leaving = start_target("i-3")
    wait_for_targets(daemon, "i-1", "i-2", "i-3")
    copy = store.copy()
    store.drop("servers", "i-2")
    store.put("servers", "i-3", target_row(leaving.port, state="draining"))

    def is_draining():
        (found,) = [t for t in daemon.core.services.targets() if t.name == "i-3"]
        return found.lifecycle.name == "DRAINING"

    wait_for_targets(daemon, "i-1", "i-3")
    wait_for(is_draining)
    store.restore(copy)
    wait_for(lambda: era_of(daemon.core.cluster.tables["targets"].copy.version) == 1)
    assert target_names(daemon) == {"i-1", "i-3"}
    assert is_draining()
    # The leaving targets write their state again.
    store.drop("servers", "i-2")
    store.put("servers", "i-3", target_row(leaving.port, state="draining", sequence=9))
    advance_version(store, store.ver + 3)
    wait_for(lambda: not daemon.core.cluster.tables["targets"].grace_left)
    assert target_names(daemon) == {"i-1", "i-3"}
    assert is_draining()


def test_daemons_follow_store_into_new_era(store, start_daemon, start_target):
    """A daemon observes the new era at the store or at another daemon."""
    store.put("op", "config", configuration())
    first = start_daemon("front-1")
    second = start_daemon("front-2", seeds=[first.cfg.handover])
    target = start_target("i-1")
    for daemon in (first, second):
        wait_for(lambda each=daemon: target_names(each) == {"i-1"})
    copy = store.copy()
    store.put("servers", "i-1", target_row(target.port, sequence=5))
    store.restore(copy)
    start_target("i-2")
    for daemon in (first, second):
        wait_for(lambda each=daemon: "i-2" in target_names(each))
        wait_for(
            lambda each=daemon: (
                era_of(each.core.cluster.tables["targets"].copy.version) == 1
            )
        )


def test_lost_key_and_instance_rows_are_written_again(store, start_daemon, monkeypatch):
    """Guards against daemons that create another key at a start after a restore."""
    monkeypatch.setattr("cairnferry.entry.members._enrolment.MAINTENANCE_S", 0.2)
    monkeypatch.setattr("cairnferry.entry.members._enrolment.ROW_MISSING_S", 0.5)
    store.put("op", "config", configuration())
    copy = store.copy()
    daemon = start_daemon("front-1")
    wait_for(lambda: "front-1" in store.rows[TABLE])
    key = store.rows[TABLE][KEY_ROW.key].value
    wait_for(lambda: daemon.core.cluster.listed)
    store.restore(copy)
    wait_for(lambda: "front-1" in store.rows[TABLE])
    wait_for(lambda: KEY_ROW.key in store.rows[TABLE])
    assert store.rows[TABLE][KEY_ROW.key].value == key


def test_lost_rows_are_written_again_if_the_followed_table_never_held_them(
    store, start_daemon, monkeypatch
):
    """Guards against a row that only its writer has read, and that is never restored.

    The table is listed before the daemon writes its row, and the store is restored
    before the next call for changes.
    """
    monkeypatch.setattr("cairnferry.entry.members._enrolment.MAINTENANCE_S", 0.2)
    monkeypatch.setattr("cairnferry.entry.members._enrolment.ROW_MISSING_S", 0.5)
    monkeypatch.setattr("hosting.command.INSTANCES_COALESCE_S", 3.0)
    listed = Event()
    list_all, write_first = TableFeed.list_all, StoreRegistry.write_first

    def list_and_report(feed):
        listing = list_all(feed)
        if feed.table == TABLE:
            listed.set()
        return listing

    def write_after_listing(registry, *row_and_key):
        listed.wait()
        return write_first(registry, *row_and_key)

    monkeypatch.setattr(TableFeed, "list_all", list_and_report)
    monkeypatch.setattr(StoreRegistry, "write_first", write_after_listing)
    store.put("op", "config", configuration())
    copy = store.copy()
    daemon = start_daemon("front-1")
    wait_for(lambda: daemon.core.cluster.listed)
    store.restore(copy)
    assert "front-1" not in store.rows[TABLE]
    wait_for(lambda: "front-1" in store.rows[TABLE])
    wait_for(lambda: KEY_ROW.key in store.rows[TABLE])


def test_block_lost_by_store_stays_in_effect_and_is_written_again(
    store, start_daemon, monkeypatch
):
    """Guards against a request that crashes targets and is admitted after a restore.

    The restored store lacks the row of the block, as if an operator had removed it.
    """
    monkeypatch.setattr("cairnferry.entry.callers._guard.ROW_SYNC_S", 0.2)
    store.put("op", "config", configuration())
    daemon = start_daemon("front-1")
    wait_for(lambda: daemon.core.cluster.listed)
    copy = store.copy()
    now = time.monotonic()
    ref, block = BlockRef("c0ffee", ALL_CALLERS), Block(now, now - 1.0)
    guard = daemon.core.guard
    guard.quarantine.apply_block(ref.content, ref.scope, block)

    def stored():
        rows = store.rows[TABLE].items()
        return [key for key, row in rows if "c0ffee" in key and row.value is not None]

    wait_for(stored)
    wait_for(lambda: not guard.table.lacks(ref))
    store.restore(copy)
    assert not stored()
    wait_for(stored)
    assert len(guard.snapshot()) == 1


# -- single calls ---------------------------------------------------------------------


def test_version_of_earlier_era_is_a_conflict(client, store):
    """Guards against removing a row that another daemon wrote with the same version."""
    ref = RowRef("mine", "row")
    written = client.write({ref: b"first"}, {ref: 0}).ok
    copy = store.copy()
    store.restore(copy)
    client.rows("mine")
    assert client.era == 1
    removed = client.write({ref: None}, {ref: written})
    assert removed.error == Conflict(())
    (row,) = client.rows("mine").ok.items
    assert (era_of(row.version), version_of(row.version)) == (1, written)
    assert client.write({ref: None}, {ref: row.version}).is_ok()


def test_changes_after_version_of_earlier_era_are_history_lost(client, store):
    before = client.rows("servers").ok.version or 0
    store.put("servers", "i-1", {})
    batch = client.rows("servers").ok
    store.restore(store.copy())
    assert client.changes("servers", batch.version, 0.0).error == HistoryLost()
    assert client.changes("servers", batch.version, 0.0).error == HistoryLost()
    assert before <= batch.version < client.rows("servers").ok.version


def test_answer_of_earlier_era_is_rejected(client, store):
    store.put("servers", "i-1", {})
    store.restore(store.copy())
    store.restore(store.copy())
    assert client.rows("servers").is_ok()
    assert client.era == 2
    store.era = 1
    assert isinstance(client.rows("servers").error, FeedUnavailable)
    assert client.era == 2


@pytest.mark.parametrize("text", ["", "later", "-1", "1.5", "9" * 30])
def test_malformed_era_leaves_known_era(client, store, text):
    store.put("servers", "i-1", {})
    store.era = 3
    assert client.rows("servers").is_ok()
    store.era = text
    assert client.rows("servers").is_ok()
    assert client.era == 3


def test_listing_with_pages_of_two_eras_is_rejected(client, store, monkeypatch):
    for number in range(5):
        store.put("servers", f"i-{number}", {})
    calls = []
    get = Store._get

    def restore_between_pages(*args):
        page = get(*args)
        calls.append(args)
        if len(calls) == 1:
            store.restore(store.copy())
        return page

    monkeypatch.setattr(Store, "_get", restore_between_pages)
    assert client.rows("servers").error == HistoryLost()
    assert len(client.rows("servers").ok.items) == 5
