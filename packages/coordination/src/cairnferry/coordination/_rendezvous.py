"""Rendezvous hashing: ranks that all compute alike from the same names."""

import functools
import hashlib
from collections.abc import Iterable

HASH_BYTES = 8
# Ranks that are kept: those of all members of a zone several times over.
MAX_KEPT = 8192


@functools.lru_cache(MAX_KEPT)
def rank(key: str, name: str) -> int:
    """Give the rank of a name for a key; lower goes first."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


def lowest_ranked(key: str, names: Iterable[str], count: int) -> list[str]:
    """Give the `count` names of lowest rank, in the order of their ranks.

    Notes
    -----
    When a name comes or goes, at most one of those chosen changes.
    """
    return sorted(names, key=lambda name: rank(key, name))[:count]
