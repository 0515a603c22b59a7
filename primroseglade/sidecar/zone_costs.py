"""What the calls below a call cost, by the availability zone in which it runs.

Where a zone has no backend server of a service left, or too few, its calls cross to
another zone. One call that crosses high up in the graph takes all calls below it
along; left at home it would make each of them cross. So whoever chooses where a call
goes adds what the calls below it will cost there. It needs no network.
"""

from collections.abc import Callable, Mapping

from .call_graph import CallGraph, ServiceRoute

# Weight of a new look at a zone's costs. Nodes look at the same moment at the same
# states: with all of the weight they would all move to one zone, and all back again.
NEW_COST_WEIGHT = 0.4

# Milliseconds by zone; of the cheapest call to a service, or of all below a call.
ZoneCostsMs = dict[str, float]


class ZoneCosts:
    """Milliseconds, with the price of crossing, of all that lies below a call.

    Args:
        graph: Which calls a run makes.
        get_cross_zone_cost_ms: Returns by how many milliseconds another zone has to be
            better for a route's calls.
    """

    def __init__(
        self, graph: CallGraph, get_cross_zone_cost_ms: Callable[[str], float]
    ):
        self._graph = graph
        self._get_cross_zone_cost_ms = get_cross_zone_cost_ms
        self._min_costs: dict[str, ZoneCostsMs] = {}
        self._downstream_costs: dict[ServiceRoute, ZoneCostsMs] = {}

    def refresh(self, min_costs: Mapping[str, ZoneCostsMs]) -> None:
        """Take in what a call costs now where its backend server is.

        Args:
            min_costs: Beyond its work, by service and zone; zones without a usable
                backend server are left out.
        """
        self._min_costs = {
            service: self._smooth(service, zones)
            for service, zones in min_costs.items()
        }
        self._downstream_costs = {}

    def get_downstream_costs(self, route: str, service: str) -> ZoneCostsMs:
        """Return what the calls below a call cost, by the zone in which it runs.

        Zones that are left out have no backend server of the service.
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
                # Routes that moved leave a few calls in circles for a while.
                continue
            for zone in downstream_costs:
                cost = self._compute_call_cost(called, zone, (*path, service_route))
                downstream_costs[zone] += ratio * cost
        self._downstream_costs[service_route] = downstream_costs
        return downstream_costs

    def _compute_call_cost(
        self, service_route: ServiceRoute, zone: str, path: tuple[ServiceRoute, ...]
    ) -> float:
        """Return what a call costs that begins in a zone, and all below it."""
        downstream_costs = self._sum_downstream_costs(service_route, path)
        totals = {
            other_zone: cost + downstream_costs.get(other_zone, 0.0)
            for other_zone, cost in self._min_costs.get(service_route[1], {}).items()
        }
        if not totals:
            # Nobody serves it anywhere: no zone is better than another.
            return 0.0
        cross_zone_cost = min(totals.values()) + self._get_cross_zone_cost_ms(
            service_route[0]
        )
        return min(totals.get(zone, cross_zone_cost), cross_zone_cost)
