"""Rendezvous hashing: nodes rank members identically without coordination."""

import hashlib
from collections.abc import Iterable

from .members import Members

MAX_CACHED_RANKINGS = 4096


def score(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest weight ranks first."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class ZoneRanking:
    """Ranks a zone's reachable members by key, and caches rankings.

    A cached ranking is valid until the zone's set of reachable members changes. Ranking
    900 members takes a millisecond, too long without a cache: each charged call needs a
    ranking of every zone, and leases need one of every partition.

    Args:
        members: The member table.
    """

    def __init__(self, members: Members):
        self._members = members
        self._cached_rankings: dict[tuple[str, str], tuple[int, list[str]]] = {}

    def get(self, zone: str, key: str, limit: int) -> list[str]:
        """Return the ``limit`` reachable instances of a zone that rank first for a key.

        Args:
            zone: Name of the availability zone.
            key: Any text; always use the same ``limit`` with it, as the cache ignores
                limits.
            limit: Maximum number of instances.
        """
        version = self._members.get_zone_version(zone)
        cached = self._cached_rankings.get((zone, key))
        if cached is not None and cached[0] == version:
            return cached[1]
        names = [member.instance for member in self._members.get_reachable(zone)]
        ranked = rank(f"{key}/{zone}", names, limit)
        if len(self._cached_rankings) >= MAX_CACHED_RANKINGS:
            self._cached_rankings.clear()
        self._cached_rankings[zone, key] = (version, ranked)
        return ranked


def rank(key: str, names: Iterable[str], limit: int | None = None) -> list[str]:
    """Return the names in descending order of their weight for the key.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    ordered = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ordered[:limit]
