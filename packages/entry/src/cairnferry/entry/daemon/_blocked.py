"""Blocked requests in the platform's table: one row, as there are few of them."""

import json
import logging

import attrs
from expression import Error, Result

from cairnferry.coordination import Item, Row, Table, Write
from cairnferry.entry._ports import FeedFault, FeedUnavailable

BLOCKED_KEY = "blocked-requests"

log = logging.getLogger(__name__)


@attrs.frozen
class _Content:
    """The row's version, 0 if it is not there, and the blocks that it holds."""

    version: int
    rows: dict[str, Row]


@attrs.frozen
class TableBlocks:
    """Rows of blocked requests, all within one row of the table.

    A whole row is written under the condition that nobody wrote it meanwhile, so that
    of several daemons that change a block one does.

    Parameters
    ----------
    table : Table
        The platform's table.
    """

    table: Table

    def read(self) -> Result[dict[str, Row], FeedFault]:
        """Give all rows by name."""
        return self._read().map(lambda content: content.rows)

    def write(
        self, name: str, data: bytes | None, version: int
    ) -> Result[None, FeedFault]:
        """Write or remove a row if it still has the version."""
        read = self._read()
        if read.is_error():
            return read
        content = read.ok
        known = content.rows.get(name)
        if (known.version if known else 0) != version:
            return Error(FeedUnavailable("a row was written meanwhile"))
        rows = {key: row for key, row in content.rows.items() if key != name}
        if data is not None:
            rows[name] = Row(name, data, content.version + 1)
        item = Item(BLOCKED_KEY, content.version + 1, _encode(rows))
        done = self.table.transact((Write(item, content.version or None),))
        return done.map_error(lambda fault: FeedUnavailable(str(fault)))

    def _read(self):
        found = self.table.read(BLOCKED_KEY)
        return found.map_error(lambda fault: FeedUnavailable(str(fault))).map(_content)


def _encode(rows):
    return json.dumps({name: [r.version, r.value.decode()] for name, r in rows.items()})


def _content(item):
    if item is None:
        return _Content(0, {})
    try:
        document = json.loads(item.body)
        rows = {
            name: Row(name, text.encode(), int(version))
            for name, (version, text) in document.items()
        }
    except (ValueError, TypeError, AttributeError) as exc:
        # Of another release; what is written next replaces it.
        log.warning("blocked requests", extra={"why": f"{type(exc).__name__}: {exc}"})
        rows = {}
    return _Content(item.version, rows)
