"""Counts the bytes sent to other availability zones, which are expensive."""

import collections

from ..observe.events import CROSS_ZONE_BYTES, Journal

# Maximum number of routes counted by name; all others are counted together.
MAX_NAMED_ROUTES = 200
OTHER_ROUTES = "other"
# Interval between log lines, and the maximum number of counts in each, largest first.
CROSS_ZONE_LOG_INTERVAL_SECONDS = 10.0
MAX_LOGGED_ENTRIES = 12


class CrossZoneBytes:
    """Counts cross-zone bytes, by kind of frame and by route.

    >>> cross_zone_bytes = CrossZoneBytes()
    >>> cross_zone_bytes.record("Call", "photos", 300)
    >>> cross_zone_bytes.record("Call", "photos", 200)
    >>> cross_zone_bytes.list_all()
    [('Call', 'photos', 500)]
    """

    __slots__ = ("_counts", "_routes")

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._routes: set[str] = set()

    def record(self, frame_kind: str, route: str, size_bytes: int) -> None:
        """Count a frame that was sent cross-zone.

        Args:
            frame_kind: Kind of the frame.
            route: Name of the route that the frame belongs to; empty if none.
            size_bytes: Size of the frame.
        """
        if route not in self._routes:
            if len(self._routes) >= MAX_NAMED_ROUTES:
                route = OTHER_ROUTES
            else:
                self._routes.add(route)
        self._counts[frame_kind, route] += size_bytes

    def list_all(self) -> list[tuple[str, str, int]]:
        """Return kind of frame, route and bytes, with the most bytes first."""
        return [
            (frame_kind, route, byte_count)
            for (frame_kind, route), byte_count in self._counts.most_common()
        ]


def log_cross_zone_bytes(cross_zone_bytes: CrossZoneBytes, journal: Journal) -> None:
    """Log the largest counts of cross-zone bytes."""
    largest_counts = cross_zone_bytes.list_all()[:MAX_LOGGED_ENTRIES]
    if largest_counts:
        journal.emit(CROSS_ZONE_BYTES, most=largest_counts)
