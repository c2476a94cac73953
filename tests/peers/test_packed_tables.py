"""Compressed updates of tables between daemons of this release and earlier ones."""

import random
import zlib

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from cairnferry.coordination import Row, TableUpdate
from cairnferry.peers import _packed_tables
from cairnferry.peers._generated.peer import Peer, ttypes
from cairnferry.peers._messages import table_update_to_wire
from cairnferry.peers._packed_tables import (
    MAX_KEPT,
    TablePacker,
    unpack_table_update,
)
from cairnferry.peers._server import _ThriftAdapter

FACTORY = TCompactProtocolAcceleratedFactory()


def whole(count, version=9):
    rng = random.Random(1)
    value = b'{"service": "svc", "address": "10.0.0.%d:80", "started": %d}'
    rows = (
        Row(f"i-{n}", value % (n, rng.randrange(10**6)), 1000 + n) for n in range(count)
    )
    return TableUpdate(True, tuple(rows), version)


REMOVED = TableUpdate(False, (Row("i-1", None, 8), *whole(200).rows), 9)


@pytest.mark.parametrize("update", [whole(0), whole(3), whole(300), REMOVED])
def test_updates_arrive_unchanged(update):
    assert unpack_table_update(TablePacker().pack("targets", 0, update)) == update


def test_a_large_table_takes_a_fraction_of_the_bytes():
    """Guards against links that are full of tables after a power failure."""
    plain = _size(table_update_to_wire(whole(300)))
    assert _size(TablePacker().pack("targets", 0, whole(300))) < plain / 4


def _size(message):
    buffer = TMemoryBuffer()
    message.write(FACTORY.getProtocol(buffer))
    return len(buffer.getvalue())


def test_small_updates_are_not_compressed():
    assert TablePacker().pack("targets", 0, whole(3)).packed is None


def test_a_table_is_compressed_once_for_all_that_ask():
    packer = TablePacker()
    first = packer.pack("targets", 0, whole(300))
    assert packer.pack("targets", 0, whole(300)) is first
    others = [
        packer.pack("instances", 0, whole(200)),
        packer.pack("targets", 3, whole(100)),
        packer.pack("targets", 0, whole(300, version=10)),
    ]
    assert [len(unpack_table_update(each).rows) for each in others] == [200, 100, 300]
    packer.pack("targets", 4, whole(100))
    assert len(packer._kept) == MAX_KEPT
    assert packer.pack("targets", 0, whole(300)) is not first


class Handler:
    """A daemon with one table."""

    def news_since(self, table, version):
        return whole(300)


def test_a_peer_of_an_earlier_release_gets_plain_rows():
    """Guards against daemons that take a compressed table for an empty one."""
    answer = _ThriftAdapter(Handler()).news_since("targets", 0, None)
    assert answer == table_update_to_wire(whole(300))


def test_an_answer_of_an_earlier_release_is_read():
    assert unpack_table_update(table_update_to_wire(whole(300))) == whole(300)


def test_earlier_releases_read_a_call_that_asks_for_compressed_rows():
    """They know two fields of the call, and skip others."""
    buffer = TMemoryBuffer()
    Peer.news_since_args("targets", 5, True).write(FACTORY.getProtocol(buffer))
    protocol = FACTORY.getProtocol(TMemoryBuffer(buffer.getvalue()))
    read = Peer.news_since_args()
    earlier_fields = Peer.news_since_args.thrift_spec[:3]
    protocol._fast_decode(read, protocol, [Peer.news_since_args, earlier_fields])
    assert (read.table, read.version, read.packed) == ("targets", 5, None)


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no zlib",
        zlib.compress(b""),
        zlib.compress(b"no message"),
        zlib.compress(b"\x00"),
        TablePacker().pack("targets", 0, whole(300)).packed[:-20],
    ],
)
def test_a_malformed_update_is_rejected(packed):
    """Guards against an error that ends the exchange with all peers."""
    with pytest.raises(ValueError, match="table"):
        unpack_table_update(ttypes.TableNews(True, 9, [], packed=packed))


def test_a_compressed_update_is_bounded(monkeypatch):
    monkeypatch.setattr(_packed_tables, "MAX_BYTES", 1000)
    with pytest.raises(ValueError, match="too large"):
        unpack_table_update(TablePacker().pack("targets", 0, whole(300)))
