"""Request bodies: how they are read, and the limit on all that a daemon holds."""

import math
from collections.abc import Callable

import attrs

# Bytes of a body that are read at once.
PART_BYTES = 16 * 1024
# Size in bytes from which a body is large. A request that will be refused by its head
# is answered without reading a large body. After a smaller one, the connection can be
# used further.
LARGE_BYTES = 64 * 1024


@attrs.define(eq=False)
class BodyBudget:
    """Bytes of request bodies that a daemon holds, and their limit.

    Without a limit, a few callers with large bodies exhaust the memory of a small
    instance, which ends all of its connections at once.

    Attributes
    ----------
    limit : float
        Largest sum of all bodies in bytes; infinite for no limit.
    held, peak : int
        Current and largest sum so far.
    refused : int
        Number of bodies that were refused.
    """

    limit: float = math.inf
    held: int = 0
    peak: int = 0
    refused: int = 0

    def add(self, size: int) -> bool:
        """Count a body or a part of one; return False if it exceeds the limit."""
        if self.held + size > self.limit:
            self.refused += 1
            return False
        self.held += size
        self.peak = max(self.peak, self.held)
        return True

    def remove(self, size: int) -> None:
        """Subtract bytes that are no longer held."""
        self.held -= size


@attrs.define(eq=False)
class HeldBody:
    """The part of a budget that the body of one request uses.

    Parameters
    ----------
    budget : BodyBudget
        Budget of the daemon.
    """

    budget: BodyBudget
    size: int = attrs.field(default=0, init=False)

    def add(self, size: int) -> bool:
        """Count bytes of the body; return False if they exceed the limit."""
        if not self.budget.add(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Return the bytes to the budget; a second call does nothing."""
        self.budget.remove(self.size)
        self.size = 0


def read_parts(
    read: Callable[[int], bytes],
    length: int | None,
    limit: int,
    note_part: Callable[[int], None],
) -> bytes | bytearray:
    """Read a body in parts.

    Parameters
    ----------
    read : callable
        Reads up to a number of bytes; returns no bytes at the end.
    length : int or None
        Declared length in bytes; None if it is unknown.
    limit : int
        Largest length in bytes. Of a longer body, one more byte is read.
    note_part : callable
        Called with the size in bytes of each part.

    Returns
    -------
    bytes or bytearray
        The body. A large one is collected in place, as a copy would double the memory
        that it takes.
    """
    body = bytearray(length or 0)
    size = 0
    while size <= limit and (part := read(min(PART_BYTES, limit + 1 - size))):
        note_part(len(part))
        if size == 0 and len(part) == length:
            return part
        # Writes into the allocated bytes, and appends where the length is unknown.
        body[size : size + len(part)] = part
        size += len(part)
    return body if size >= LARGE_BYTES else bytes(body)
