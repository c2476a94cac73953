"""Tests of version stamps and of replicas across restores of the store."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.coordination import (
    MAX_ERA,
    Batch,
    Row,
    TableReplica,
    era_of,
    stamp,
    version_of,
)


@pytest.mark.parametrize(("era", "version"), [(0, 7), (1, 1), (MAX_ERA, 2**40 - 1)])
def test_stamp_holds_era_and_version_and_fits_64_bits(era, version):
    stamped = stamp(era, version)
    assert (era_of(stamped), version_of(stamped)) == (era, version)
    assert stamped < 2**63


def test_stamps_of_a_later_era_are_later():
    assert stamp(1, 480) > stamp(0, 500)
    assert stamp(0, 500) > stamp(0, 480)
    assert stamp(4, 0) == 0


@attrs.define
class Store:
    """Store with versioned rows, an era and a backup."""

    rows: dict = attrs.field(factory=dict)
    version: int = 0
    era: int = 0
    backup: tuple = ((), 0)

    def write(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, value, self.version)

    def back_up(self):
        self.backup = (tuple(self.rows.items()), self.version)

    def restore(self):
        self.rows, self.version = dict(self.backup[0]), self.backup[1]
        self.era += 1

    def with_stamp(self, row):
        return attrs.evolve(row, version=stamp(self.era, row.version))

    def listing(self):
        rows = [self.with_stamp(r) for r in self.rows.values() if r.value is not None]
        return Batch(tuple(rows), stamp(self.era, self.version))

    def changes(self, position):
        """Return the changes since a stamp; None if it is of an earlier era."""
        if era_of(position) != self.era:
            return None
        rows = [self.with_stamp(row) for row in self.rows.values()]
        rows = sorted(
            (r for r in rows if r.version > position), key=lambda r: r.version
        )
        return Batch(tuple(rows), stamp(self.era, self.version))

    def contents(self):
        return {k: row.value for k, row in self.rows.items() if row.value is not None}


def follow(replica, store):
    changes = store.changes(replica.version) if replica.version else None
    if changes is None:
        replica.apply_listing(store.listing())
    else:
        replica.apply_changes(changes)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from("xyz"), st.integers(0, 9)),
        st.tuples(st.just("remove"), st.sampled_from("xyz"), st.just(0)),
        st.tuples(st.just("copy"), st.just(""), st.just(0)),
        st.tuples(st.just("drill"), st.just(""), st.just(0)),
        st.tuples(st.just("follow"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("tell"), st.integers(0, 3), st.integers(0, 3)),
        st.tuples(st.just("restart"), st.integers(0, 3), st.just(0)),
    ),
    max_size=60,
)


@given(STEPS)
def test_all_replicas_converge_to_the_rows_of_the_store(steps):
    """Writes, restores, partitions, updates and restarts happen in any order."""
    store = Store()
    replicas = [TableReplica() for _ in range(4)]
    for kind, first, second in steps:
        before = [replica.version for replica in replicas]
        match kind:
            case "write":
                store.write(first, b"%d" % second)
            case "remove":
                store.write(first, None)
            case "copy":
                store.back_up()
            case "drill":
                store.restore()
            case "follow":
                follow(replicas[first], store)
            case "tell":
                sender = replicas[second]
                update = sender.news_since(replicas[first].version)
                replicas[first].apply_update(update)
            case "restart":
                replicas[first] = TableReplica()
                before[first] = 0
        for replica, version in zip(replicas, before, strict=True):
            assert replica.version >= version
    store.write("last", b"1")
    follow(replicas[0], store)
    for replica in replicas[1:]:
        replica.apply_update(replicas[0].news_since(replica.version))
    for replica in replicas:
        assert {key: row.value for key, row in replica.rows.items()} == store.contents()
