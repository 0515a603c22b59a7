"""Which services a request leads to, and with how many calls.

Calls that a backend server makes name no parent. But all of them begin at the node
beside it, which also sees every run there: their ratio is how many calls to each
service one run makes, whatever the graph looks like.
"""

from collections.abc import Iterable

from .retry_budget import SlidingCount

# Long enough for some hundred runs of a usual service, short enough to follow a
# configuration that moves routes.
WINDOW_SECONDS = 10.0
# Deeper than any known graph; ends the walk where services call each other.
DEEPEST = 20
# Fewer calls for each run than this are not followed: strays of a moved route.
LEAST_CALLS = 0.02


class OwnCalls:
    """Runs at the own backend server and the calls that began there."""

    def __init__(self) -> None:
        self._runs = SlidingCount(WINDOW_SECONDS)
        self._calls: dict[str, SlidingCount] = {}

    def note_run(self, now: float) -> None:
        """Count a call that the backend server works on."""
        self._runs.add(now)

    def note_call(self, service: str, now: float) -> None:
        """Count a call that it makes."""
        count = self._calls.get(service)
        if count is None:
            count = self._calls[service] = SlidingCount(WINDOW_SECONDS)
        count.add(now)

    def describe(self, now: float) -> dict[str, float]:
        """Return calls for each run, by service."""
        runs = self._runs.total(now)
        if runs < 1:
            return {}
        ratios = {name: count.total(now) / runs for name, count in self._calls.items()}
        return {
            name: round(ratio, 3)
            for name, ratio in ratios.items()
            if ratio >= LEAST_CALLS
        }


class CallGraph:
    """The services' calls to each other, put together from all nodes."""

    def __init__(self) -> None:
        self._below: dict[str, dict[str, float]] = {}
        self._visits: dict[str, dict[str, float]] = {}

    def rebuild(self, told: Iterable[tuple[str, dict[str, float]]]) -> None:
        """Take what nodes tell: a service, and its calls for each run."""
        sums: dict[str, dict[str, float]] = {}
        nodes: dict[str, int] = {}
        for service, below in told:
            nodes[service] = nodes.get(service, 0) + 1
            target = sums.setdefault(service, {})
            for name, ratio in below.items():
                target[name] = target.get(name, 0.0) + ratio
        self._below = {
            service: {name: total / nodes[service] for name, total in below.items()}
            for service, below in sums.items()
        }
        self._visits = {}

    def get_visits(self, service: str) -> dict[str, float]:
        """Return how many runs at each service one request to a service leads to.

        >>> graph = CallGraph()
        >>> graph.rebuild([("a", {"b": 2.0}), ("b", {"c": 4.0}), ("c", {})])
        >>> graph.get_visits("a")
        {'a': 1.0, 'b': 2.0, 'c': 8.0}
        """
        visits = self._visits.get(service)
        if visits is None:
            visits = self._visits[service] = self._sum_levels(service)
        return visits

    def _sum_levels(self, service: str) -> dict[str, float]:
        """Add up the calls at each depth.

        Level by level and not path by path: routes that move leave a few calls from
        each service to most others for a while, and the paths through such a graph
        are so many that walking them took most of a node's time.
        """
        visits = {service: 1.0}
        level = {service: 1.0}
        for _ in range(DEEPEST):
            below: dict[str, float] = {}
            for caller, count in level.items():
                for name, ratio in self._below.get(caller, {}).items():
                    if name != caller:
                        below[name] = below.get(name, 0.0) + count * ratio
            level = {n: count for n, count in below.items() if count >= LEAST_CALLS}
            if not level:
                break
            for name, count in level.items():
                visits[name] = visits.get(name, 0.0) + count
        return visits
