"""Copies of a table: whoever tells whom, none goes back, and all come to agree."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.coordination import Batch, Row, TableReplica, TableUpdate, _tablecopy

KEYS = "abc"


def put(key, version):
    return Row(key, b"%d" % version, version)


def removed(key, version):
    return Row(key, None, version)


class Store:
    """A table with a history, as the platform's store keeps it."""

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


def play(store, copies, step, under_way):
    match step:
        case "change", key, is_removal:
            store.change(key, is_removal)
        case "list", index:
            copies[index].apply_listing(store.listing())
        case "watch", index:
            copies[index].apply_changes(store.since(copies[index].version))
        case "ask", index, other:
            # The answer may come late, after others.
            under_way.append(
                (copies[index], copies[other].news_since(copies[index].version))
            )
        case ("answer",) if under_way:
            copy, news = under_way.pop()
            copy.apply_update(news)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_each_copy_holds_what_the_table_held_at_its_version_and_none_goes_back(steps):
    store, copies, under_way = Store(), [TableReplica() for _ in range(3)], []
    for step in steps:
        before = [copy.version for copy in copies]
        play(store, copies, step, under_way)
        for copy, version in zip(copies, before, strict=True):
            assert copy.version >= version
            assert copy.rows == store.at(copy.version)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(STEPS)
def test_the_newest_copy_brings_all_others_up_to_date(steps):
    store, copies, under_way = Store(), [TableReplica() for _ in range(3)], []
    for step in steps:
        play(store, copies, step, under_way)
    newest = max(copies, key=lambda copy: copy.version)
    for copy in copies:
        copy.apply_update(newest.news_since(copy.version))
        assert (copy.version, copy.rows) == (newest.version, newest.rows)


def test_a_change_alone_is_told_and_not_the_whole_table():
    first, second = TableReplica(), TableReplica()
    first.apply_listing(Batch(tuple(put(key, 1) for key in KEYS), 5))
    second.apply_update(first.news_since(0))
    first.apply_changes(Batch((put("a", 7), removed("b", 8)), 9))
    assert first.news_since(second.version) == TableUpdate(
        False, (put("a", 7), removed("b", 8)), 8
    )


def test_an_idle_table_has_nothing_new_although_the_store_moves_on():
    """Symptom: daemons ask each other for news all the time, and there is none.

    Cause: the version of the store counts the changes of all tables.
    """
    copy = TableReplica()
    copy.apply_listing(Batch((put("a", 3),), 5))
    assert not copy.apply_changes(Batch((), 900))
    assert copy.version == 5


def test_a_copy_that_misses_forgotten_removals_gets_all_rows(monkeypatch):
    """Symptom: a target that was removed is used for ever at one daemon.

    Events: very many rows are removed while it is cut off. Cause: the others had
    forgotten some of the removals, and told it the rest.
    """
    monkeypatch.setattr(_tablecopy, "MAX_REMOVALS", 2)
    copy, cut_off = TableReplica(), TableReplica()
    copy.apply_listing(Batch(tuple(put(key, 1) for key in KEYS), 5))
    cut_off.apply_update(copy.news_since(0))
    copy.apply_changes(Batch(tuple(removed(k, 6 + i) for i, k in enumerate(KEYS)), 9))
    assert copy.news_since(cut_off.version).whole
    cut_off.apply_update(copy.news_since(cut_off.version))
    assert cut_off.rows == {}


def test_a_listing_that_took_long_does_not_replace_what_a_peer_told_meanwhile():
    copy = TableReplica()
    copy.apply_update(TableUpdate(True, (put("a", 9),), 9))
    assert not copy.apply_listing(Batch((put("a", 3),), 8))
    assert copy.rows == {"a": put("a", 9)}
