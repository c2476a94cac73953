"""Rendezvous hashing: all members compute the same ranks from the same names."""

import functools
import hashlib
from collections.abc import Iterable

HASH_BYTES = 8
# Number of cached ranks: several times the number of members of a zone.
MAX_CACHED_RANKS = 8192


@functools.lru_cache(MAX_CACHED_RANKS)
def rank(key: str, name: str) -> int:
    """Return the rank of a name for a key; the lowest rank comes first."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


def lowest_ranked(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the `count` names of lowest rank, in the order of their ranks.

    Notes
    -----
    When a name is added or removed, at most one of the returned names changes.
    """
    return sorted(names, key=lambda name: rank(key, name))[:count]
