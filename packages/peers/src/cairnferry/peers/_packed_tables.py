"""Compressed updates of tables.

After a power failure, all daemons fetch whole tables at once. The rows of some hundred
targets take a tenth of a second of a link of 5 Mbit/s, and a daemon that has them sends
them to many others. They shrink to an eighth.
"""

import zlib

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from cairnferry.coordination import TableUpdate
from cairnferry.decoding import decompress
from cairnferry.peers._generated.peer import ttypes
from cairnferry.peers._messages import table_update_from_wire, table_update_to_wire

# Bytes of rows from which an update is compressed: a changed row takes some hundred.
MIN_BYTES = 2048
# Maximum size in bytes of an update after it is uncompressed.
MAX_BYTES = 32 * 1024 * 1024
# Compressed updates that are kept for the next peers that ask for the same ones.
MAX_KEPT = 4
# A higher level takes twice as long and saves a twentieth.
LEVEL = 3

_FACTORY = TCompactProtocolAcceleratedFactory()


@attrs.define
class TablePacker:
    """Compresses updates of tables; daemons that start all ask for the same ones."""

    _kept: dict[tuple[str, int, int], ttypes.TableNews] = attrs.field(factory=dict)

    def pack(self, table: str, since: int, update: TableUpdate) -> ttypes.TableNews:
        """Return the message with an update, compressed if it is large.

        Parameters
        ----------
        table : str
            Name of the table.
        since : int
            Version of the copy that the update is for.
        update : TableUpdate
            The update.
        """
        if sum(len(row.value or b"") for row in update.rows) < MIN_BYTES:
            return table_update_to_wire(update)
        key = table, since, update.version
        if key not in self._kept:
            data = serialize(table_update_to_wire(update), _FACTORY)
            packed = zlib.compress(data, LEVEL)
            while len(self._kept) >= MAX_KEPT:
                del self._kept[next(iter(self._kept))]
            self._kept[key] = ttypes.TableNews(
                update.whole, update.version, [], packed=packed
            )
        return self._kept[key]


def unpack_table_update(message: ttypes.TableNews) -> TableUpdate:
    """Return the update of a message, compressed or not.

    Raises
    ------
    ValueError
        If it cannot be uncompressed or read.
    """
    if message.packed is None:
        return table_update_from_wire(message)
    try:
        data = decompress(message.packed, MAX_BYTES)
        unpacked = deserialize(ttypes.TableNews(), data, _FACTORY)
        unpacked.validate()
    except (ValueError, EOFError, TypeError, TException) as exc:
        raise ValueError(f"table cannot be read: {exc}") from exc
    return table_update_from_wire(unpacked)
