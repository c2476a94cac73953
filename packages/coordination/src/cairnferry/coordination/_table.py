"""Interface of the table service and its errors."""

import typing

import attrs
from expression import Result


@attrs.frozen
class ConditionFailed:
    """The transaction was refused and nothing was written.

    Attributes
    ----------
    keys : tuple of str
        Rows whose condition was not met.
    """

    keys: tuple[str, ...]


@attrs.frozen
class WriteUnknown:
    """The response was lost: the transaction may have taken effect, or still may."""

    reason: str

    def __str__(self):
        return f"the response of the table service was lost: {self.reason}"


@attrs.frozen
class TableUnavailable:
    """The table service refused the call, or a read got no response."""

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
        The row to write.
    expected_version : int or None
        Version that the row must have; None if the row must not exist.
    """

    item: Item
    expected_version: int | None


class Table(typing.Protocol):
    """Table with conditional transactions over several rows."""

    def read(self, key: str) -> Result[Item | None, TableUnavailable]:
        """Return one row by a consistent read, or None if it does not exist."""

    def read_range(
        self, prefix: str, first: int, last: int
    ) -> Result[list[Item], TableUnavailable]:
        """Return the rows of a prefix with numbers `first` to `last`, inclusive."""

    def transact(self, writes: tuple[Write, ...]) -> Result[None, TableError]:
        """Write all rows if every condition is met, otherwise none."""
