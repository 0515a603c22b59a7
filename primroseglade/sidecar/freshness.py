"""Age of this node's knowledge of the configuration."""

from collections.abc import Callable

from .clock import read_age_clock


class Freshness:
    """Tracks the time up to which this node knows all published versions.

    A newly applied version does not reset that time: everything published up to it is
    the version in force or an older version.

    Clocks of different instances are never compared. An answer carries the age of the
    sender's knowledge, to which this node adds the time since it sent the question.
    That is at least the time that the answer took.

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
        """Seconds for which a newer version may exist unseen; infinite at first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    def confirm(self, asked_at: float, reported_age_seconds: float = 0.0) -> None:
        """Record an answer that the version in force is the newest.

        Args:
            asked_at: When the question was sent, in seconds on the clock.
            reported_age_seconds: Seconds since the answering node's policy was last
                known to be the newest, as it reports them; 0 if the store answered.
        """
        confirmed_at = asked_at - reported_age_seconds
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
