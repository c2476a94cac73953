"""Versions of a store that may come back from a copy of itself.

Such a store gives versions out again that it had given out before, for other changes.
A number alone then tells nothing: whoever holds version 500 of what was lost would take
480 to 500 of what came after for known. The store counts its eras, one more each time
it comes back so. A stamp holds both, and orders as the two do: all stamps of an era are
later than those of the eras before it.
"""

# Bits of a stamp that hold the version: 300 years of a hundred changes a second. 23 are
# left for eras in the 64 bits in which daemons tell each other of stamps.
VERSION_BITS = 40
_VERSION_MASK = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << (63 - VERSION_BITS)) - 1


def stamp(era: int, version: int) -> int:
    """Give the stamp of a version in an era; 0 stays 0, which is no version."""
    return (era << VERSION_BITS) | version if version else 0


def era_of(stamped: int) -> int:
    """Give the era of a stamp."""
    return stamped >> VERSION_BITS


def version_of(stamped: int) -> int:
    """Give the version as the store knows it."""
    return stamped & _VERSION_MASK
