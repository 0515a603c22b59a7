"""Rendezvous hashing: every node ranks the same members alike, with no agreement."""

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return a member's weight for a key; the highest weight ranks first."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, names: Iterable[str], most: int | None = None) -> list[str]:
    """Return names by falling weight for the key.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    ordered = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ordered[:most]
