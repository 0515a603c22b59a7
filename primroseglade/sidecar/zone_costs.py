"""Costs of a call's downstream calls, by the availability zone in which the call runs.

A call may make several downstream calls to a service that has too few backend servers
in a zone, or none. If the call runs in this zone, its downstream calls go cross-zone.
If the call is sent to another zone, its downstream calls stay there, and only one call
crosses. The choice of a node for a call therefore includes the cost of the downstream
calls that the call would make from the node. Computing this cost needs no network
calls.
"""

from collections.abc import Callable, Mapping

from .call_graph import CallGraph, RouteService

# Weight of a new cost in the moving average. Nodes update at the same time from the
# same states: without smoothing, all would move their calls to one zone and back again.
NEW_COST_WEIGHT = 0.4

# Cost in milliseconds by zone: of the cheapest call to a service there, or of all
# downstream calls of a call that runs there.
ZoneCostsMs = dict[str, float]


class ZoneCosts:
    """Computes the costs of a call's downstream calls, with cross-zone surcharges.

    Args:
        graph: Provides the direct downstream calls of each route.
        get_cross_zone_surcharge_ms: Returns the surcharge on a cross-zone call in
            milliseconds, given the name of its route.
    """

    def __init__(
        self, graph: CallGraph, get_cross_zone_surcharge_ms: Callable[[str], float]
    ):
        self._graph = graph
        self._get_cross_zone_surcharge_ms = get_cross_zone_surcharge_ms
        self._min_costs: dict[str, ZoneCostsMs] = {}
        self._downstream_costs: dict[RouteService, ZoneCostsMs] = {}

    def refresh(self, min_costs: Mapping[str, ZoneCostsMs]) -> None:
        """Update the costs of calls from the current state of backend servers.

        Args:
            min_costs: Lowest cost of a call in milliseconds beyond its service time, by
                service and then by zone. Zones without a usable backend server of the
                service are left out.
        """
        self._min_costs = {
            service: self._smooth(service, costs_ms)
            for service, costs_ms in min_costs.items()
        }
        self._downstream_costs = {}

    def get_downstream_costs(self, route: str, service: str) -> ZoneCostsMs:
        """Return the cost in ms of a call's downstream calls, by the zone it runs in.

        Zones without a backend server of the service are left out.
        """
        return self._sum_downstream_costs((route, service), ())

    def _smooth(self, service: str, costs_ms: ZoneCostsMs) -> ZoneCostsMs:
        previous = self._min_costs.get(service, {})
        return {
            zone: cost_ms
            + (1.0 - NEW_COST_WEIGHT) * (previous.get(zone, cost_ms) - cost_ms)
            for zone, cost_ms in costs_ms.items()
        }

    def _sum_downstream_costs(
        self, route_service: RouteService, path: tuple[RouteService, ...]
    ) -> ZoneCostsMs:
        cached = self._downstream_costs.get(route_service)
        if cached is not None:
            return cached
        downstream_ms_by_zone = dict.fromkeys(
            self._min_costs.get(route_service[1], {}), 0.0
        )
        for called, ratio in self._graph.list_downstream_calls(route_service):
            if called in path:
                # For a while after routes are moved, stale ratios can form a cycle.
                continue
            for zone in downstream_ms_by_zone:
                cost_ms = self._compute_call_cost(called, zone, (*path, route_service))
                downstream_ms_by_zone[zone] += ratio * cost_ms
        self._downstream_costs[route_service] = downstream_ms_by_zone
        return downstream_ms_by_zone

    def _compute_call_cost(
        self, route_service: RouteService, zone: str, path: tuple[RouteService, ...]
    ) -> float:
        """Return the cost in ms of a call from a zone, downstream calls included."""
        downstream_ms_by_zone = self._sum_downstream_costs(route_service, path)
        total_ms_by_zone = {
            other_zone: cost_ms + downstream_ms_by_zone.get(other_zone, 0.0)
            for other_zone, cost_ms in self._min_costs.get(route_service[1], {}).items()
        }
        if not total_ms_by_zone:
            # No zone has a backend server of the service, so no zone is better.
            return 0.0
        cross_zone_ms = min(
            total_ms_by_zone.values()
        ) + self._get_cross_zone_surcharge_ms(route_service[0])
        return min(total_ms_by_zone.get(zone, cross_zone_ms), cross_zone_ms)
