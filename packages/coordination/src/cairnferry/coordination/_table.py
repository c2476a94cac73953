"""What is needed of a table service, and how it may fail."""

import typing

import attrs
from expression import Result


@attrs.frozen
class ConditionFailed:
    """The transaction was refused whole: nothing of it was written.

    Attributes
    ----------
    keys : tuple of str
        Rows whose condition did not hold.
    """

    keys: tuple[str, ...]


@attrs.frozen
class WriteUnknown:
    """The answer was lost: the transaction may have taken effect, or may yet."""

    reason: str

    def __str__(self):
        return f"the table's answer was lost: {self.reason}"


@attrs.frozen
class TableUnavailable:
    """The table did not take the call, or a read gave no answer."""

    reason: str

    def __str__(self):
        return f"the platform's table is not to be had: {self.reason}"


TableError = ConditionFailed | WriteUnknown | TableUnavailable


@attrs.frozen
class Item:
    """One row.

    Attributes
    ----------
    key : str
        Key of the row.
    version : int
        Number that conditions compare.
    body : str
        Content.
    """

    key: str
    version: int
    body: str


@attrs.frozen
class Write:
    """Write of one row in a transaction.

    Attributes
    ----------
    item : Item
        The row as it shall be.
    expected_version : int or None
        Version that the row must have; None means that it must not exist.
    """

    item: Item
    expected_version: int | None


class Table(typing.Protocol):
    """Table with conditional transactions over several rows."""

    def read(self, key: str) -> Result[Item | None, TableUnavailable]:
        """Read one row, never a stale one."""

    def read_range(
        self, prefix: str, first: int, last: int
    ) -> Result[list[Item], TableUnavailable]:
        """Read the rows of a prefix whose number lies in a range, ends included."""

    def transact(self, writes: tuple[Write, ...]) -> Result[None, TableError]:
        """Write all rows if each condition holds, else none."""
