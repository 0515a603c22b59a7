"""How often the local backend server failed of late."""

from collections.abc import Callable

# Weight of a new outcome in the moving average, which covers about 30 calls.
SMOOTHING = 1 / 32
# Without any outcome for longer than this, the ratio is halved at each half-life. Other
# nodes avoid a backend server that fails, and would not notice that it has recovered.
MAX_IDLE_SECONDS = 0.5
HALF_LIFE_SECONDS = 1.0


class FailureRatio:
    """A moving average of failures, which fades while there are no calls.

    Args:
        clock: Returns monotonic seconds.
    """

    __slots__ = ("_clock", "_recorded_at", "_value")

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._value = 0.0
        self._recorded_at = 0.0

    @property
    def value(self) -> float:
        """Fraction of recent calls that failed."""
        idle_seconds = self._clock() - self._recorded_at - MAX_IDLE_SECONDS
        if not self._value or idle_seconds <= 0:
            return self._value
        return self._value * 0.5 ** (idle_seconds / HALF_LIFE_SECONDS)

    def record(self, failed: bool) -> None:
        """Record the outcome of a call."""
        value = self.value
        self._value = value + SMOOTHING * (float(failed) - value)
        self._recorded_at = self._clock()

    def reset(self) -> None:
        """Forget all outcomes."""
        self._value = 0.0
