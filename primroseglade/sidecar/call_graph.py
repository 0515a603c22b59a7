"""Which services a request leads to, and with how many calls.

Every node tells which calls its backend server makes for runs of each route
(`call_ratios.py`). Put together they give the whole tree below a route, whatever it
looks like: an upload that calls nobody is not refused because look-ups at the same
service lead to one that is overloaded.
"""

from collections.abc import Iterable, Mapping

from .call_ratios import CallRatios, MIN_CALL_RATIO
from .model import Route

# Deeper than any known graph; ends the walk where services call each other.
MAX_DEPTH = 20

# A route, and the service that serves it.
ServiceRoute = tuple[str, str]


class CallGraph:
    """The routes' calls to each other, put together from all nodes."""

    def __init__(self) -> None:
        self._call_ratios: dict[ServiceRoute, CallRatios] = {}
        self._routes: Mapping[str, Route] = {}
        self._visits: dict[ServiceRoute, dict[str, float]] = {}

    def rebuild(
        self,
        reported_ratios: Iterable[tuple[str, Mapping[str, CallRatios]]],
        routes: Mapping[str, Route],
    ) -> None:
        """Take what nodes tell.

        Args:
            told: A service, and its calls for each run by the run's route; the
                average over all runs under ``""``.
            routes: In force, by name, for who serves the calls.
        """
        sums: dict[ServiceRoute, CallRatios] = {}
        node_counts: dict[ServiceRoute, int] = {}
        for service, by_route in reported_ratios:
            for route, ratios in by_route.items():
                service_route = (route, service)
                node_counts[service_route] = node_counts.get(service_route, 0) + 1
                route_sums = sums.setdefault(service_route, {})
                for name, ratio in ratios.items():
                    route_sums[name] = route_sums.get(name, 0.0) + ratio
        self._call_ratios = {
            service_route: {
                name: total / node_counts[service_route]
                for name, total in ratios.items()
            }
            for service_route, ratios in sums.items()
        }
        self._routes = routes
        self._visits = {}

    def get_visits(self, route: str, service: str) -> dict[str, float]:
        """Return how many runs at each service one request of a route leads to.

        Args:
            route: Name of the route.
            service: That serves the request.
        """
        service_route = (route, service)
        visits = self._visits.get(service_route)
        if visits is None:
            visits = self._visits[service_route] = self._sum_visits(service_route)
        return visits

    def list_downstream_calls(
        self, service_route: ServiceRoute
    ) -> list[tuple[ServiceRoute, float]]:
        """Return the calls of one run, each with how often it is made."""
        ratios = self._call_ratios.get(service_route)
        if ratios is None:
            # A route that is new at its service counts as the average run there.
            ratios = self._call_ratios.get(("", service_route[1]), {})
        return [
            ((route, service), ratio * share)
            for route, ratio in ratios.items()
            for service, share in self._split_by_weight(route)
            if service != service_route[1]
        ]

    def _sum_visits(self, root: ServiceRoute) -> dict[str, float]:
        """Add up the calls at each depth.

        Level by level and not path by path: routes that move leave a few calls from
        each service to most others for a while, and the paths through such a graph
        are so many that walking them took most of a node's time.
        """
        visits = {root[1]: 1.0}
        level = {root: 1.0}
        for _ in range(MAX_DEPTH):
            next_level: dict[ServiceRoute, float] = {}
            for service_route, count in level.items():
                for called, ratio in self.list_downstream_calls(service_route):
                    next_level[called] = next_level.get(called, 0.0) + count * ratio
            level = {
                service_route: calls
                for service_route, calls in next_level.items()
                if calls >= MIN_CALL_RATIO
            }
            if not level:
                break
            for (_, service), count in level.items():
                visits[service] = visits.get(service, 0.0) + count
        return visits

    def _split_by_weight(self, name: str) -> list[tuple[str, float]]:
        """Return who serves a route, each with its part."""
        route = self._routes.get(name)
        if route is None:
            return []
        total = sum(service.weight for service in route.services)
        return [(service.name, service.weight / total) for service in route.services]
