"""Collecting the parts of a request body."""

from collections.abc import Callable

# Bytes of a body that are read at once.
PART_BYTES = 16 * 1024
# Size in bytes from which a body is large. A request that will be refused by its head
# is answered without reading a large body. After a smaller one, the connection can be
# used further.
LARGE_BYTES = 64 * 1024


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
