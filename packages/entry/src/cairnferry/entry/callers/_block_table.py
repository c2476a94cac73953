"""Rows of blocked requests, by which blocks outlive all daemons."""

import json
import logging
import time

import attrs
from expression import Error, Ok, Result

from cairnferry.coordination import Row, era_of
from cairnferry.entry._ports import BlockRows, DecodeFault
from cairnferry.policy import Block, BlockRef

# Rows that are kept; further blocks are only told from daemon to daemon.
MAX_ROWS = 256

log = logging.getLogger(__name__)


@attrs.frozen
class TableNews:
    """What a listing of the rows brought.

    Attributes
    ----------
    written : dict of BlockRef to Block
        Blocks of rows that were written since the last listing.
    removed : set of BlockRef
        Blocks whose rows were removed since.
    """

    written: dict[BlockRef, Block]
    removed: set[BlockRef]


@attrs.define
class BlockTable:
    """What the store holds of blocks.

    Parameters
    ----------
    rows : BlockRows or None
        The store; None where there is none for blocks.
    """

    rows: BlockRows | None = None
    _stored: dict[BlockRef, Row] = attrs.field(factory=dict)

    def take(self, rows: dict[str, Row], era: int = 0) -> TableNews:
        """Take in all rows by name; those that cannot be read are passed over.

        Parameters
        ----------
        rows : dict of str to Row
            All rows.
        era : int, optional
            Era of the store that they are of. A row of an earlier one that is missing
            was not removed: the store lost it, and it is to be written again.
        """
        before = self._stored
        self._stored = {read_name(name): row for name, row in rows.items()}
        written = {}
        for ref, row in self._stored.items():
            if before.get(ref) is row:
                continue
            block = decode_block(row.value)
            if block.is_ok():
                written[ref] = block.ok
            else:
                facts = {"row": name_of(ref), "why": str(block.error)}
                log.warning("block row", extra=facts)
        removed = {
            ref
            for ref, row in before.items()
            if ref not in self._stored and era_of(row.version) >= era
        }
        return TableNews(written, removed)

    def lacks(self, ref: BlockRef) -> bool:
        """Tell whether there is no row of a block."""
        return ref not in self._stored

    def read_all(self) -> dict[BlockRef, Block | None]:
        """Give the blocks of all rows; None for one that cannot be read."""
        read = {ref: decode_block(row.value) for ref, row in self._stored.items()}
        return {ref: b.ok if b.is_ok() else None for ref, b in read.items()}

    def add(self, ref: BlockRef, block: Block) -> None:
        """Write the row of a new block, unless there are too many."""
        if self.rows is None or len(self._stored) >= MAX_ROWS:
            return
        written = self.rows.write(name_of(ref), encode_block(block), 0)
        if written.is_error():
            # Another daemon was first, or the store is away; it is tried again.
            log.info("block not stored", extra={"why": str(written.error)})

    def replace(self, ref: BlockRef, block: Block) -> bool:
        """Write a row anew; tell whether this daemon was the one to do so."""
        row = self._stored.get(ref)
        if row is None:
            return False
        return self.rows.write(name_of(ref), encode_block(block), row.version).is_ok()

    def remove(self, ref: BlockRef) -> None:
        """Remove a row, unless it was written anew."""
        row = self._stored.get(ref)
        if self.rows is None or row is None:
            return
        removed = self.rows.write(name_of(ref), None, row.version)
        if removed.is_error():
            log.info("block not removed", extra={"why": str(removed.error)})


def name_of(ref: BlockRef) -> str:
    """Give the name of a block's row."""
    return f"{ref.content} {ref.scope}"


def read_name(name: str) -> BlockRef:
    """Read the name of a block's row."""
    content, _, scope = name.partition(" ")
    return BlockRef(content, scope)


def encode_block(block: Block) -> bytes:
    """Write a block with the time of day, which all daemons have in common."""
    at = time.time() - (time.monotonic() - block.at)
    document = {
        "at": round(at, 3),
        "span_s": round(block.at - block.since, 3),
        "trials": block.trials,
    }
    return json.dumps(document).encode()


def decode_block(data: bytes) -> Result[Block, DecodeFault]:
    """Read what `encode_block` wrote."""
    try:
        document = json.loads(data)
        age = max(0.0, time.time() - float(document["at"]))
        at = time.monotonic() - age
        return Ok(Block(at, at - float(document["span_s"]), int(document["trials"])))
    except (ValueError, TypeError, LookupError, RecursionError) as exc:
        return Error(DecodeFault("block", f"{type(exc).__name__}: {exc}"))
