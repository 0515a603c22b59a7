"""Costs of a call's downstream calls, by the availability zone in which the call runs.

If a zone has no backend server of a service, or too few, calls to it go cross-zone. If
the call that causes them goes cross-zone instead, its downstream calls stay in the
other zone, and only one call crosses. So the choice of a node for a call includes the
costs of its downstream calls there. Computing them needs no network calls.
"""

from collections.abc import Callable, Mapping

from .call_graph import CallGraph, ServiceRoute

# Weight of a new cost in the moving average. Nodes update at the same time from the
# same states: without smoothing, all would move their calls to one zone and back again.
NEW_COST_WEIGHT = 0.4

# Milliseconds by zone: of the cheapest call to a service, or of all downstream calls.
ZoneCostsMs = dict[str, float]


class ZoneCosts:
    """Computes the costs of a call's downstream calls, cross-zone costs included.

    Args:
        graph: Which calls a run of each route makes.
        get_cross_zone_cost_ms: Returns the cross-zone cost of a call, in milliseconds,
            for a route's name.
    """

    def __init__(
        self, graph: CallGraph, get_cross_zone_cost_ms: Callable[[str], float]
    ):
        self._graph = graph
        self._get_cross_zone_cost_ms = get_cross_zone_cost_ms
        self._min_costs: dict[str, ZoneCostsMs] = {}
        self._downstream_costs: dict[ServiceRoute, ZoneCostsMs] = {}

    def refresh(self, min_costs: Mapping[str, ZoneCostsMs]) -> None:
        """Update the costs of calls from the current state of backend servers.

        Args:
            min_costs: Lowest cost of a call beyond its work, by service and zone. Zones
                without a usable backend server are left out.
        """
        self._min_costs = {
            service: self._smooth(service, zones)
            for service, zones in min_costs.items()
        }
        self._downstream_costs = {}

    def get_downstream_costs(self, route: str, service: str) -> ZoneCostsMs:
        """Return the cost of a call's downstream calls, by the zone in which it runs.

        Zones without a backend server of the service are left out.
        """
        return self._sum_downstream_costs((route, service), ())

    def _smooth(self, service: str, zones: ZoneCostsMs) -> ZoneCostsMs:
        previous = self._min_costs.get(service, {})
        return {
            zone: cost + (1.0 - NEW_COST_WEIGHT) * (previous.get(zone, cost) - cost)
            for zone, cost in zones.items()
        }

    def _sum_downstream_costs(
        self, service_route: ServiceRoute, path: tuple[ServiceRoute, ...]
    ) -> ZoneCostsMs:
        cached = self._downstream_costs.get(service_route)
        if cached is not None:
            return cached
        downstream_costs = dict.fromkeys(self._min_costs.get(service_route[1], {}), 0.0)
        for called, ratio in self._graph.list_downstream_calls(service_route):
            if called in path:
                # For a while after routes are moved, stale ratios can form a cycle.
                continue
            for zone in downstream_costs:
                cost = self._compute_call_cost(called, zone, (*path, service_route))
                downstream_costs[zone] += ratio * cost
        self._downstream_costs[service_route] = downstream_costs
        return downstream_costs

    def _compute_call_cost(
        self, service_route: ServiceRoute, zone: str, path: tuple[ServiceRoute, ...]
    ) -> float:
        """Return the cost of a call made in a zone, its downstream calls included."""
        downstream_costs = self._sum_downstream_costs(service_route, path)
        totals = {
            other_zone: cost + downstream_costs.get(other_zone, 0.0)
            for other_zone, cost in self._min_costs.get(service_route[1], {}).items()
        }
        if not totals:
            # No zone has a backend server of the service, so none is better.
            return 0.0
        cross_zone_cost = min(totals.values()) + self._get_cross_zone_cost_ms(
            service_route[0]
        )
        return min(totals.get(zone, cross_zone_cost), cross_zone_cost)
