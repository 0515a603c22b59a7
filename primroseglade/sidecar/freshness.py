"""How long the configuration may have been out of date without this node knowing."""

from collections.abc import Callable

from .clock import read_age_clock


class Freshness:
    """The moment up to which every published configuration is known here.

    It holds on when a newer version comes: whatever was published before that moment
    is the version in force or older than it.

    No clock is compared between instances. Whoever answers tells how old its own
    knowledge is; to that the time since the question was sent is added, which is at
    least as long as the answer took.

    Args:
        clock: Seconds; counts while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = read_age_clock):
        self._clock = clock
        self._confirmed_at: float | None = None

    @property
    def now(self) -> float:
        """The time by the clock in use, to be taken before a question is sent."""
        return self._clock()

    @property
    def age(self) -> float:
        """Seconds for which a newer version may have existed; infinite at first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    def confirm(self, asked_at: float, reported_age: float = 0.0) -> None:
        """Note that the version in force was the newest.

        Args:
            asked_at: When the question was sent.
            reported_age: Age of the answer, in seconds.
        """
        confirmed_at = asked_at - reported_age
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
