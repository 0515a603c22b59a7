"""The availability zones that operators have evacuated.

No calls are sent to backend servers of an evacuated zone until the operator takes the
evacuation back. Nodes of the zone go on accepting requests of their callers, which are
served in other zones.
"""

from collections.abc import Callable, Collection, Mapping

from ..observe.events import (
    EVACUATION_ENDED,
    EVACUATION_STARTED,
    Journal,
    VALUE_IGNORED,
)


class Evacuations:
    """Keeps the newest known set of evacuated zones.

    The operator's records have offsets in the platform's store. A set that includes all
    records before an offset is replaced only by one that includes more of them, from
    whichever node or store it comes. It stays in force while neither is reachable.

    Args:
        zones: All availability zones; an evacuation of another one is ignored.
        journal: Logs changes.
        on_change: Called after each change of the set, with the source of the change.
    """

    def __init__(
        self, zones: Collection[str], journal: Journal, on_change: Callable[[str], None]
    ):
        self._known_zones = frozenset(zones)
        self._journal = journal
        self._on_change = on_change
        self._offset = 0
        self._zones: frozenset[str] = frozenset()
        self._ignored_zones: set[str] = set()

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self._zones

    @property
    def offset(self) -> int:
        """Offset up to which the operator's records are included."""
        return self._offset

    def replace(self, zones: Collection[str], offset: int, source: str) -> None:
        """Replace the set, unless it includes newer records.

        Args:
            zones: The evacuated zones.
            offset: Offset up to which the operator's records are included.
            source: Where the set comes from, for the log.
        """
        if offset <= self._offset:
            return
        self._offset = offset
        zones = self._select_known(zones)
        started = sorted(zones - self._zones)
        ended = sorted(self._zones - zones)
        if not started and not ended:
            return
        self._zones = zones
        for zone in started:
            self._journal.emit(EVACUATION_STARTED, zone=zone, source=source)
        for zone in ended:
            self._journal.emit(EVACUATION_ENDED, zone=zone, source=source)
        self._on_change(source)

    def apply_changes(
        self, changes: Mapping[str, bool], offset: int, source: str
    ) -> None:
        """Apply the records between an offset that is included and a newer one.

        Args:
            changes: For each zone named in the records, whether it is evacuated.
            offset: Offset up to which records are included after the change.
            source: Where the records come from, for the log.
        """
        started = {zone for zone, evacuated in changes.items() if evacuated}
        self.replace((self._zones - changes.keys()) | started, offset, source)

    def _select_known(self, zones: Collection[str]) -> frozenset[str]:
        for zone in zones:
            if zone not in self._known_zones and zone not in self._ignored_zones:
                self._ignored_zones.add(zone)
                known = ", ".join(sorted(self._known_zones))
                self._journal.emit(
                    VALUE_IGNORED, reason=f"evacuated zone {zone} is none of {known}"
                )
        return frozenset(zones) & self._known_zones
