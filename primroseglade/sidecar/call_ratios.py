"""Estimates how many calls the local backend server makes per run of each route.

A run is one execution of a call by the backend server. Where the calls that the backend
server makes name the run that makes them, they are counted by run (`run_counts.py`).

Elsewhere runs of several routes overlap: for example, uploads that make no calls and
look-ups that make four. But the number of runs of each route varies from moment to
moment, and the number of calls varies with it. A regression of calls on runs over many
short intervals therefore separates the routes (ridge regression with exponential
forgetting). A run that spans several intervals is divided among them. Without enough
data, each route gets the average over all routes.
"""

import collections
from collections.abc import Mapping, Sequence

from .run_counts import RunCounts

# About as long as the gaps between the calls of a run: in longer intervals, variations
# average out.
INTERVAL_SECONDS = 0.1
# The regression includes an interval this many intervals later, when most of its runs
# have ended.
OPEN_INTERVALS = 10
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
# With fewer intervals than this, that weight is a multiple.
MIN_RELIABLE_INTERVALS = 75.0
# Intervals in which a greater part of the runs failed are left out: a run that fails
# does not make all of its calls.
MAX_FAILED_RATIO = 0.1
# The estimates are scaled to agree with the average, at most by this factor or its
# inverse.
MAX_SCALE = 2.0

# Calls per run, by the route that is called.
CallRatios = dict[str, float]
NO_CALLS: Mapping[str, int] = {}


class _Interval:
    """Runs and calls in one interval.

    Attributes:
        number: Its number; interval 0 begins at time 0.
        counts: Runs by route, half of each at its start and half at its end.
        shares: Runs by route, each divided among the intervals that it spans.
        calls: Calls by called route.
        ends: Runs that ended.
        failures: Runs that failed.
    """

    __slots__ = ("calls", "counts", "ends", "failures", "number", "shares")

    def __init__(self, number: int):
        self.number = number
        self.counts: dict[str, float] = {}
        self.shares: dict[str, float] = {}
        self.calls: dict[str, float] = {}
        self.ends = 0
        self.failures = 0

    @property
    def is_usable(self) -> bool:
        """Whether few enough runs failed."""
        return self.failures <= MAX_FAILED_RATIO * self.ends

    def add_share(self, route: str, since: float, until: float, seconds: float) -> None:
        """Add the part of a run that falls into this interval.

        Args:
            route: Route of the run.
            since: Start of the run, or of the first open interval.
            until: End of the run.
            seconds: Time from ``since`` to ``until``.
        """
        starts_at = self.number * INTERVAL_SECONDS
        overlap = min(until, starts_at + INTERVAL_SECONDS) - max(since, starts_at)
        if overlap > 0:
            self.shares[route] = self.shares.get(route, 0.0) + overlap / seconds


class CallRatioEstimator:
    """Counts runs and calls of the local backend server, and estimates their ratios."""

    def __init__(self) -> None:
        self._run_counts = RunCounts()
        self._counts_in_use = True
        self._reset_estimates()

    def _reset_estimates(self) -> None:
        """Forget all intervals and sums of the regression."""
        # The last intervals, the current one at the end.
        self._open: collections.deque[_Interval] = collections.deque()
        # Sums over all but the current interval: number of intervals, runs by route,
        # and calls by called route. They decay with the age of the interval.
        self._counted_intervals = 0.0
        self._runs: dict[str, float] = {}
        self._calls: dict[str, float] = {}
        # Sums for the regression's normal equations, over intervals that are no longer
        # open, by pair of routes (a, b): the runs of a multiplied by the runs of b, or
        # by the calls to b. They decay, too.
        self._fitted_intervals = 0.0
        self._run_run_products: dict[tuple[str, str], float] = {}
        self._run_call_products: dict[tuple[str, str], float] = {}

    def record_start(self, route: str, now: float) -> None:
        """Count half a run at its start; `record_end` counts the other half.

        While the load rises, more runs start than end, and those that have not ended
        make calls, too.
        """
        if self._uses_counts():
            return
        counts = self._get_interval(now).counts
        counts[route] = counts.get(route, 0.0) + 0.5

    def record_end(
        self,
        route: str,
        started_at: float,
        now: float,
        succeeded: bool = True,
        calls: Mapping[str, int] = NO_CALLS,
    ) -> None:
        """Count the other half of a run at its end.

        Args:
            route: Route of the run.
            started_at: When `record_start` counted its start.
            now: Seconds on the loop's clock.
            succeeded: Whether the run was answered with success.
            calls: Number of calls that named the run, by route.
        """
        if succeeded:
            self._run_counts.record_run(route, calls, now)
        if self._uses_counts():
            return
        interval = self._get_interval(now)
        interval.counts[route] = interval.counts.get(route, 0.0) + 0.5
        interval.ends += 1
        interval.failures += not succeeded
        since = max(started_at, self._open[0].number * INTERVAL_SECONDS)
        seconds = now - since
        if seconds <= 0:
            interval.shares[route] = interval.shares.get(route, 0.0) + 1.0
            return
        for open_interval in self._open:
            open_interval.add_share(route, since, now, seconds)

    def record_call(self, route: str, now: float, attributed: bool = False) -> None:
        """Count a call that the local backend server makes.

        Args:
            route: Route of the call.
            now: Seconds on the loop's clock.
            attributed: Whether the call names a running call; it is then counted when
                that ends.
        """
        self._run_counts.record_call(attributed, now)
        if self._uses_counts():
            return
        calls = self._get_interval(now).calls
        calls[route] = calls.get(route, 0.0) + 1.0

    def get_ratios(self, now: float) -> dict[str, CallRatios]:
        """Return calls per run, by the run's route and then by the called route.

        The key ``""`` holds the average over all runs. Ratios of single routes may be
        slightly below zero: the average over many nodes has no bias then.

        Args:
            now: Seconds on the loop's clock.
        """
        if self._uses_counts():
            return self._run_counts.get_ratios(now)
        self._get_interval(now)
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
            ratios = self._fit(routes, called, average)
            for route, ratio in zip(routes, ratios, strict=True):
                estimates[route][called] = round(ratio, 3)
        return estimates

    def _uses_counts(self) -> bool:
        """Return whether calls are counted by run; else the regression is in use.

        When the regression comes into use, it starts anew: its sums are from before.
        """
        counts_usable = self._run_counts.is_usable
        if self._counts_in_use and not counts_usable:
            self._reset_estimates()
        self._counts_in_use = counts_usable
        return counts_usable

    def _get_interval(self, now: float) -> _Interval:
        """Return the current interval; close those that are too old."""
        number = int(now / INTERVAL_SECONDS)
        if not self._open:
            self._open.append(_Interval(number))
        # After a pause, only the last intervals of it are added: none had any runs.
        first_new = max(self._open[-1].number + 1, number - OPEN_INTERVALS)
        for new_number in range(first_new, number + 1):
            self._count_interval(self._open[-1])
            self._open.append(_Interval(new_number))
            if len(self._open) > OPEN_INTERVALS:
                self._close_interval(self._open.popleft())
        return self._open[-1]

    def _count_interval(self, interval: _Interval) -> None:
        """Add the counts of an interval that is over."""
        if not interval.is_usable:
            return
        self._counted_intervals = self._counted_intervals * INTERVAL_DECAY_RATIO + 1.0
        _decay(self._runs)
        _decay(self._calls)
        for route, count in interval.counts.items():
            self._runs[route] = self._runs.get(route, 0.0) + count
        for called, calls in interval.calls.items():
            self._calls[called] = self._calls.get(called, 0.0) + calls

    def _close_interval(self, interval: _Interval) -> None:
        """Add an interval to the sums of the regression."""
        if not interval.is_usable:
            return
        self._fitted_intervals = self._fitted_intervals * INTERVAL_DECAY_RATIO + 1.0
        _decay(self._run_run_products)
        _decay(self._run_call_products)
        for route, runs in interval.shares.items():
            for other, other_runs in interval.shares.items():
                pair = (route, other)
                self._run_run_products[pair] = (
                    self._run_run_products.get(pair, 0.0) + runs * other_runs
                )
            for called, calls in interval.calls.items():
                pair = (route, called)
                self._run_call_products[pair] = (
                    self._run_call_products.get(pair, 0.0) + runs * calls
                )

    def _fit(self, routes: list[str], called: str, average: float) -> list[float]:
        """Return the calls to one route per run of each route."""
        if not self._fitted_intervals:
            return [average] * len(routes)
        # The variance of the calls in an interval is about their number.
        variance = self._calls[called] / self._counted_intervals
        shortage = MIN_RELIABLE_INTERVALS / self._fitted_intervals
        ridge = RIDGE_WEIGHT * (1.0 + shortage**2) * variance / average**2
        matrix = [
            [
                self._run_run_products.get((row_route, other), 0.0)
                + ridge * (row_route == other)
                for other in routes
            ]
            for row_route in routes
        ]
        right_side = [
            self._run_call_products.get((row_route, called), 0.0) + ridge * average
            for row_route in routes
        ]
        ratios = solve(matrix, right_side)
        return self._scale(routes, ratios, average)

    def _scale(
        self, routes: list[str], ratios: list[float], average: float
    ) -> list[float]:
        """Return the ratios in proportion, so that their average is as counted.

        The regression leaves out runs that have not ended, which matters while the
        load rises.
        """
        runs = [self._runs[route] for route in routes]
        fitted = sum(ratio * count for ratio, count in zip(ratios, runs, strict=True))
        counted = average * sum(runs)
        if fitted <= 0:
            return [average] * len(routes)
        scale = min(MAX_SCALE, max(1 / MAX_SCALE, counted / fitted))
        return [scale * ratio for ratio in ratios]


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
