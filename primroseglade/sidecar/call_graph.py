"""Computes how many calls to each service a request causes.

A run is one execution of a call by a backend server. Every node broadcasts how many
calls its backend server makes per run of each route (`call_ratios.py`). Together these
call ratios give the whole call tree of each route. The trees are kept per route because
a service may serve both uploads that make no calls and look-ups that call an overloaded
service: with one tree for both, the uploads would be refused, too.
"""

from collections.abc import Iterable, Mapping

from .call_ratios import CallRatios, MIN_CALL_RATIO
from .model import Route

# Maximum depth of a call tree. No known call graph is this deep, but services that call
# each other in a cycle would make the tree infinite.
MAX_DEPTH = 20

# A route that seems to make less than this fraction of its service's average number of
# calls to a route makes none: the estimates of routes with few runs scatter that much.
MIN_AVERAGE_RATIO = 0.25

# Name of a route, and a service that serves calls of the route.
RouteService = tuple[str, str]


class CallGraph:
    """Combines the call ratios of all nodes into the call tree of each route."""

    def __init__(self) -> None:
        self._call_ratios: dict[RouteService, CallRatios] = {}
        self._routes: Mapping[str, Route] = {}
        self._expected_calls: dict[RouteService, dict[str, float]] = {}

    def rebuild(
        self,
        reported_ratios: Iterable[tuple[str, Mapping[str, CallRatios]]],
        routes: Mapping[str, Route],
    ) -> None:
        """Replace the call ratios and routes.

        Args:
            reported_ratios: For each node, its service and the average number of calls
                per run, by the run's route and then by the called route. The key ``""``
                holds the average over all runs.
            routes: Routes in force by name, used to split calls of a route among its
                services.
        """
        sums: dict[RouteService, CallRatios] = {}
        node_counts: dict[RouteService, int] = {}
        for service, ratios_by_route in reported_ratios:
            for route, ratios in ratios_by_route.items():
                route_service = (route, service)
                node_counts[route_service] = node_counts.get(route_service, 0) + 1
                route_sums = sums.setdefault(route_service, {})
                for name, ratio in ratios.items():
                    route_sums[name] = route_sums.get(name, 0.0) + ratio
        averages = {
            route_service: {
                name: total / node_counts[route_service]
                for name, total in ratios.items()
            }
            for route_service, ratios in sums.items()
        }
        self._call_ratios = {
            route_service: _drop_noise(ratios, averages.get(("", route_service[1]), {}))
            for route_service, ratios in averages.items()
        }
        self._routes = routes
        self._expected_calls = {}

    def get_expected_calls(self, route: str, service: str) -> dict[str, float]:
        """Return the calls that a request is expected to cause, by called service.

        The request itself counts as one call to the service that serves it.

        Args:
            route: Name of the request's route; empty for the average over all routes.
            service: Service that serves the request.
        """
        route_service = (route, service)
        expected_calls = self._expected_calls.get(route_service)
        if expected_calls is None:
            expected_calls = self._expected_calls[route_service] = (
                self._sum_expected_calls(route_service)
            )
        return expected_calls

    def count_direct_calls(self, route: str, service: str, called: str) -> int:
        """Return how many calls of a route one run is expected to make, rounded.

        Args:
            route: Name of the run's route.
            service: Service that runs it.
            called: Name of the called route.
        """
        return round(self._get_ratios((route, service)).get(called, 0.0))

    def _get_ratios(self, route_service: RouteService) -> CallRatios:
        """Return the calls per run of a route, by called route.

        A route without call ratios of its own gets the average of its service.
        """
        ratios = self._call_ratios.get(route_service)
        if ratios is None:
            ratios = self._call_ratios.get(("", route_service[1]), {})
        return ratios

    def list_downstream_calls(
        self, route_service: RouteService
    ) -> list[tuple[RouteService, float]]:
        """Return the direct calls of one run, each with its expected number.

        Calls of a service to itself are left out.
        """
        return [
            ((route, service), ratio * share)
            for route, ratio in self._get_ratios(route_service).items()
            for service, share in self._split_by_weight(route)
            if service != route_service[1]
        ]

    def _sum_expected_calls(self, root: RouteService) -> dict[str, float]:
        """Return the expected calls to each service, summed depth by depth.

        While routes move to other services, each service seems to call most others, and
        the number of paths through such a graph is huge. Traversing each path would
        then take most of a node's processor time.
        """
        expected_calls = {root[1]: 1.0}
        calls_at_depth = {root: 1.0}
        for _ in range(MAX_DEPTH):
            calls_at_next_depth: dict[RouteService, float] = {}
            for route_service, count in calls_at_depth.items():
                for called, ratio in self.list_downstream_calls(route_service):
                    calls_at_next_depth[called] = (
                        calls_at_next_depth.get(called, 0.0) + count * ratio
                    )
            calls_at_depth = {
                route_service: calls
                for route_service, calls in calls_at_next_depth.items()
                if calls >= MIN_CALL_RATIO
            }
            if not calls_at_depth:
                break
            for (_, service), count in calls_at_depth.items():
                expected_calls[service] = expected_calls.get(service, 0.0) + count
        return expected_calls

    def _split_by_weight(self, name: str) -> list[tuple[str, float]]:
        """Return the services of a route, each with its fraction of the calls."""
        route = self._routes.get(name)
        if route is None:
            return []
        total = sum(service.weight for service in route.services)
        return [(service.name, service.weight / total) for service in route.services]


def _drop_noise(ratios: CallRatios, averages: CallRatios) -> CallRatios:
    """Return the ratios that differ clearly from zero.

    Args:
        ratios: Calls per run of one route, by called route.
        averages: The same over all runs of the service.
    """
    return {
        name: ratio
        for name, ratio in ratios.items()
        if ratio > MIN_AVERAGE_RATIO * averages.get(name, 0.0)
    }
