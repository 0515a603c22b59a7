"""What this node sent to other availability zones, where bytes are dear."""

import collections

from ..observe.events import Journal, ZONE_BYTES

# Routes that are counted by name; the rest is counted together.
MAX_NAMED_ROUTES = 200
OTHER_ROUTES = "other"
# How often the log has what crossed, in seconds, and how many lines of it.
BYTES_LOG_SECONDS = 10.0
MAX_LOGGED_ENTRIES = 12


class CrossZoneBytes:
    """Bytes by kind of frame and by route.

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

    def record(self, frame: str, route: str, size: int) -> None:
        """Count a frame that was sent."""
        if route not in self._routes:
            if len(self._routes) >= MAX_NAMED_ROUTES:
                route = OTHER_ROUTES
            else:
                self._routes.add(route)
        self._counts[frame, route] += size

    def list_all(self) -> list[tuple[str, str, int]]:
        """Return kind, route and bytes, the most bytes first."""
        return [(frame, route, n) for (frame, route), n in self._counts.most_common()]


def log_cross_zone_bytes(cross_zone_bytes: CrossZoneBytes, journal: Journal) -> None:
    """Log what crossed to other zones."""
    largest = cross_zone_bytes.list_all()[:MAX_LOGGED_ENTRIES]
    if largest:
        journal.emit(ZONE_BYTES, most=largest)
