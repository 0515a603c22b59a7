"""Age of this node's knowledge of the configuration."""

from collections.abc import Callable

from .clock import read_age_clock


class Freshness:
    """Tracks the time up to which all published versions are known here.

    A newer version does not reset it: everything published up to that time is the
    version in force or an older one.

    Clocks of different instances are never compared. An answer carries the age of the
    sender's knowledge; the time since the question was sent, which is at least the
    time that the answer took, is added here.

    Args:
        clock: Returns seconds on a clock that also counts while the machine is
            suspended.
    """

    def __init__(self, clock: Callable[[], float] = read_age_clock):
        self._clock = clock
        self._confirmed_at: float | None = None

    @property
    def now(self) -> float:
        """Seconds on the clock; to be read before a question is sent."""
        return self._clock()

    @property
    def age(self) -> float:
        """Seconds for which a newer version may exist unseen; infinite at first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    def confirm(self, asked_at: float, reported_age: float = 0.0) -> None:
        """Record that the version in force was the newest.

        Args:
            asked_at: When the question was sent.
            reported_age: Age of the answer, in seconds.
        """
        confirmed_at = asked_at - reported_age
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
