"""How fast a backend server works at the moment, as it states in its answers.

Backend servers share their machines, so that the same work takes longer for a while. A
moving average of service times shows that only after it is over.
"""

# Weight of a new statement in the moving average.
SMOOTHING = 1 / 32
# Age at which a statement counts half. Slowdowns of shared machines last for about half
# a second.
HALF_LIFE_SECONDS = 0.3
# Lower bound of a slowdown. Below it, calls would crowd at a backend server that states
# that work takes no time.
MIN_SLOWDOWN = 0.5


class WorkPace:
    """Tracks the stated work time relative to its moving average."""

    __slots__ = ("_average_ratio", "_last_ratio", "_stated_at")

    def __init__(self) -> None:
        self._average_ratio = 0.0
        self._last_ratio = 0.0
        self._stated_at = 0.0

    def reset(self) -> None:
        """Forget all statements, as the backend server was replaced."""
        self._average_ratio = 0.0

    def record(self, work_time_ratio: float, now: float) -> None:
        """Record a statement.

        Args:
            work_time_ratio: How long work takes, as a multiple of the usual time.
            now: Seconds on the loop's clock.
        """
        weight = SMOOTHING if self._average_ratio else 1.0
        self._average_ratio += weight * (work_time_ratio - self._average_ratio)
        self._last_ratio = work_time_ratio
        self._stated_at = now

    def get_slowdown(self, now: float) -> float:
        """Return how long work takes now, as a multiple of the average.

        >>> pace = WorkPace()
        >>> pace.get_slowdown(0.0)
        1.0
        >>> for _ in range(100):
        ...     pace.record(1.2, 1.0)
        >>> pace.record(3.0, 2.0)
        >>> 2.0 < pace.get_slowdown(2.0) < 2.5
        True
        >>> pace.get_slowdown(4.0) < 1.02
        True
        """
        if not self._average_ratio:
            return 1.0
        last_slowdown = max(MIN_SLOWDOWN, self._last_ratio / self._average_ratio)
        return decay_slowdown(last_slowdown, now - self._stated_at)


def decay_slowdown(slowdown: float, age_seconds: float) -> float:
    """Return a slowdown that decays to 1 with the age of its statement.

    >>> decay_slowdown(3.0, HALF_LIFE_SECONDS)
    2.0
    """
    return 1.0 + (slowdown - 1.0) * 0.5 ** (max(0.0, age_seconds) / HALF_LIFE_SECONDS)
