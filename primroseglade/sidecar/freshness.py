"""Tracks how stale this node's configuration may be."""

from collections.abc import Callable

from .clock import read_age_clock


class Freshness:
    """Tracks when the configuration was last known to be the newest.

    Applying a newer version leaves that time unchanged: it still holds that no version
    published before that time is newer than the one in force.

    Clocks of different instances are never compared. A node answers with the seconds
    since its configuration was last known to be the newest. The receiver of the answer
    adds the time since it sent the question, at least the time that the answer took.

    Args:
        clock: Returns seconds on a clock that also counts while the machine is
            suspended.
    """

    def __init__(self, clock: Callable[[], float] = read_age_clock):
        self._clock = clock
        self._confirmed_at: float | None = None

    @property
    def now(self) -> float:
        """Current time in seconds on the clock; read it before sending a question."""
        return self._clock()

    @property
    def age(self) -> float:
        """Seconds since it was last known to be the newest; infinite at first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    def confirm(self, asked_at: float, reported_age_seconds: float = 0.0) -> None:
        """Record an answer that confirms the version in force as the newest.

        Args:
            asked_at: When the question was sent, in seconds on the clock.
            reported_age_seconds: Seconds since the answering node's configuration was
                last known to be the newest; 0 if the store answered.
        """
        confirmed_at = asked_at - reported_age_seconds
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
