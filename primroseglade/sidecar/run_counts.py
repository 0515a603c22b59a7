"""Counts the calls that runs of each route make, where calls name the run.

A run is one execution of a call by the local backend server. Only runs that succeed are
counted: the others do not make all of their calls.
"""

from collections.abc import Mapping

# Age at which a run has half its weight: short enough to follow a configuration that
# moves routes, long enough to keep the counts during an overload in which few runs
# succeed.
HALF_LIFE_SECONDS = 16.0
DECAY_INTERVAL_SECONDS = 1.0
# Minimum weight of the runs of a route that gets an estimate of its own, and of all
# runs for any estimate.
MIN_RUNS = 5.0
# Smaller sums are dropped: routes come and go with the configuration.
MIN_SUM = 1e-3
# Fewer calls per run are dropped: they come from the last calls of a route that was
# moved.
MIN_CALLS_PER_RUN = 0.02
# Maximum fraction of calls that name no running call; above it, ratios are estimated
# (`call_ratios.py`). After a restart of this node, such calls come from runs that began
# before it.
MAX_UNATTRIBUTED_RATIO = 0.5


class RunCounts:
    """Calls per run, by the route of the run and the route that is called."""

    def __init__(self) -> None:
        self._runs: dict[str, float] = {}
        self._calls: dict[str, dict[str, float]] = {}
        self._attributed_calls = 0.0
        self._unattributed_calls = 0.0
        self._decayed_at = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether enough calls name their run for the counts to be used."""
        calls = self._attributed_calls + self._unattributed_calls
        return self._unattributed_calls <= MAX_UNATTRIBUTED_RATIO * calls

    def record_call(self, attributed: bool, now: float) -> None:
        """Count a call that the backend server makes.

        Args:
            attributed: Whether it names a running call.
            now: Seconds on the loop's clock.
        """
        self._decay(now)
        if attributed:
            self._attributed_calls += 1.0
        else:
            self._unattributed_calls += 1.0

    def record_run(self, route: str, calls: Mapping[str, int], now: float) -> None:
        """Count a run that succeeded.

        Args:
            route: Route of the run.
            calls: Number of calls that it made, by route.
            now: Seconds on the loop's clock.
        """
        self._decay(now)
        self._runs[route] = self._runs.get(route, 0.0) + 1.0
        if not calls:
            return
        sums = self._calls.setdefault(route, {})
        for called, count in calls.items():
            sums[called] = sums.get(called, 0.0) + count

    def get_ratios(self, now: float) -> dict[str, dict[str, float]]:
        """Return calls per run, by the run's route and then by the called route.

        The key ``""`` holds the average over all runs.

        >>> counts = RunCounts()
        >>> for _ in range(5):
        ...     counts.record_run("index", {"look-up": 4}, 0.0)
        ...     counts.record_run("upload", {}, 0.0)
        >>> counts.get_ratios(0.0)
        {'': {'look-up': 2.0}, 'index': {'look-up': 4.0}, 'upload': {}}
        """
        self._decay(now)
        total_runs = sum(self._runs.values())
        if total_runs < MIN_RUNS:
            return {}
        total_calls: dict[str, float] = {}
        for sums in self._calls.values():
            for called, count in sums.items():
                total_calls[called] = total_calls.get(called, 0.0) + count
        ratios = {"": _divide(total_calls, total_runs)}
        for route, runs in self._runs.items():
            if runs >= MIN_RUNS:
                ratios[route] = _divide(self._calls.get(route, {}), runs)
        return ratios

    def _decay(self, now: float) -> None:
        elapsed_seconds = now - self._decayed_at
        if elapsed_seconds < DECAY_INTERVAL_SECONDS:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_seconds / HALF_LIFE_SECONDS)
        self._attributed_calls *= factor
        self._unattributed_calls *= factor
        for sums in (self._runs, *self._calls.values()):
            for route in list(sums):
                sums[route] *= factor
                if sums[route] < MIN_SUM:
                    del sums[route]


def _divide(calls: Mapping[str, float], runs: float) -> dict[str, float]:
    return {
        called: round(count / runs, 3)
        for called, count in calls.items()
        if count >= MIN_CALLS_PER_RUN * runs
    }
