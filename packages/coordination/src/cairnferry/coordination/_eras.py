"""Version stamps for a store that may be restored from a backup.

A restored store assigns versions a second time, to other changes, so that a version
alone is ambiguous: a daemon that holds version 500 from before the restore would skip
the changes that are numbered 480 to 500 after it. The store therefore counts its eras
and increments the era at each restore. A stamp combines era and version, and is ordered
first by era, then by version.
"""

# Bits of a stamp that hold the version. They last for 300 years at a hundred changes
# per second. 23 bits are left for the era, as daemons exchange stamps as signed 64-bit
# integers.
VERSION_BITS = 40
_VERSION_MASK = (1 << VERSION_BITS) - 1
MAX_VERSION = _VERSION_MASK
MAX_ERA = (1 << (63 - VERSION_BITS)) - 1


def stamp(era: int, version: int) -> int:
    """Return the stamp of a version in an era; 0 for version 0, which means none."""
    return (era << VERSION_BITS) | version if version else 0


def era_of(stamp_value: int) -> int:
    """Return the era of a stamp."""
    return stamp_value >> VERSION_BITS


def version_of(stamp_value: int) -> int:
    """Return the version of a stamp, as numbered by the store."""
    return stamp_value & _VERSION_MASK
