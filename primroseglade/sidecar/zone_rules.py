"""The availability zones in which a call may run."""

from collections.abc import Iterable

from .evacuations import Evacuations


class ZoneRules:
    """Combines what restricts the zones of calls.

    Args:
        zones: All availability zones.
        evacuations: Zones to whose backend servers nothing is sent.
    """

    __slots__ = ("_evacuations", "_zones")

    def __init__(self, zones: Iterable[str], evacuations: Evacuations):
        self._zones = frozenset(zones)
        self._evacuations = evacuations

    def get_allowed_zones(self) -> frozenset[str] | None:
        """Return the zones in which a call may run, or None if it may in all."""
        evacuated_zones = self._evacuations.zones
        return self._zones - evacuated_zones if evacuated_zones else None
