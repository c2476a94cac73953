"""Stamps of versions, and copies of a table over drills of its store."""

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
def test_a_stamp_holds_era_and_version_and_fits_the_wire(era, version):
    stamped = stamp(era, version)
    assert (era_of(stamped), version_of(stamped)) == (era, version)
    assert stamped < 2**63


def test_all_of_a_later_era_is_later():
    assert stamp(1, 480) > stamp(0, 500)
    assert stamp(0, 500) > stamp(0, 480)
    assert stamp(4, 0) == 0


@attrs.define
class Store:
    """Rows, versions, an era, and a copy of some time ago."""

    rows: dict = attrs.field(factory=dict)
    version: int = 0
    era: int = 0
    kept: tuple = ((), 0)

    def write(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, value, self.version)

    def keep_copy(self):
        self.kept = (tuple(self.rows.items()), self.version)

    def drill(self):
        self.rows, self.version = dict(self.kept[0]), self.kept[1]
        self.era += 1

    def stamped(self, row):
        return attrs.evolve(row, version=stamp(self.era, row.version))

    def listing(self):
        rows = [self.stamped(r) for r in self.rows.values() if r.value is not None]
        return Batch(tuple(rows), stamp(self.era, self.version))

    def changes(self, position):
        """Give the changes since a stamp; None if it is of an earlier era."""
        if era_of(position) != self.era:
            return None
        rows = [self.stamped(row) for row in self.rows.values()]
        rows = sorted(
            (r for r in rows if r.version > position), key=lambda r: r.version
        )
        return Batch(tuple(rows), stamp(self.era, self.version))

    def holds(self):
        return {k: row.value for k, row in self.rows.items() if row.value is not None}


def follow(copy, store):
    changes = store.changes(copy.version) if copy.version else None
    if changes is None:
        copy.apply_listing(store.listing())
    else:
        copy.apply_changes(changes)


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
def test_all_copies_come_to_hold_what_the_store_holds(steps):
    """Writes, drills, cuts (nobody follows), news and restarts in any order."""
    store = Store()
    copies = [TableReplica() for _ in range(4)]
    for kind, first, second in steps:
        before = [copy.version for copy in copies]
        match kind:
            case "write":
                store.write(first, b"%d" % second)
            case "remove":
                store.write(first, None)
            case "copy":
                store.keep_copy()
            case "drill":
                store.drill()
            case "follow":
                follow(copies[first], store)
            case "tell":
                told = copies[second]
                news = told.news_since(copies[first].version)
                copies[first].apply_update(news)
            case "restart":
                copies[first] = TableReplica()
                before[first] = 0
        for copy, version in zip(copies, before, strict=True):
            assert copy.version >= version
    store.write("last", b"1")
    follow(copies[0], store)
    for copy in copies[1:]:
        copy.apply_update(copies[0].news_since(copy.version))
    for copy in copies:
        assert {key: row.value for key, row in copy.rows.items()} == store.holds()
