"""Estimates how many calls the local backend server makes per run of each route.

A run is one execution of a call by the backend server. The calls that the backend
server makes do not name the run that makes them, and runs of several routes overlap:
for example, uploads that make no calls and look-ups that make four. But the number of
runs of each route that are in flight varies from moment to moment, and the rate of
calls varies with it. A regression of calls on the time that runs are in flight, over
many short intervals, therefore separates the routes (ridge regression with exponential
forgetting). Without enough data, each route gets the average over all routes.
"""

from collections.abc import Sequence

# About as long as the gaps between the calls of a run: in longer intervals, variations
# average out.
INTERVAL_SECONDS = 0.1
# Age at which an interval has half its weight: long enough to separate the routes if
# one has a few runs per second, short enough for estimates to follow a configuration
# that moves routes.
HALF_LIFE_SECONDS = 16.0
INTERVAL_DECAY_RATIO = 0.5 ** (INTERVAL_SECONDS / HALF_LIFE_SECONDS)
# Maximum number of routes that are estimated separately: those with the most runs. The
# others get the average.
MAX_FITTED_ROUTES = 10
# Minimum number of runs of a route that is estimated separately, and of all routes
# together for any estimate.
MIN_RUNS = 5.0
# Lower averages of calls per run are dropped: they come from a few last calls of a
# route that was moved.
MIN_CALL_RATIO = 0.02
# Weight of the assumption that all routes make the average number of calls: the ridge
# term, as a multiple of that for which the ratios scatter as widely as their average.
RIDGE_WEIGHT = 0.3
# Intervals in which a greater part of the runs failed are left out: a run that fails
# does not make all of its calls.
MAX_FAILED_RATIO = 0.1
# With fewer intervals than this, that weight is a multiple.
MIN_RELIABLE_INTERVALS = 75.0

# Calls per run, by the route that is called.
CallRatios = dict[str, float]


class _RouteTotals:
    """Runs of one route.

    Attributes:
        running: Runs in flight.
        updated_at: Until when ``interval_seconds`` includes the runs in flight.
        interval_seconds: Seconds in flight, summed over runs, in the current interval.
        interval_runs: Runs in the current interval, half at the start, half at the end.
        seconds: Seconds in flight since the start; decay with the age of the interval.
        runs: Runs; decay likewise.
    """

    __slots__ = (
        "interval_runs",
        "interval_seconds",
        "running",
        "runs",
        "seconds",
        "updated_at",
    )

    def __init__(self, now: float):
        self.running = 0
        self.updated_at = now
        self.interval_seconds = 0.0
        self.interval_runs = 0.0
        self.seconds = 0.0
        self.runs = 0.0

    @property
    def mean_seconds(self) -> float:
        """Mean time for which a run is in flight."""
        return self.seconds / self.runs

    def advance(self, now: float) -> None:
        """Include the time until now."""
        if self.running:
            self.interval_seconds += self.running * (now - self.updated_at)
        self.updated_at = now


class CallRatioEstimator:
    """Counts runs and calls of the local backend server, and estimates their ratios."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTotals] = {}
        self._interval_started_at = 0.0
        self._interval_calls: dict[str, float] = {}
        self._interval_ends = 0
        self._interval_failures = 0
        self._total_weight = 0.0
        self._calls: dict[str, float] = {}
        # Sums for the regression's normal equations, by pair of routes (a, b). For each
        # interval, the seconds in flight of a are multiplied by those of b, or by the
        # calls to b. These sums and the two above decay with the age of the interval.
        self._run_run_products: dict[tuple[str, str], float] = {}
        self._run_call_products: dict[tuple[str, str], float] = {}

    def record_start(self, route: str, now: float) -> None:
        """Count half a run at its start; `record_end` counts the other half.

        While the load rises, more runs start than end, and those that have not ended
        make calls, too.
        """
        totals = self._get_totals(route, now)
        totals.advance(now)
        totals.running += 1
        totals.interval_runs += 0.5

    def record_end(self, route: str, now: float, succeeded: bool = True) -> None:
        """Count the other half of a run at its end."""
        totals = self._get_totals(route, now)
        totals.advance(now)
        totals.running -= 1
        totals.interval_runs += 0.5
        self._interval_ends += 1
        self._interval_failures += not succeeded

    def record_call(self, route: str, now: float) -> None:
        """Count a call that the local backend server makes."""
        self._advance(now)
        self._interval_calls[route] = self._interval_calls.get(route, 0.0) + 1.0

    def get_ratios(self, now: float) -> dict[str, CallRatios]:
        """Return calls per run, by the run's route and then by the called route.

        The key ``""`` holds the average over all runs. Ratios of single routes may be
        slightly below zero: the average over many nodes has no bias then.

        Args:
            now: Seconds on the loop's clock.
        """
        self._advance(now)
        runs = sum(totals.runs for totals in self._routes.values())
        if runs < MIN_RUNS:
            return {}
        routes = sorted(
            self._routes, key=lambda name: self._routes[name].runs, reverse=True
        )[:MAX_FITTED_ROUTES]
        routes = [name for name in routes if self._routes[name].runs >= MIN_RUNS]
        estimates: dict[str, CallRatios] = {"": {}} | {route: {} for route in routes}
        for called, calls in self._calls.items():
            average = calls / runs
            if average < MIN_CALL_RATIO:
                continue
            estimates[""][called] = round(average, 3)
            ratios = self._fit(routes, called, average)
            for route, ratio in zip(routes, ratios, strict=True):
                estimates[route][called] = round(ratio, 3)
        return estimates

    def _get_totals(self, route: str, now: float) -> _RouteTotals:
        self._advance(now)
        totals = self._routes.get(route)
        if totals is None:
            totals = self._routes[route] = _RouteTotals(now)
        return totals

    def _advance(self, now: float) -> None:
        """Start a new interval if the current one is over."""
        if now - self._interval_started_at < INTERVAL_SECONDS:
            return
        for totals in self._routes.values():
            totals.advance(now)
        if (
            self._interval_started_at
            and self._interval_failures <= MAX_FAILED_RATIO * self._interval_ends
        ):
            self._add_interval()
        # Intervals skipped during a pause had no starts, ends or calls.
        self._interval_started_at = now
        self._interval_calls = {}
        self._interval_ends = self._interval_failures = 0
        for totals in self._routes.values():
            totals.interval_seconds = 0.0
            totals.interval_runs = 0.0

    def _add_interval(self) -> None:
        seconds: dict[str, float] = {}
        for name, totals in list(self._routes.items()):
            if totals.interval_seconds:
                seconds[name] = totals.interval_seconds
            totals.seconds = totals.seconds * INTERVAL_DECAY_RATIO
            totals.seconds += totals.interval_seconds
            totals.runs = totals.runs * INTERVAL_DECAY_RATIO + totals.interval_runs
            if not totals.running and totals.runs < 1e-3:
                del self._routes[name]
        for sums in (self._calls, self._run_run_products, self._run_call_products):
            _decay(sums)
        self._total_weight = self._total_weight * INTERVAL_DECAY_RATIO + 1.0
        for name, route_seconds in seconds.items():
            for other, other_seconds in seconds.items():
                pair = (name, other)
                self._run_run_products[pair] = (
                    self._run_run_products.get(pair, 0.0)
                    + route_seconds * other_seconds
                )
            for called, calls in self._interval_calls.items():
                pair = (name, called)
                self._run_call_products[pair] = (
                    self._run_call_products.get(pair, 0.0) + route_seconds * calls
                )
        for called, calls in self._interval_calls.items():
            self._calls[called] = self._calls.get(called, 0.0) + calls

    def _fit(self, routes: list[str], called: str, average: float) -> list[float]:
        """Return the calls to one route per run of each route."""
        # The unknowns are calls per second in flight. The variance of the calls in an
        # interval is about their number.
        variance = self._calls[called] / self._total_weight
        mean_seconds = [self._routes[name].mean_seconds for name in routes]
        average_rates = [average / seconds for seconds in mean_seconds]
        shortage = MIN_RELIABLE_INTERVALS / self._total_weight
        ridge_weight = RIDGE_WEIGHT * (1.0 + shortage**2)
        ridges = [ridge_weight * variance / rate**2 for rate in average_rates]
        matrix = [
            [
                self._run_run_products.get((row_route, other), 0.0)
                + ridges[row] * (row_route == other)
                for other in routes
            ]
            for row, row_route in enumerate(routes)
        ]
        right_side = [
            self._run_call_products.get((row_route, called), 0.0)
            + ridges[row] * average_rates[row]
            for row, row_route in enumerate(routes)
        ]
        rates = solve(matrix, right_side)
        return [
            rate * seconds for rate, seconds in zip(rates, mean_seconds, strict=True)
        ]


def solve(
    matrix: Sequence[Sequence[float]], right_side: Sequence[float]
) -> list[float]:
    """Return the solution of a positive definite system of linear equations.

    There are at most ten equations, too few to justify a numerical library, which would
    double a node's memory.

    >>> solve([[2.0, 1.0], [1.0, 3.0]], [5.0, 10.0])
    [1.0, 3.0]
    """
    size = len(right_side)
    rows = [[*row, total] for row, total in zip(matrix, right_side, strict=True)]
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, size + 1):
                rows[row][column] -= factor * rows[pivot][column]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known_terms = sum(rows[row][c] * solution[c] for c in range(row + 1, size))
        solution[row] = (rows[row][size] - known_terms) / rows[row][row]
    return solution


def _decay(sums: "dict[str, float] | dict[tuple[str, str], float]") -> None:
    for key in list(sums):
        sums[key] *= INTERVAL_DECAY_RATIO
        if sums[key] < 1e-3:
            del sums[key]
