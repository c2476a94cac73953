"""Storage of blocked requests in one row of the platform's table."""

import pytest
from expression import Error, Ok

from cairnferry.coordination import ConditionFailed, Item, TableUnavailable
from cairnferry.entry.daemon._blocked import BLOCKED_KEY, TableBlocks


class Table:
    """Holds one row, or is unreachable."""

    def __init__(self):
        self.item = None
        self.is_up = True
        self.before_write = lambda: None

    def read(self, key):
        assert key == BLOCKED_KEY
        return Ok(self.item) if self.is_up else Error(TableUnavailable("away"))

    def transact(self, writes):
        self.before_write()
        (write,) = writes
        if write.expected_version != (self.item.version if self.item else None):
            return Error(ConditionFailed((BLOCKED_KEY,)))
        self.item = write.item
        return Ok(None)


@pytest.fixture
def table():
    return Table()


@pytest.fixture
def blocks(table):
    return TableBlocks(table)


def test_rows_are_written_read_and_removed_by_their_versions(blocks):
    assert blocks.read().ok == {}
    assert blocks.write("a", b"1", 0).is_ok()
    assert blocks.write("b", b"2", 0).is_ok()
    assert blocks.write("a", b"3", 0).is_error()
    row = blocks.read().ok["a"]
    assert (row.value, row.version) == (b"1", 1)
    assert blocks.write("a", b"3", row.version).is_ok()
    assert blocks.write("a", None, row.version).is_error()
    assert blocks.write("a", None, blocks.read().ok["a"].version).is_ok()
    assert set(blocks.read().ok) == {"b"}


def test_one_of_two_concurrent_writes_succeeds(table, blocks):
    """Guards against trials of a request by two daemons that crash two targets."""
    blocks.write("a", b"1", 0)
    version = blocks.read().ok["a"].version

    def another():
        table.before_write = lambda: None
        assert TableBlocks(table).write("a", b"2", version).is_ok()

    table.before_write = another
    assert blocks.write("a", b"3", version).is_error()
    assert blocks.read().ok["a"].value == b"2"


@pytest.mark.parametrize("body", ["", "[]", "[1]", '{"a": 1}', '{"a": ["x", "y"]}'])
def test_a_row_that_cannot_be_read_is_empty_and_replaced(table, blocks, body):
    table.item = Item(BLOCKED_KEY, 7, body)
    assert blocks.read().ok == {}
    assert blocks.write("a", b"1", 0).is_ok()
    assert table.item.version == 8


def test_an_unreachable_table_fails_reads_and_writes(table, blocks):
    table.is_up = False
    assert blocks.read().is_error()
    assert blocks.write("a", b"1", 0).is_error()
    assert blocks.write("a", None, 1).is_error()
