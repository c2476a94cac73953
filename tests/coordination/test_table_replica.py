"""Tests of table replicas: they never revert and converge in any order of updates."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.coordination import (
    Batch,
    Row,
    TableReplica,
    TableUpdate,
    _table_replica,
)

KEYS = "abc"


def put(key, version):
    return Row(key, b"%d" % version, version)


def removed(key, version):
    return Row(key, None, version)


class Store:
    """Table with a history, like the one in the platform's store."""

    def __init__(self):
        self.version = 0
        self.history = []

    def change(self, key, is_removal):
        self.version += 1
        make = removed if is_removal else put
        self.history.append(make(key, self.version))

    def at(self, version):
        rows = {}
        for row in self.history:
            if row.version <= version:
                rows.pop(row.key, None)
                if row.value is not None:
                    rows[row.key] = row
        return rows

    def listing(self):
        return Batch(tuple(self.at(self.version).values()), self.version)

    def since(self, version):
        latest = {row.key: row for row in self.history if row.version > version}
        rows = sorted(latest.values(), key=lambda row: row.version)
        return Batch(tuple(rows), self.version)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), st.sampled_from(KEYS), st.booleans()),
        st.tuples(st.just("list"), st.integers(0, 2)),
        st.tuples(st.just("watch"), st.integers(0, 2)),
        st.tuples(st.just("ask"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("answer")),
    ),
    max_size=40,
)


def apply_step(store, replicas, step, in_transit):
    match step:
        case "change", key, is_removal:
            store.change(key, is_removal)
        case "list", index:
            replicas[index].apply_listing(store.listing())
        case "watch", index:
            replicas[index].apply_changes(store.since(replicas[index].version))
        case "ask", index, other:
            # The response may arrive late, after others.
            in_transit.append(
                (replicas[index], replicas[other].news_since(replicas[index].version))
            )
        case ("answer",) if in_transit:
            replica, update = in_transit.pop()
            replica.apply_update(update)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_replica_equals_the_table_at_its_version_and_never_reverts(steps):
    store, replicas, in_transit = Store(), [TableReplica() for _ in range(3)], []
    for step in steps:
        before = [replica.version for replica in replicas]
        apply_step(store, replicas, step, in_transit)
        for replica, version in zip(replicas, before, strict=True):
            assert replica.version >= version
            assert replica.rows == store.at(replica.version)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(STEPS)
def test_newest_replica_updates_all_others(steps):
    store, replicas, in_transit = Store(), [TableReplica() for _ in range(3)], []
    for step in steps:
        apply_step(store, replicas, step, in_transit)
    newest = max(replicas, key=lambda replica: replica.version)
    for replica in replicas:
        replica.apply_update(newest.news_since(replica.version))
        assert (replica.version, replica.rows) == (newest.version, newest.rows)


def test_update_holds_only_the_changes():
    first, second = TableReplica(), TableReplica()
    first.apply_listing(Batch(tuple(put(key, 1) for key in KEYS), 5))
    second.apply_update(first.news_since(0))
    first.apply_changes(Batch((put("a", 7), removed("b", 8)), 9))
    assert first.news_since(second.version) == TableUpdate(
        False, (put("a", 7), removed("b", 8)), 8
    )


def test_unchanged_table_keeps_its_version_when_the_store_advances():
    """Guards against daemons that keep requesting updates without rows.

    The version of the store counts the changes of all tables.
    """
    replica = TableReplica()
    replica.apply_listing(Batch((put("a", 3),), 5))
    assert not replica.apply_changes(Batch((), 900))
    assert replica.version == 5


def test_replica_that_lacks_dropped_removals_receives_all_rows(monkeypatch):
    """Guards against a daemon that keeps using a removed target for ever.

    Very many rows are removed while the daemon is partitioned. The other daemons have
    dropped some of these removals and would send only the rest.
    """
    monkeypatch.setattr(_table_replica, "MAX_REMOVALS", 2)
    replica, partitioned = TableReplica(), TableReplica()
    replica.apply_listing(Batch(tuple(put(key, 1) for key in KEYS), 5))
    partitioned.apply_update(replica.news_since(0))
    replica.apply_changes(
        Batch(tuple(removed(k, 6 + i) for i, k in enumerate(KEYS)), 9)
    )
    assert replica.news_since(partitioned.version).whole
    partitioned.apply_update(replica.news_since(partitioned.version))
    assert partitioned.rows == {}


def test_slow_listing_does_not_replace_a_newer_update_from_a_peer():
    replica = TableReplica()
    replica.apply_update(TableUpdate(True, (put("a", 9),), 9))
    assert not replica.apply_listing(Batch((put("a", 3),), 8))
    assert replica.rows == {"a": put("a", 9)}
