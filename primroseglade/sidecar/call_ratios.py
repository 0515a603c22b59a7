"""Which calls the own backend server makes for which of the requests that it serves.

Its calls name no parent, and requests of several routes are at work at once: uploads
that call nobody beside look-ups that call four times. But the numbers of both vary by
chance from moment to moment, and the calls vary with those that make them. Fitting
calls to runs over many short steps tells them apart (ridge regression with forgetting,
bounded below by zero). Where steps tell nothing yet, each run counts as the average.
"""

import math
from collections.abc import Sequence

# Long against a run and its calls, so that both mostly fall into one step.
STEP_SECONDS = 0.5
# Steps lose half of their weight in so many seconds: some ten requests a second of a
# route are told apart in about that time, and a configuration that moves routes is
# followed.
HALF_LIFE_SECONDS = 8.0
DECAY = math.exp(-math.log(2) * STEP_SECONDS / HALF_LIFE_SECONDS)
# Routes told apart, those with most runs. The rest counts as the average.
MOST_ROUTES = 10
# Runs of a route below which nothing is told of it alone.
LEAST_RUNS = 5.0
# Fewer calls for each run than this are not told: strays of a moved route.
MIN_CALL_RATIO = 0.02
# Calls of a step that belong to runs of the step before or after, for each call.
STRAY_SHARE = 0.4

# Calls for each run, by the route of the calls.
CallRatios = dict[str, float]


class _Step:
    """What was counted since the last step."""

    __slots__ = ("calls", "runs", "started")

    def __init__(self, started: float):
        self.started = started
        self.runs: dict[str, float] = {}
        self.calls: dict[str, float] = {}


class CallRatioEstimator:
    """Runs at the own backend server and the calls that began there, by route."""

    def __init__(self) -> None:
        self._step: _Step | None = None
        self._weight = 0.0
        self._runs: dict[str, float] = {}
        self._calls: dict[str, float] = {}
        # Sums over steps, each pair of routes: runs times runs, and runs times calls.
        self._runs_runs: dict[tuple[str, str], float] = {}
        self._runs_calls: dict[tuple[str, str], float] = {}
        self._told: dict[str, CallRatios] = {}

    def record_start(self, route: str, now: float) -> None:
        """Count the start of a run as half of it: its calls lie between both ends."""
        runs = self._get_step(now).runs
        runs[route] = runs.get(route, 0.0) + 0.5

    def record_end(self, route: str, now: float) -> None:
        """Count the end of a run as the other half."""
        runs = self._get_step(now).runs
        runs[route] = runs.get(route, 0.0) + 0.5

    def record_call(self, route: str, now: float) -> None:
        """Count a call that the backend server makes."""
        calls = self._get_step(now).calls
        calls[route] = calls.get(route, 0.0) + 1.0

    def get_ratios(self, now: float) -> dict[str, CallRatios]:
        """Return calls for each run, by the run's route; the average under ``""``.

        Args:
            now: Seconds on the loop's clock.
        """
        self._get_step(now)
        return self._told

    def _get_step(self, now: float) -> _Step:
        step = self._step
        if step is None:
            step = self._step = _Step(now)
        elif now - step.started >= STEP_SECONDS:
            self._add(step)
            # After a pause the steps in between were empty, and tell nothing.
            step = self._step = _Step(now)
            self._told = self._estimate()
        return step

    def _add(self, step: _Step) -> None:
        for sums in (self._runs, self._calls, self._runs_runs, self._runs_calls):
            _decay(sums)
        self._weight = self._weight * DECAY + 1.0
        for route, runs in step.runs.items():
            self._runs[route] = self._runs.get(route, 0.0) + runs
            for other, others in step.runs.items():
                pair = (route, other)
                self._runs_runs[pair] = self._runs_runs.get(pair, 0.0) + runs * others
            for called, calls in step.calls.items():
                pair = (route, called)
                self._runs_calls[pair] = self._runs_calls.get(pair, 0.0) + runs * calls
        for called, calls in step.calls.items():
            self._calls[called] = self._calls.get(called, 0.0) + calls

    def _estimate(self) -> dict[str, CallRatios]:
        runs = sum(self._runs.values())
        if runs < LEAST_RUNS:
            return {}
        routes = sorted(self._runs, key=self._runs.__getitem__, reverse=True)
        routes = [r for r in routes[:MOST_ROUTES] if self._runs[r] >= LEAST_RUNS]
        told: dict[str, CallRatios] = {"": {}} | {route: {} for route in routes}
        for called, calls in self._calls.items():
            average = calls / runs
            if average < MIN_CALL_RATIO:
                continue
            told[""][called] = round(average, 3)
            ratios = self._fit(routes, called, average, runs)
            for route, ratio in zip(routes, ratios, strict=True):
                if ratio >= MIN_CALL_RATIO:
                    told[route][called] = round(ratio, 3)
        return told

    def _fit(
        self, routes: list[str], called: str, average: float, runs: float
    ) -> list[float]:
        """Return calls for each run of each route, none below zero."""
        # The variance of a step's stray calls, which stray by whole runs, over that
        # of the ratios, which differ by about their average: so strong is the pull
        # towards the average.
        strays = STRAY_SHARE * average * runs / self._weight * max(1.0, average)
        ridge = strays / average**2
        left = list(routes)
        ratios = dict.fromkeys(routes, 0.0)
        while left:
            matrix = [
                [
                    self._runs_runs.get((one, other), 0.0) + ridge * (one == other)
                    for other in left
                ]
                for one in left
            ]
            sums = [
                self._runs_calls.get((one, called), 0.0) + ridge * average
                for one in left
            ]
            solved = dict(zip(left, solve(matrix, sums), strict=True))
            positive = [route for route in left if solved[route] > 0]
            if len(positive) == len(left):
                ratios.update(solved)
                break
            left = positive
        return [ratios[route] for route in routes]


def solve(matrix: Sequence[Sequence[float]], sums: Sequence[float]) -> list[float]:
    """Return the solution of a positive definite system of equations.

    Written out as it is at most ten equations, and the usual library would double a
    node's memory.

    >>> solve([[2.0, 1.0], [1.0, 3.0]], [5.0, 10.0])
    [1.0, 3.0]
    """
    size = len(sums)
    rows = [[*row, total] for row, total in zip(matrix, sums, strict=True)]
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, size + 1):
                rows[row][column] -= factor * rows[pivot][column]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(rows[row][c] * solution[c] for c in range(row + 1, size))
        solution[row] = (rows[row][size] - known) / rows[row][row]
    return solution


def _decay(sums: "dict[str, float] | dict[tuple[str, str], float]") -> None:
    for key in list(sums):
        sums[key] *= DECAY
        if sums[key] < 1e-3:
            del sums[key]
