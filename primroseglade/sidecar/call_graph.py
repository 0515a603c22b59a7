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
DEEPEST = 20

# A route, and the service that serves it.
ServiceRoute = tuple[str, str]


class CallGraph:
    """The routes' calls to each other, put together from all nodes."""

    def __init__(self) -> None:
        self._below: dict[ServiceRoute, CallRatios] = {}
        self._routes: Mapping[str, Route] = {}
        self._visits: dict[ServiceRoute, dict[str, float]] = {}

    def rebuild(
        self,
        told: Iterable[tuple[str, Mapping[str, CallRatios]]],
        routes: Mapping[str, Route],
    ) -> None:
        """Take what nodes tell.

        Args:
            told: A service, and its calls for each run by the run's route; the
                average over all runs under ``""``.
            routes: In force, by name, for who serves the calls.
        """
        sums: dict[ServiceRoute, CallRatios] = {}
        nodes: dict[ServiceRoute, int] = {}
        for service, by_route in told:
            for route, below in by_route.items():
                place = (route, service)
                nodes[place] = nodes.get(place, 0) + 1
                target = sums.setdefault(place, {})
                for name, ratio in below.items():
                    target[name] = target.get(name, 0.0) + ratio
        self._below = {
            place: {name: total / nodes[place] for name, total in below.items()}
            for place, below in sums.items()
        }
        self._routes = routes
        self._visits = {}

    def get_visits(self, route: str, service: str) -> dict[str, float]:
        """Return how many runs at each service one request of a route leads to.

        Args:
            route: Name of the route.
            service: That serves the request.
        """
        place = (route, service)
        visits = self._visits.get(place)
        if visits is None:
            visits = self._visits[place] = self._sum_levels(place)
        return visits

    def list_downstream_calls(
        self, place: ServiceRoute
    ) -> list[tuple[ServiceRoute, float]]:
        """Return the calls of one run, each with how often it is made."""
        below = self._below.get(place)
        if below is None:
            # A route that is new at its service counts as the average run there.
            below = self._below.get(("", place[1]), {})
        return [
            ((route, service), ratio * share)
            for route, ratio in below.items()
            for service, share in self._share_out(route)
            if service != place[1]
        ]

    def _sum_levels(self, root: ServiceRoute) -> dict[str, float]:
        """Add up the calls at each depth.

        Level by level and not path by path: routes that move leave a few calls from
        each service to most others for a while, and the paths through such a graph
        are so many that walking them took most of a node's time.
        """
        visits = {root[1]: 1.0}
        level = {root: 1.0}
        for _ in range(DEEPEST):
            below: dict[ServiceRoute, float] = {}
            for place, count in level.items():
                for called, ratio in self.list_downstream_calls(place):
                    below[called] = below.get(called, 0.0) + count * ratio
            level = {place: n for place, n in below.items() if n >= MIN_CALL_RATIO}
            if not level:
                break
            for (_, service), count in level.items():
                visits[service] = visits.get(service, 0.0) + count
        return visits

    def _share_out(self, name: str) -> list[tuple[str, float]]:
        """Return who serves a route, each with its part."""
        route = self._routes.get(name)
        if route is None:
            return []
        total = sum(service.weight for service in route.services)
        return [(service.name, service.weight / total) for service in route.services]
