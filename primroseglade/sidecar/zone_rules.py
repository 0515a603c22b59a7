"""The availability zones in which a call may run.

Operators restrict routes and workspaces to regions, and evacuate zones.
"""

from collections.abc import Mapping

from ..observe.events import Journal, VALUE_IGNORED
from .evacuations import Evacuations
from .model import Policy, Route

# Kind and name of a route or workspace.
RestrictedName = tuple[str, str]
ROUTE = "route"
WORKSPACE = "workspace"


class ZoneRules:
    """Combines what restricts the zones of calls.

    Args:
        zones: Region of each availability zone, by zone.
        evacuations: Zones to whose backend servers nothing is sent.
        journal: Logs invalid regions.
    """

    __slots__ = (
        "_evacuations",
        "_has_restrictions",
        "_journal",
        "_regions",
        "_zones",
        "_zones_by_region",
    )

    def __init__(
        self, zones: Mapping[str, str], evacuations: Evacuations, journal: Journal
    ):
        self._zones = frozenset(zones)
        self._evacuations = evacuations
        self._journal = journal
        self._zones_by_region: dict[str, frozenset[str]] = {}
        for zone, region in zones.items():
            known = self._zones_by_region.get(region, frozenset())
            self._zones_by_region[region] = known | {zone}
        # Regions in force by kind and name of what is restricted; empty for all.
        self._regions: dict[RestrictedName, frozenset[str]] = {}
        self._has_restrictions = False

    def apply_policy(self, policy: Policy) -> None:
        """Apply the regions of a policy.

        Regions without a zone are logged and ignored. A route or workspace with only
        such regions keeps those that it had, or none if it is new.
        """
        regions: dict[RestrictedName, frozenset[str]] = {}
        for route in policy.routes:
            name = (ROUTE, route.name)
            regions[name] = self._select_known(name, route.regions)
        for tenant in (policy.tenants or {}).values():
            name = (WORKSPACE, tenant.name)
            if name not in regions:
                regions[name] = self._select_known(name, tenant.regions)
        self._regions = regions
        self._has_restrictions = any(regions.values())

    def get_allowed_zones(self, route: Route, tenant: str) -> frozenset[str] | None:
        """Return the zones in which a call may run, or None if it may in all.

        Args:
            route: Route of the call.
            tenant: Workspace of the call; empty for calls of backend servers.
        """
        evacuated_zones = self._evacuations.zones
        if not evacuated_zones and not self._has_restrictions:
            return None
        allowed_zones = self._zones - evacuated_zones
        for regions in self._list_restrictions(route, tenant):
            allowed_zones &= self._list_zones(regions)
        return allowed_zones

    def is_restricted(self, route: Route, tenant: str) -> bool:
        """Return whether a call may only run in some regions."""
        return bool(self._list_restrictions(route, tenant))

    def _list_restrictions(self, route: Route, tenant: str) -> list[frozenset[str]]:
        """Return the regions of the route and of the workspace, if there are any."""
        names = ((ROUTE, route.name), (WORKSPACE, tenant))
        found = (self._regions.get(name) for name in names)
        return [regions for regions in found if regions]

    def _list_zones(self, regions: frozenset[str]) -> frozenset[str]:
        none: frozenset[str] = frozenset()
        return none.union(*(self._zones_by_region.get(r, none) for r in regions))

    def _select_known(
        self, name: RestrictedName, regions: frozenset[str]
    ) -> frozenset[str]:
        """Return the regions that come into force for a route or workspace."""
        known = regions & self._zones_by_region.keys()
        if known == regions:
            return regions
        unknown = ", ".join(sorted(regions - known))
        expected = ", ".join(sorted(self._zones_by_region))
        self._journal.emit(
            VALUE_IGNORED,
            reason=f"region {unknown} of {' '.join(name)} is none of {expected}",
        )
        return known or self._regions.get(name, regions)
