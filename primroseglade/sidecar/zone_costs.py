"""What the calls below a call cost, by the availability zone in which it runs.

Where a zone has no backend server of a service left, or too few, its calls cross to
another zone. One call that crosses high up in the graph takes all calls below it
along; left at home it would make each of them cross. So whoever chooses where a call
goes adds what the calls below it will cost there. It needs no network.
"""

from collections.abc import Callable, Mapping

from .call_graph import CallGraph, Place

# Weight of a new look at a zone's costs. Nodes look at the same moment at the same
# states: with all of the weight they would all move to one zone, and all back again.
SMOOTHING = 0.4

# Milliseconds by zone; of the cheapest call to a service, or of all below a call.
Costs = dict[str, float]


class ZoneCosts:
    """Milliseconds, with the price of crossing, of all that lies below a call.

    Args:
        graph: Which calls a run makes.
        price: Returns by how many milliseconds another zone has to be better for a
            route's calls.
    """

    def __init__(self, graph: CallGraph, price: Callable[[str], float]):
        self._graph = graph
        self._price = price
        self._cheapest: dict[str, Costs] = {}
        self._below: dict[Place, Costs] = {}

    def refresh(self, cheapest: Mapping[str, Costs]) -> None:
        """Take in what a call costs now where its backend server is.

        Args:
            cheapest: Beyond its work, by service and zone; zones without a usable
                backend server are left out.
        """
        self._cheapest = {
            service: self._smooth(service, zones) for service, zones in cheapest.items()
        }
        self._below = {}

    def get_below(self, route: str, service: str) -> Costs:
        """Return what the calls below a call cost, by the zone in which it runs.

        Zones that are left out have no backend server of the service.
        """
        return self._sum_below((route, service), ())

    def _smooth(self, service: str, zones: Costs) -> Costs:
        before = self._cheapest.get(service, {})
        return {
            zone: cost + (1.0 - SMOOTHING) * (before.get(zone, cost) - cost)
            for zone, cost in zones.items()
        }

    def _sum_below(self, place: Place, path: tuple[Place, ...]) -> Costs:
        known = self._below.get(place)
        if known is not None:
            return known
        below = dict.fromkeys(self._cheapest.get(place[1], {}), 0.0)
        for called, ratio in self._graph.list_below(place):
            if called in path:
                # Routes that moved leave a few calls in circles for a while.
                continue
            for zone in below:
                cost = self._reach(called, zone, (*path, place))
                below[zone] += ratio * cost
        self._below[place] = below
        return below

    def _reach(self, place: Place, zone: str, path: tuple[Place, ...]) -> float:
        """Return what a call costs that begins in a zone, and all below it."""
        below = self._sum_below(place, path)
        totals = {
            other: cost + below.get(other, 0.0)
            for other, cost in self._cheapest.get(place[1], {}).items()
        }
        if not totals:
            # Nobody serves it anywhere: no zone is better than another.
            return 0.0
        crossing = min(totals.values()) + self._price(place[0])
        return min(totals.get(zone, crossing), crossing)
