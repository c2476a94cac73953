"""Use of the C library's allocator."""

import ctypes
import functools

# Parameter of mallopt(3).
M_MMAP_THRESHOLD = -3
# Size in bytes from which a block is returned to the system once it is freed.
MAPPED_BYTES = 128 * 1024


@functools.cache
def _function(name):
    """Return a function of the C library; None if it has none of this name."""
    return getattr(ctypes.CDLL(None), name, None)


def return_large_blocks() -> bool:
    """Let the allocator return large blocks to the system as soon as they are freed.

    glibc raises the size from which it does so to that of the largest block so far. The
    bodies and answers of a crowd of callers would then leave gaps between small blocks,
    which the process keeps after they have left, and which add to the next crowd.

    Returns
    -------
    bool
        Whether the C library has this setting.
    """
    mallopt = _function("mallopt")
    return mallopt is not None and bool(mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES))


def return_free_memory() -> None:
    """Return the pages between small blocks that are free; takes a few milliseconds."""
    malloc_trim = _function("malloc_trim")
    if malloc_trim is not None:
        malloc_trim(0)
