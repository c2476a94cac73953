"""Storage of blocked requests in one row of the platform's table, as they are few."""

import json
import logging

import attrs
from expression import Error, Result

from cairnferry.coordination import Item, Row, Table, Write
from cairnferry.decoding import decode_object
from cairnferry.entry._ports import FeedFault, FeedUnavailable

BLOCKED_KEY = "blocked-requests"

log = logging.getLogger(__name__)


@attrs.frozen
class _StoredBlocks:
    """Version of the table's row, 0 if it does not exist, and the blocks in it."""

    version: int
    rows: dict[str, Row]


@attrs.frozen
class TableBlocks:
    """Rows of blocked requests, all of them inside one row of the table.

    Each write replaces the table's row on condition that it is unchanged, so that only
    one of several concurrent writers succeeds.

    Parameters
    ----------
    table : Table
        The platform's table.
    """

    table: Table

    def read(self) -> Result[dict[str, Row], FeedFault]:
        """Return all rows, by name."""
        return self._read().map(lambda content: content.rows)

    def write(
        self, name: str, data: bytes | None, version: int
    ) -> Result[None, FeedFault]:
        """Write or remove a row if it still has the version.

        Parameters
        ----------
        name : str
            Name of the row.
        data : bytes or None
            Content of the row; None to remove it.
        version : int
            Expected version of the row; 0 if it must not exist.
        """
        read = self._read()
        if read.is_error():
            return read
        content = read.ok
        stored = content.rows.get(name)
        if (stored.version if stored else 0) != version:
            return Error(FeedUnavailable("the row has another version"))
        rows = {key: row for key, row in content.rows.items() if key != name}
        if data is not None:
            rows[name] = Row(name, data, content.version + 1)
        item = Item(BLOCKED_KEY, content.version + 1, _encode(rows))
        done = self.table.transact((Write(item, content.version or None),))
        return done.map_error(lambda fault: FeedUnavailable(str(fault)))

    def _read(self):
        found = self.table.read(BLOCKED_KEY)
        return found.map_error(lambda fault: FeedUnavailable(str(fault))).map(
            _parse_item
        )


def _encode(rows):
    return json.dumps({name: [r.version, r.value.decode()] for name, r in rows.items()})


def _parse_item(item):
    if item is None:
        return _StoredBlocks(0, {})
    decoded = decode_object(item.body, _parse_rows)
    if decoded.is_error():
        # Another release wrote the row; the next write replaces it.
        log.warning(
            "blocked requests cannot be read", extra={"why": str(decoded.error)}
        )
    return _StoredBlocks(item.version, decoded.default_value({}))


def _parse_rows(document):
    return {
        name: Row(name, text.encode(), int(version))
        for name, (version, text) in document.items()
    }
