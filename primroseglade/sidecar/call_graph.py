"""Computes how many calls to each service a request causes.

Every node broadcasts how many calls its backend server makes per run of each route
(`call_ratios.py`). Together these give the whole call tree of a route. As each route
has its own, an upload that makes no calls is not refused because look-ups at the same
service call an overloaded one.
"""

from collections.abc import Iterable, Mapping

from .call_ratios import CallRatios, MIN_CALL_RATIO
from .model import Route

# Maximum depth of the call tree, deeper than any known graph; it ends the traversal
# where services call each other.
MAX_DEPTH = 20

# A route's name, and the service that serves it.
ServiceRoute = tuple[str, str]


class CallGraph:
    """Combines the call ratios of all nodes into the call tree of each route."""

    def __init__(self) -> None:
        self._call_ratios: dict[ServiceRoute, CallRatios] = {}
        self._routes: Mapping[str, Route] = {}
        self._visits: dict[ServiceRoute, dict[str, float]] = {}

    def rebuild(
        self,
        reported_ratios: Iterable[tuple[str, Mapping[str, CallRatios]]],
        routes: Mapping[str, Route],
    ) -> None:
        """Replace the call ratios and routes.

        Args:
            reported_ratios: For each node, its service and the calls per run, by the
                run's route; the average over all runs is under ``""``.
            routes: Routes in force by name; they give the services that serve calls.
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
        """Return the expected calls to each service per request of a route.

        The request itself counts as one call to the service that serves it.

        Args:
            route: Name of the route.
            service: Service that serves the request.
        """
        service_route = (route, service)
        visits = self._visits.get(service_route)
        if visits is None:
            visits = self._visits[service_route] = self._sum_visits(service_route)
        return visits

    def list_downstream_calls(
        self, service_route: ServiceRoute
    ) -> list[tuple[ServiceRoute, float]]:
        """Return the direct calls of one run, each with its expected number."""
        ratios = self._call_ratios.get(service_route)
        if ratios is None:
            # A route without ratios of its own gets the average of its service.
            ratios = self._call_ratios.get(("", service_route[1]), {})
        return [
            ((route, service), ratio * share)
            for route, ratio in ratios.items()
            for service, share in self._split_by_weight(route)
            if service != service_route[1]
        ]

    def _sum_visits(self, root: ServiceRoute) -> dict[str, float]:
        """Return the calls to each service, summed level by level.

        Traversing each path instead took most of a node's processor time after routes
        had moved to other services: for a while each service then calls most others,
        and the number of paths through such a graph is huge.
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
        """Return the services of a route, each with its fraction of the calls."""
        route = self._routes.get(name)
        if route is None:
            return []
        total = sum(service.weight for service in route.services)
        return [(service.name, service.weight / total) for service in route.services]
