"""Estimates how many calls the local backend server makes per run of each route.

A run is one execution of a call by the backend server. The calls that the backend
server makes do not name the run that makes them, and runs of several routes overlap:
for example, uploads that make no calls and look-ups that make four. But the number of
runs of each route varies from moment to moment, and the number of calls varies with it.
A regression of calls on runs over many short intervals therefore separates the routes
(non-negative ridge regression with exponential forgetting). Without enough data, each
route gets the average over all routes.
"""

import math
from collections.abc import Sequence

# Long compared to a run, so that a run and its calls mostly fall into one interval.
INTERVAL_SECONDS = 0.5
# Age at which an interval has half its weight. At about ten runs per second of each
# route, this is long enough to separate the routes, and short enough for estimates to
# follow a configuration that moves routes.
HALF_LIFE_SECONDS = 8.0
INTERVAL_DECAY_RATIO = math.exp(-math.log(2) * INTERVAL_SECONDS / HALF_LIFE_SECONDS)
# Maximum number of routes that are estimated separately: those with the most runs. The
# others get the average.
MAX_FITTED_ROUTES = 10
# Minimum number of runs of a route that is estimated separately, and of all routes
# together for any estimate.
MIN_RUNS = 5.0
# Lower ratios of calls per run are dropped: they come from a few last calls of a route
# that was moved.
MIN_CALL_RATIO = 0.02
# Fraction of an interval's calls that are stray calls: their runs are counted in the
# previous or next interval.
STRAY_CALL_RATIO = 0.4

# Calls per run, by the route that is called.
CallRatios = dict[str, float]


class _Interval:
    """Counts of runs by route and of calls by called route, in one interval."""

    __slots__ = ("calls", "runs", "started")

    def __init__(self, started: float):
        self.started = started
        self.runs: dict[str, float] = {}
        self.calls: dict[str, float] = {}


class CallRatioEstimator:
    """Counts runs and calls of the local backend server, and estimates their ratios."""

    def __init__(self) -> None:
        self._interval: _Interval | None = None
        self._total_weight = 0.0
        self._runs: dict[str, float] = {}
        self._calls: dict[str, float] = {}
        # Sums for the regression's normal equations, by pair of routes (a, b). For each
        # interval, the runs of a are multiplied by the runs of b, or by the calls to b.
        # These sums and the two above decay with the age of the interval.
        self._run_run_products: dict[tuple[str, str], float] = {}
        self._run_call_products: dict[tuple[str, str], float] = {}
        self._estimates: dict[str, CallRatios] = {}

    def record_start(self, route: str, now: float) -> None:
        """Count half a run at its start; `record_end` counts the other half.

        A run that starts in one interval and ends in another may make calls in both, so
        each of them counts half of it.
        """
        runs = self._get_interval(now).runs
        runs[route] = runs.get(route, 0.0) + 0.5

    def record_end(self, route: str, now: float) -> None:
        """Count the other half of a run at its end."""
        runs = self._get_interval(now).runs
        runs[route] = runs.get(route, 0.0) + 0.5

    def record_call(self, route: str, now: float) -> None:
        """Count a call that the local backend server makes."""
        calls = self._get_interval(now).calls
        calls[route] = calls.get(route, 0.0) + 1.0

    def get_ratios(self, now: float) -> dict[str, CallRatios]:
        """Return calls per run, by the run's route and then by the called route.

        The key ``""`` holds the average over all runs.

        Args:
            now: Seconds on the loop's clock.
        """
        self._get_interval(now)
        return self._estimates

    def _get_interval(self, now: float) -> _Interval:
        interval = self._interval
        if interval is None:
            interval = self._interval = _Interval(now)
        elif now - interval.started >= INTERVAL_SECONDS:
            self._add_interval(interval)
            # Intervals skipped during a pause had no runs and would not add data.
            interval = self._interval = _Interval(now)
            self._estimates = self._estimate()
        return interval

    def _add_interval(self, interval: _Interval) -> None:
        for sums in (
            self._runs,
            self._calls,
            self._run_run_products,
            self._run_call_products,
        ):
            _decay(sums)
        self._total_weight = self._total_weight * INTERVAL_DECAY_RATIO + 1.0
        for route, runs in interval.runs.items():
            self._runs[route] = self._runs.get(route, 0.0) + runs
            for other, other_runs in interval.runs.items():
                pair = (route, other)
                self._run_run_products[pair] = (
                    self._run_run_products.get(pair, 0.0) + runs * other_runs
                )
            for called, calls in interval.calls.items():
                pair = (route, called)
                self._run_call_products[pair] = (
                    self._run_call_products.get(pair, 0.0) + runs * calls
                )
        for called, calls in interval.calls.items():
            self._calls[called] = self._calls.get(called, 0.0) + calls

    def _estimate(self) -> dict[str, CallRatios]:
        runs = sum(self._runs.values())
        if runs < MIN_RUNS:
            return {}
        routes = sorted(self._runs, key=self._runs.__getitem__, reverse=True)
        routes = [r for r in routes[:MAX_FITTED_ROUTES] if self._runs[r] >= MIN_RUNS]
        estimates: dict[str, CallRatios] = {"": {}} | {route: {} for route in routes}
        for called, calls in self._calls.items():
            average = calls / runs
            if average < MIN_CALL_RATIO:
                continue
            estimates[""][called] = round(average, 3)
            ratios = self._fit(routes, called, average, runs)
            for route, ratio in zip(routes, ratios, strict=True):
                if ratio >= MIN_CALL_RATIO:
                    estimates[route][called] = round(ratio, 3)
        return estimates

    def _fit(
        self, routes: list[str], called: str, average: float, runs: float
    ) -> list[float]:
        """Return the calls to one route per run of each route, none below zero."""
        # Stray calls are those of an interval whose runs are counted in another. All
        # calls of a run stray together, so the variance of their number is its expected
        # value times the calls per run. The ridge term pulls the ratios towards their
        # average. It is the variance of the stray calls divided by that of the ratios,
        # whose standard deviation is assumed to be about their average.
        stray_variance = (
            STRAY_CALL_RATIO * average * runs / self._total_weight * max(1.0, average)
        )
        ridge = stray_variance / average**2
        fitted_routes = list(routes)
        ratios = dict.fromkeys(routes, 0.0)
        while fitted_routes:
            matrix = [
                [
                    self._run_run_products.get((row_route, other), 0.0)
                    + ridge * (row_route == other)
                    for other in fitted_routes
                ]
                for row_route in fitted_routes
            ]
            right_side = [
                self._run_call_products.get((row_route, called), 0.0) + ridge * average
                for row_route in fitted_routes
            ]
            solved = dict(zip(fitted_routes, solve(matrix, right_side), strict=True))
            positive = [route for route in fitted_routes if solved[route] > 0]
            if len(positive) == len(fitted_routes):
                ratios.update(solved)
                break
            fitted_routes = positive
        return [ratios[route] for route in routes]


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
