"""Rendezvous hashing: every node ranks the same members alike, with no agreement."""

import hashlib
from collections.abc import Iterable

from .members import Members

MAX_CACHED_RANKINGS = 4096


def score(key: str, name: str) -> int:
    """Return a member's weight for a key; the highest weight ranks first."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class ZoneRanking:
    """Ranks a zone's members by keys, and remembers until the zone changes.

    A zone of 900 members costs a millisecond to rank. Charging a call asks for the
    ranking of every zone, and leases for that of every partition.

    Args:
        members: Who is in which zone.
    """

    def __init__(self, members: Members):
        self._members = members
        self._ranked: dict[tuple[str, str], tuple[int, list[str]]] = {}

    def get(self, zone: str, key: str, limit: int) -> list[str]:
        """Return the first ``most`` reachable instances of a zone for a key."""
        version = self._members.get_zone_version(zone)
        cached = self._ranked.get((zone, key))
        if cached is not None and cached[0] == version:
            return cached[1]
        names = [member.instance for member in self._members.get_reachable(zone)]
        ranked = rank(f"{key}/{zone}", names, limit)
        if len(self._ranked) >= MAX_CACHED_RANKINGS:
            self._ranked.clear()
        self._ranked[zone, key] = (version, ranked)
        return ranked


def rank(key: str, names: Iterable[str], limit: int | None = None) -> list[str]:
    """Return names by falling weight for the key.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    ordered = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ordered[:limit]
