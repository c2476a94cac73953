"""A store that comes back from a copy of itself some seconds old.

What was written since the copy is gone, and its versions are given out again. A daemon
that waits for changes after version 500 of what was lost hears of nothing that is
written up to 500 in the new era, and is told of no loss if the store has gone past 500
by then: it serves by old rules and old targets, and takes itself for up to date.
"""

import time

import pytest

from cairnferry.coordination import era_of, version_of
from cairnferry.entry._ports import FeedUnavailable, HistoryLost
from cairnferry.policy import ALL_CALLERS, Block, BlockRef
from cairnferry.standins import wait_for
from hosting._registry import KEY_ROW, TABLE
from hosting._store import Conflict, RowRef, Store

from ._standins import configuration, rule, target_row

OTHER_RULE = [rule(name="r-2", prefix="/b/")]


def write_past(store, version):
    """Let others write until the store has given out a version once more."""
    while store.ver <= version:
        store.put("another", "key", {"number": store.ver})


def names(daemon):
    return {target.name for target in daemon.core.services.targets()}


@pytest.fixture
def started(store, start_target, daemon, knows):
    """Give a daemon with a target that has been there before any copy."""
    target = start_target("i-1")
    knows(daemon, "i-1")
    return daemon, target


def test_changes_are_heard_although_the_store_has_written_past_what_was_known(
    started, store, start_target
):
    """No call gets 410: the version that the daemon waits from is there again."""
    daemon, _ = started
    copy = store.copy()
    for number in range(20):
        store.put("servers", "i-1", target_row(number + 1, sequence=number))
    known = store.ver
    wait_for(lambda: daemon.core.services.targets()[0].port == 20)
    store.come_back(copy)
    start_target("i-2")
    write_past(store, known)
    wait_for(lambda: "i-2" in names(daemon))
    assert store.calls["/api/rows-get"] > 0


def test_rules_in_force_never_go_back(started, store):
    daemon, _ = started
    copy = store.copy()
    store.put("op", "config", configuration(version=8, rules=OTHER_RULE))
    wait_for(lambda: daemon.core.services.revision == 8)
    store.come_back(copy)
    wait_for(lambda: daemon.core.metrics.store_era == 1)
    write_past(store, store.ver + 5)
    assert daemon.core.services.revision == 8
    assert daemon.call("/b/x").status == 200
    # The operator writes its newest again, and then a further one.
    store.put("op", "config", configuration(version=8, rules=OTHER_RULE))
    store.put("op", "config", configuration(version=9))
    wait_for(lambda: daemon.core.services.revision == 9)


def test_targets_that_the_copy_lacks_are_used_until_they_are_back_or_gone(
    started, store, start_target, knows
):
    daemon, _ = started
    copy = store.copy()
    returns = start_target("i-2")
    start_target("i-3")
    knows(daemon, "i-1", "i-2", "i-3")
    store.come_back(copy)
    wait_for(lambda: daemon.core.metrics.store_era == 1)
    assert names(daemon) == {"i-1", "i-2", "i-3"}
    store.put("servers", "i-2", target_row(returns.port))
    knows(daemon, "i-1", "i-2")


def test_what_was_removed_or_leaving_does_not_come_back_into_use(
    started, store, start_target, knows
):
    """Symptom: requests reach targets that left before the drill."""
    daemon, _ = started
    start_target("i-2")
    leaving = start_target("i-3")
    knows(daemon, "i-1", "i-2", "i-3")
    copy = store.copy()
    store.drop("servers", "i-2")
    store.put("servers", "i-3", target_row(leaving.port, state="draining"))

    def is_draining():
        (found,) = [t for t in daemon.core.services.targets() if t.name == "i-3"]
        return found.lifecycle.name == "DRAINING"

    knows(daemon, "i-1", "i-3")
    wait_for(is_draining)
    store.come_back(copy)
    wait_for(lambda: era_of(daemon.core.cluster.tables["targets"].copy.version) == 1)
    assert names(daemon) == {"i-1", "i-3"}
    assert is_draining()
    # Who left writes that again.
    store.drop("servers", "i-2")
    store.put("servers", "i-3", target_row(leaving.port, state="draining", sequence=9))
    write_past(store, store.ver + 3)
    wait_for(lambda: not daemon.core.cluster.tables["targets"].grace_left)
    assert names(daemon) == {"i-1", "i-3"}
    assert is_draining()


def test_a_daemon_hears_of_the_era_from_another_one(store, start_daemon, start_target):
    """One that is refused by the store follows the others into the new era."""
    store.put("op", "config", configuration())
    first = start_daemon("front-1")
    second = start_daemon("front-2", seeds=[first.cfg.handover])
    target = start_target("i-1")
    for daemon in (first, second):
        wait_for(lambda each=daemon: names(each) == {"i-1"})
    copy = store.copy()
    store.put("servers", "i-1", target_row(target.port, sequence=5))
    store.come_back(copy)
    start_target("i-2")
    for daemon in (first, second):
        wait_for(lambda each=daemon: "i-2" in names(each))
        wait_for(
            lambda each=daemon: (
                era_of(each.core.cluster.tables["targets"].copy.version) == 1
            )
        )


def test_the_daemons_key_and_rows_are_written_again(store, start_daemon, monkeypatch):
    """Symptom: daemons that start after the drill make a key of their own."""
    monkeypatch.setattr("cairnferry.entry.members._enrolment.MAINTENANCE_S", 0.2)
    monkeypatch.setattr("cairnferry.entry.members._enrolment.ROW_MISSING_S", 0.5)
    store.put("op", "config", configuration())
    copy = store.copy()
    daemon = start_daemon("front-1")
    wait_for(lambda: "front-1" in store.rows[TABLE])
    key = store.rows[TABLE][KEY_ROW.key].value
    wait_for(lambda: daemon.core.cluster.listed)
    store.come_back(copy)
    wait_for(lambda: "front-1" in store.rows[TABLE])
    wait_for(lambda: KEY_ROW.key in store.rows[TABLE])
    assert store.rows[TABLE][KEY_ROW.key].value == key


def test_a_block_that_the_store_lost_holds_and_is_written_again(
    store, start_daemon, monkeypatch
):
    """Symptom: a request that ends targets is let through again after the drill.

    Its row is gone as if an operator had removed it.
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
    store.come_back(copy)
    assert not stored()
    wait_for(stored)
    assert len(guard.snapshot()) == 1


# -- single calls ---------------------------------------------------------------------


def test_a_version_is_a_condition_only_in_its_era(client, store):
    """Symptom: a row is removed that another daemon wrote under the same version."""
    ref = RowRef("mine", "row")
    written = client.write({ref: b"first"}, {ref: 0}).ok
    copy = store.copy()
    store.come_back(copy)
    client.rows("mine")
    assert client.era == 1
    removed = client.write({ref: None}, {ref: written})
    assert removed.error == Conflict(())
    (row,) = client.rows("mine").ok.items
    assert (era_of(row.version), version_of(row.version)) == (1, written)
    assert client.write({ref: None}, {ref: row.version}).is_ok()


def test_a_position_of_an_earlier_era_is_no_position(client, store):
    before = client.rows("servers").ok.version or 0
    store.put("servers", "i-1", {})
    batch = client.rows("servers").ok
    store.come_back(store.copy())
    assert client.changes("servers", batch.version, 0.0).error == HistoryLost()
    assert client.changes("servers", batch.version, 0.0).error == HistoryLost()
    assert before <= batch.version < client.rows("servers").ok.version


def test_an_answer_of_an_earlier_era_changes_nothing(client, store):
    store.put("servers", "i-1", {})
    store.come_back(store.copy())
    store.come_back(store.copy())
    assert client.rows("servers").is_ok()
    assert client.era == 2
    store.era = 1
    assert isinstance(client.rows("servers").error, FeedUnavailable)
    assert client.era == 2


@pytest.mark.parametrize("text", ["", "later", "-1", "1.5", "9" * 30])
def test_an_era_that_cannot_be_read_is_that_which_is_known(client, store, text):
    store.put("servers", "i-1", {})
    store.era = 3
    assert client.rows("servers").is_ok()
    store.era = text
    assert client.rows("servers").is_ok()
    assert client.era == 3


def test_pages_of_two_eras_make_no_listing(client, store, monkeypatch):
    for number in range(5):
        store.put("servers", f"i-{number}", {})
    calls = []
    get = Store._get

    def come_back_between(*args):
        page = get(*args)
        calls.append(args)
        if len(calls) == 1:
            store.come_back(store.copy())
        return page

    monkeypatch.setattr(Store, "_get", come_back_between)
    assert client.rows("servers").error == HistoryLost()
    assert len(client.rows("servers").ok.items) == 5
