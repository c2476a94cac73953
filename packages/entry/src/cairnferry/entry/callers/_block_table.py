"""Stored rows of blocked requests, so that blocks survive a restart of all daemons."""

import json
import logging
import time

import attrs
from expression import Result

from cairnferry.coordination import Row, era_of
from cairnferry.decoding import decode_object
from cairnferry.entry._ports import BlockRows, DecodeFault
from cairnferry.policy import Block, BlockRef

# Maximum number of stored rows. Further blocks are only exchanged between daemons.
MAX_ROWS = 256

log = logging.getLogger(__name__)


@attrs.frozen
class BlockUpdates:
    """Changes of the rows between two listings.

    Attributes
    ----------
    written : dict of BlockRef to Block
        Blocks of rows that were written since the last listing.
    removed : set of BlockRef
        Blocks whose rows were removed since the last listing.
    """

    written: dict[BlockRef, Block]
    removed: set[BlockRef]


@attrs.define
class BlockTable:
    """Copy of the stored rows of blocks, and access to the store.

    Parameters
    ----------
    rows : BlockRows or None
        Store of the rows; None if blocks are not stored.
    """

    rows: BlockRows | None = None
    _stored: dict[BlockRef, Row] = attrs.field(factory=dict)

    def apply_rows(self, rows: dict[str, Row], era: int = 0) -> BlockUpdates:
        """Apply a listing of all rows, and skip rows that cannot be decoded.

        Parameters
        ----------
        rows : dict of str to Row
            All rows by name.
        era : int, optional
            Era of the store from which the rows were listed. A missing row of an
            earlier era was not removed but lost by the store, and is written again.

        Returns
        -------
        BlockUpdates
            Changes since the last listing.
        """
        before = self._stored
        self._stored = {parse_row_name(name): row for name, row in rows.items()}
        written = {}
        for ref, row in self._stored.items():
            if before.get(ref) is row:
                continue
            block = decode_block(row.value)
            if block.is_ok():
                written[ref] = block.ok
            else:
                facts = {"row": row_name(ref), "why": str(block.error)}
                log.warning("cannot decode the row of a block", extra=facts)
        removed = {
            ref
            for ref, row in before.items()
            if ref not in self._stored and era_of(row.version) >= era
        }
        return BlockUpdates(written, removed)

    def lacks(self, ref: BlockRef) -> bool:
        """Return whether a block has no row."""
        return ref not in self._stored

    def read_all(self) -> dict[BlockRef, Block | None]:
        """Return the blocks of all rows, with None for rows that cannot be decoded."""
        read = {ref: decode_block(row.value) for ref, row in self._stored.items()}
        return {ref: b.ok if b.is_ok() else None for ref, b in read.items()}

    def add(self, ref: BlockRef, block: Block) -> None:
        """Write the row of a new block, unless the maximum number is reached."""
        if self.rows is None or len(self._stored) >= MAX_ROWS:
            return
        written = self.rows.write(row_name(ref), encode_block(block), 0)
        if written.is_error():
            # Another daemon was first or the store is unavailable. The maintenance of
            # rows retries a missing row.
            log.info("block not stored", extra={"why": str(written.error)})

    def replace(self, ref: BlockRef, block: Block) -> bool:
        """Overwrite a row; return whether this daemon succeeded in doing so."""
        row = self._stored.get(ref)
        if row is None:
            return False
        return self.rows.write(row_name(ref), encode_block(block), row.version).is_ok()

    def remove(self, ref: BlockRef) -> None:
        """Remove a row, unless it was overwritten meanwhile."""
        row = self._stored.get(ref)
        if self.rows is None or row is None:
            return
        removed = self.rows.write(row_name(ref), None, row.version)
        if removed.is_error():
            log.info("block not removed", extra={"why": str(removed.error)})


def row_name(ref: BlockRef) -> str:
    """Return the name of a block's row."""
    return f"{ref.content} {ref.scope}"


def parse_row_name(name: str) -> BlockRef:
    """Parse the name of a block's row."""
    content, _, scope = name.partition(" ")
    return BlockRef(content, scope)


def encode_block(block: Block) -> bytes:
    """Encode a block with wall-clock time, which all daemons have in common."""
    at = time.time() - (time.monotonic() - block.at)
    document = {
        "at": round(at, 3),
        "span_s": round(block.at - block.since, 3),
        "trials": block.trials,
    }
    return json.dumps(document).encode()


def decode_block(data: bytes) -> Result[Block, DecodeFault]:
    """Decode a block that was encoded by `encode_block`."""
    decoded = decode_object(data, _parse_block)
    return decoded.map_error(lambda exc: DecodeFault("block", exc.reason))


def _parse_block(document):
    age = max(0.0, time.time() - float(document["at"]))
    at = time.monotonic() - age
    return Block(at, at - float(document["span_s"]), int(document["trials"]))
